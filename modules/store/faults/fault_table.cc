#include "store/faults/fault_table.h"

#include <numeric>

namespace dotterellug {
namespace {

constexpr std::array<std::string_view, kOperationKinds> kOperationNames{
    "get", "put", "remove", "list", "watch"};
constexpr std::array<std::string_view, 8> kFaultNames{
    "none", "refused", "outage", "lost_after",
    "slow", "late",    "stale",  "compacted"};

auto Matches(const FaultRule& rule, OperationKind operation,
             std::string_view name) -> bool {
  if (rule.count == 0) return false;
  if (rule.operation && *rule.operation != operation) return false;
  return name.substr(0, rule.prefix.size()) == rule.prefix;
}

}  // namespace

auto OperationKindName(OperationKind kind) -> std::string_view {
  return kOperationNames[static_cast<std::size_t>(kind)];
}

auto ParseOperationKind(std::string_view name) -> std::optional<OperationKind> {
  for (std::size_t i = 0; i < kOperationNames.size(); ++i) {
    if (kOperationNames[i] == name) return static_cast<OperationKind>(i);
  }
  return std::nullopt;
}

auto FaultKindName(FaultKind kind) -> std::string_view {
  return kFaultNames[static_cast<std::size_t>(kind)];
}

auto ParseFaultKind(std::string_view name) -> std::optional<FaultKind> {
  for (std::size_t i = 0; i < kFaultNames.size(); ++i) {
    if (kFaultNames[i] == name) return static_cast<FaultKind>(i);
  }
  return std::nullopt;
}

auto FaultTable::Next(OperationKind operation, std::string_view name)
    -> FaultAction {
  for (auto& rule : rules_) {
    if (!Matches(rule, operation, name)) continue;
    if (rule.skip > 0) {
      --rule.skip;
      continue;
    }
    if (rule.count > 0) --rule.count;
    return FaultAction{rule.fault, rule.delay, rule.lag};
  }
  return FaultAction{};
}

auto CallCounts::Total() const -> std::int64_t {
  return std::accumulate(counts_.begin(), counts_.end(), std::int64_t{0});
}

}  // namespace dotterellug
