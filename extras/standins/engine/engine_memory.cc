#include "standins/engine/engine_memory.h"

#include <algorithm>

namespace dotterellug::standins {

auto EngineMemory::Apply(const EngineCommand& command) -> CommandResult {
  const std::lock_guard lock(mutex_);
  if (command.fencing < highest_fencing_) {
    ++stale_commands_;
    if (checks_fencing_) return CommandResult::kStaleFencing;
  }
  highest_fencing_ = std::max(highest_fencing_, command.fencing);
  const bool is_model =
      command.action == "load_model" || command.action == "unload_model";
  auto& items = is_model ? models_ : adapters_;
  if (command.action == "load_model" || command.action == "load_adapter") {
    const auto found = items.find(command.name);
    if (found != items.end() && found->second.version == command.version) {
      return CommandResult::kAlreadyApplied;
    }
    items[command.name] = {command.version, command.bytes, command.model};
  } else if (command.action == "unload_model" ||
             command.action == "unload_adapter") {
    if (items.erase(command.name) == 0) return CommandResult::kAlreadyApplied;
  } else {
    return CommandResult::kUnknown;
  }
  Account();
  return CommandResult::kApplied;
}

auto EngineMemory::HasModel(const std::string& name) const -> bool {
  const std::lock_guard lock(mutex_);
  return models_.count(name) > 0;
}

auto EngineMemory::HasAdapter(const std::string& name) const -> bool {
  const std::lock_guard lock(mutex_);
  return adapters_.count(name) > 0;
}

auto EngineMemory::AddCacheBytes(std::int64_t bytes) -> void {
  const std::lock_guard lock(mutex_);
  cache_ += Bytes(bytes);
  Account();
}

auto EngineMemory::Account() -> void {
  const auto before = used_;
  used_ = cache_;
  for (const auto& [name, item] : models_) used_ += item.bytes;
  for (const auto& [name, item] : adapters_) used_ += item.bytes;
  peak_ = std::max(peak_, used_);
  if (used_ > capacity_ && before <= capacity_) ++overcommits_;
}

auto EngineMemory::Read() const -> Snapshot {
  const std::lock_guard lock(mutex_);
  return {capacity_,       used_,   peak_,    overcommits_,
          stale_commands_, models_, adapters_};
}

auto EngineMemory::Clear() -> void {
  const std::lock_guard lock(mutex_);
  models_.clear();
  adapters_.clear();
  Account();
}

}  // namespace dotterellug::standins
