#include "standins/upstream_faults/fault_table.h"

namespace dotterellug::standins {

auto FaultTable::Replace(const std::string& json) -> bool {
  const auto list = nlohmann::json::parse(json, nullptr, false);
  if (!list.is_array()) return false;
  std::vector<Fault> faults;
  for (const auto& entry : list) {
    if (!entry.is_object() || !entry.contains("kind")) return false;
    faults.push_back({entry.at("kind").get<std::string>(),
                      entry.value("count", std::int64_t{1}),
                      entry.value("after_events", std::int64_t{0}),
                      entry.value("delay_ms", std::int64_t{0})});
  }
  const std::lock_guard lock(mutex_);
  faults_ = std::move(faults);
  return true;
}

auto FaultTable::Take(const std::string& kind) -> std::optional<Fault> {
  const std::lock_guard lock(mutex_);
  for (auto& fault : faults_) {
    if (fault.kind != kind || fault.remaining == 0) continue;
    if (fault.remaining > 0) --fault.remaining;
    return fault;
  }
  return std::nullopt;
}

auto FaultTable::Active(const std::string& kind) const -> bool {
  const std::lock_guard lock(mutex_);
  for (const auto& fault : faults_) {
    if (fault.kind == kind && fault.remaining != 0) return true;
  }
  return false;
}

}  // namespace dotterellug::standins
