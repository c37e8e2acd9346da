#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "core/ids/ids.h"

namespace dotterellug {

// Millionths of a token. Shares in parts per million times whole tokens give
// this unit without rounding.
using MicroTokens = StrongInteger<struct MicroTokensTag>;
inline constexpr std::int64_t kMicroTokensPerToken = 1'000'000;

// At most burst + per_second * window tokens in any window.
struct RateLimit {
  Tokens per_second;
  Tokens burst;
};

// At most this many at once.
struct ConcurrencyLimit {
  std::int64_t permits = 0;
};

using BudgetLimit = std::variant<RateLimit, ConcurrencyLimit>;

struct BudgetLimitEntry {
  BudgetId budget;
  BudgetLimit limit;
};

// The limits of a shard in one configuration revision.
struct BudgetLimits {
  RevisionNumber revision;
  std::vector<BudgetLimitEntry> entries;
};

}  // namespace dotterellug
