#include "store/memory/object_table.h"

#include <algorithm>

namespace dotterellug {
namespace {

// Changes of one object kept for stale reads.
constexpr std::size_t kHistoryLength = 8;
// Bounds of the log; a watch that falls behind further must list again.
constexpr std::size_t kLogLength = 10'000;
constexpr std::size_t kLogBytes = 64'000'000;

auto HasPrefix(const std::string& name, const std::string& prefix) -> bool {
  return name.compare(0, prefix.size(), prefix) == 0;
}

auto NotFound(const std::string& name) -> tl::unexpected<Error> {
  return Fail(ErrorKind::kNotFound, "object " + name + " does not exist",
              "check the name");
}

auto ToRecord(const ObjectEvent& event) -> ObjectRecord {
  return ObjectRecord{event.name, event.version, event.value};
}

}  // namespace

auto ObjectTable::Get(const std::string& name) const -> Result<ObjectRecord> {
  return GetStale(name, 0);
}

auto ObjectTable::GetStale(const std::string& name, std::int64_t lag) const
    -> Result<ObjectRecord> {
  const auto found = objects_.find(name);
  if (found == objects_.end()) return NotFound(name);
  const auto* event = AsOf(found->second, position_ - WatchPosition(lag));
  if (event == nullptr || event->deleted) return NotFound(name);
  return ToRecord(*event);
}

auto ObjectTable::Put(const std::string& name, const std::string& value,
                      ObjectVersion expected) -> Result<ObjectVersion> {
  const auto checked = CheckVersion(name, expected);
  if (!checked) return tl::unexpected<Error>(checked.error());
  return Record(ObjectEvent{name, ObjectVersion{}, value, false});
}

auto ObjectTable::Remove(const std::string& name, ObjectVersion expected)
    -> Result<ObjectVersion> {
  const auto checked = CheckVersion(name, expected);
  if (!checked) return tl::unexpected<Error>(checked.error());
  if (expected == kAbsent) return NotFound(name);
  return Record(ObjectEvent{name, ObjectVersion{}, "", true});
}

auto ObjectTable::List(const std::string& prefix) const -> ListResult {
  return ListStale(prefix, 0);
}

auto ObjectTable::ListStale(const std::string& prefix, std::int64_t lag) const
    -> ListResult {
  ListResult result;
  result.position = std::max(WatchPosition(0), position_ - WatchPosition(lag));
  for (auto it = objects_.lower_bound(prefix); it != objects_.end(); ++it) {
    if (!HasPrefix(it->first, prefix)) break;
    const auto* event = AsOf(it->second, result.position);
    if (event == nullptr || event->deleted) continue;
    result.objects.push_back(ToRecord(*event));
  }
  return result;
}

auto ObjectTable::Changes(const std::string& prefix, WatchPosition after) const
    -> Result<WatchResult> {
  if (after < compacted_) {
    return Fail(ErrorKind::kCompacted,
                "watch position " + std::to_string(after.Value()) +
                    " is before " + std::to_string(compacted_.Value()),
                "list the objects and watch from the list's position");
  }
  WatchResult result{std::max(after, position_), {}};
  const auto first =
      std::upper_bound(log_.begin(), log_.end(), after.Value(),
                       [](std::int64_t position, const ObjectEvent& event) {
                         return position < event.version.Value();
                       });
  for (auto it = first; it != log_.end(); ++it) {
    if (HasPrefix(it->name, prefix)) result.events.push_back(*it);
  }
  return result;
}

auto ObjectTable::Compact() -> void {
  log_.clear();
  log_bytes_ = 0;
  compacted_ = position_;
}

auto ObjectTable::CurrentVersion(const std::string& name) const
    -> ObjectVersion {
  const auto record = Get(name);
  return record ? record->version : kAbsent;
}

auto ObjectTable::CheckVersion(const std::string& name,
                               ObjectVersion expected) const -> Result<void> {
  const auto current = CurrentVersion(name);
  if (current == expected) return {};
  return Fail(ErrorKind::kConflict,
              "object " + name + " has version " +
                  std::to_string(current.Value()) + ", expected " +
                  std::to_string(expected.Value()),
              "read it again and repeat the change");
}

auto ObjectTable::Record(ObjectEvent event) -> ObjectVersion {
  position_ = position_.Next();
  event.version = ObjectVersion(position_.Value());
  auto& history = objects_[event.name];
  history.push_back(event);
  if (history.size() > kHistoryLength) history.pop_front();
  log_bytes_ += event.value.size();
  log_.push_back(std::move(event));
  TrimLog();
  return ObjectVersion(position_.Value());
}

auto ObjectTable::TrimLog() -> void {
  while (log_.size() > kLogLength || log_bytes_ > kLogBytes) {
    compacted_ = WatchPosition(log_.front().version.Value());
    log_bytes_ -= log_.front().value.size();
    log_.pop_front();
  }
}

auto ObjectTable::AsOf(const History& history, WatchPosition position) const
    -> const ObjectEvent* {
  for (auto it = history.rbegin(); it != history.rend(); ++it) {
    if (it->version.Value() <= position.Value()) return &*it;
  }
  const bool trimmed = history.size() == kHistoryLength;
  return trimmed ? &history.front() : nullptr;
}

}  // namespace dotterellug
