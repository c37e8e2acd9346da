#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time/time.h"

namespace dotterellug {

// Kinds of calls, as the platform counts them.
enum class OperationKind { kGet, kPut, kRemove, kList, kWatch };
inline constexpr std::size_t kOperationKinds = 5;

// The kind's name in fault tables and counters, such as "put".
auto OperationKindName(OperationKind kind) -> std::string_view;
auto ParseOperationKind(std::string_view name) -> std::optional<OperationKind>;

// How a call fails in tests and stand-ins.
enum class FaultKind {
  kNone,
  kRefused,    // answered with "not done"
  kOutage,     // not done and not answered
  kLostAfter,  // done, but the answer is lost
  kSlow,       // done at once, answered after `delay`
  kLate,       // done only after `delay`, when the caller may have given up
  kStale,      // a read answers from `lag` changes ago
  kCompacted,  // a watch is told that its position is too old
};

// The kind's name in fault tables, such as "lost_after".
auto FaultKindName(FaultKind kind) -> std::string_view;
auto ParseFaultKind(std::string_view name) -> std::optional<FaultKind>;

// One row of a fault table. It matches calls of `operation` (all kinds when
// empty) on names with `prefix`, lets the first `skip` of them pass and
// applies to the `count` that follow (negative: without end).
struct FaultRule {
  FaultKind fault = FaultKind::kNone;
  std::optional<OperationKind> operation;
  std::string prefix;
  std::int64_t skip = 0;
  std::int64_t count = 1;
  Duration delay{0};
  std::int64_t lag = 1;
};

// The fault that one call meets.
struct FaultAction {
  FaultKind fault = FaultKind::kNone;
  Duration delay{0};
  std::int64_t lag = 0;
};

// Decides which calls fail. The first row that matches and is not used up
// applies; a row in its skip phase counts the call and leaves it to the rows
// below. Not thread-safe; the owner of the table locks.
class FaultTable {
 public:
  auto Add(FaultRule rule) -> void { rules_.push_back(std::move(rule)); }
  auto Clear() -> void { rules_.clear(); }
  auto Next(OperationKind operation, std::string_view name) -> FaultAction;

 private:
  std::vector<FaultRule> rules_;
};

// Number of calls by kind; a waiting watch counts as one.
class CallCounts {
 public:
  auto Count(OperationKind kind) -> void {
    ++counts_[static_cast<std::size_t>(kind)];
  }
  auto Of(OperationKind kind) const -> std::int64_t {
    return counts_[static_cast<std::size_t>(kind)];
  }
  auto Total() const -> std::int64_t;

 private:
  std::array<std::int64_t, kOperationKinds> counts_{};
};

}  // namespace dotterellug
