#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "core/ids/ids.h"

namespace dotterellug {

// Millionths of a token. The product of a share in parts per million and a
// whole number of tokens has this unit, without rounding.
using MicroTokens = StrongInteger<struct MicroTokensTag>;
inline constexpr std::int64_t kMicroTokensPerToken = 1'000'000;

// At most burst + per_second * window tokens in any window of time.
struct RateLimit {
  Tokens per_second;
  Tokens burst;
};

// At most this many permits in use at the same time. Amounts of type Tokens are
// numbers of permits for such a limit.
struct ConcurrencyLimit {
  std::int64_t permits = 0;
};

// The fleet-wide limit of a budget.
using BudgetLimit = std::variant<RateLimit, ConcurrencyLimit>;

// A budget and its limit.
struct BudgetLimitEntry {
  BudgetId budget;
  BudgetLimit limit;
};

// The limits of a shard's budgets in one configuration revision.
struct BudgetLimits {
  RevisionNumber revision;
  std::vector<BudgetLimitEntry> entries;
};

}  // namespace dotterellug
