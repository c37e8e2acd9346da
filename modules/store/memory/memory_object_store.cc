#include "store/memory/memory_object_store.h"

namespace dotterellug {
namespace {

auto Unavailable() -> tl::unexpected<Error> {
  return Fail(ErrorKind::kUnavailable, "the object API does not answer",
              "repeat later");
}

auto OutcomeUnknown(const std::string& name) -> tl::unexpected<Error> {
  return Fail(ErrorKind::kOutcomeUnknown, "no answer to the update of " + name,
              "read it again");
}

}  // namespace

auto MemoryObjectBackend::AddFault(FaultRule rule) -> void {
  const std::lock_guard lock(mutex_);
  faults_.Add(std::move(rule));
}

auto MemoryObjectBackend::ClearFaults() -> void {
  const std::lock_guard lock(mutex_);
  faults_.Clear();
}

auto MemoryObjectBackend::Compact() -> void {
  const std::lock_guard lock(mutex_);
  table_.Compact();
}

auto MemoryObjectBackend::DeliverLate() -> void {
  const std::lock_guard lock(mutex_);
  for (const auto& write : late_) Apply(write);
  late_.clear();
}

auto MemoryObjectBackend::Counts() const -> CallCounts {
  const std::lock_guard lock(mutex_);
  return counts_;
}

auto MemoryObjectBackend::Begin(OperationKind operation,
                                const std::string& name) -> FaultAction {
  counts_.Count(operation);
  return faults_.Next(operation, name);
}

auto MemoryObjectBackend::Apply(const LateWrite& write)
    -> Result<ObjectVersion> {
  if (write.operation == OperationKind::kRemove) {
    return table_.Remove(write.name, write.expected);
  }
  return table_.Put(write.name, write.value, write.expected);
}

auto MemoryObjectStore::Get(const std::string& name) -> Result<ObjectRecord> {
  const auto lock = Enter();
  const auto action = backend_->Begin(OperationKind::kGet, name);
  const auto failure = ReadFault(action);
  if (!failure) return tl::unexpected<Error>(failure.error());
  if (action.fault == FaultKind::kStale) {
    return backend_->table_.GetStale(name, action.lag);
  }
  return backend_->table_.Get(name);
}

auto MemoryObjectStore::Put(const std::string& name, const std::string& value,
                            ObjectVersion expected) -> Result<ObjectVersion> {
  return Write({OperationKind::kPut, name, value, expected});
}

auto MemoryObjectStore::Remove(const std::string& name, ObjectVersion expected)
    -> Result<ObjectVersion> {
  return Write({OperationKind::kRemove, name, "", expected});
}

auto MemoryObjectStore::List(const std::string& prefix) -> Result<ListResult> {
  const auto lock = Enter();
  const auto action = backend_->Begin(OperationKind::kList, prefix);
  const auto failure = ReadFault(action);
  if (!failure) return tl::unexpected<Error>(failure.error());
  if (action.fault == FaultKind::kStale) {
    return backend_->table_.ListStale(prefix, action.lag);
  }
  return backend_->table_.List(prefix);
}

auto MemoryObjectStore::Watch(const std::string& prefix, WatchPosition after,
                              Duration /*max_wait*/) -> Result<WatchResult> {
  const auto lock = Enter();
  const auto action = backend_->Begin(OperationKind::kWatch, prefix);
  const auto failure = ReadFault(action);
  if (!failure) return tl::unexpected<Error>(failure.error());
  if (action.fault == FaultKind::kCompacted) backend_->table_.Compact();
  if (action.fault == FaultKind::kStale) return WatchResult{after, {}};
  return backend_->table_.Changes(prefix, after);
}

auto MemoryObjectStore::Write(const MemoryObjectBackend::LateWrite& write)
    -> Result<ObjectVersion> {
  const auto lock = Enter();
  const auto action = backend_->Begin(write.operation, write.name);
  switch (action.fault) {
    case FaultKind::kRefused:
      return Unavailable();
    case FaultKind::kOutage:
      return OutcomeUnknown(write.name);
    case FaultKind::kLostAfter:
      backend_->Apply(write);
      return OutcomeUnknown(write.name);
    case FaultKind::kLate:
      backend_->late_.push_back(write);
      return OutcomeUnknown(write.name);
    default:
      break;
  }
  auto result = backend_->Apply(write);
  if (action.fault == FaultKind::kSlow && action.delay > timeout_) {
    return OutcomeUnknown(write.name);
  }
  return result;
}

auto MemoryObjectStore::Enter() const -> std::unique_lock<std::mutex> {
  if (before_call_) before_call_();
  return std::unique_lock(backend_->mutex_);
}

auto MemoryObjectStore::ReadFault(const FaultAction& action) const
    -> Result<void> {
  switch (action.fault) {
    case FaultKind::kRefused:
    case FaultKind::kOutage:
    case FaultKind::kLostAfter:
      return Unavailable();
    case FaultKind::kSlow:
    case FaultKind::kLate:
      if (action.delay <= timeout_) return {};
      return Unavailable();
    default:
      return {};
  }
}

}  // namespace dotterellug
