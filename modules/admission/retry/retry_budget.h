#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

#include "core/ids/ids.h"
#include "core/time/time.h"

namespace dotterellug {

// Limits of a RetryBudget.
struct RetryBudgetOptions {
  // Maximum retries as a fraction of the first attempts of the last 10 s.
  PartsPerMillion ratio{100'000};
  // Retries per 10 s that are allowed regardless of the ratio, for accounts
  // with few requests.
  std::int64_t min_retries = 1;
};

// Limits the retries of each client account on one daemon. Whenever a retry is
// allowed, the retries of the last 10 s including this one are at most `ratio`
// times the first attempts of the last 10 s, or `min_retries` if that is more.
// Retries therefore cannot multiply the load when an upstream fails for all
// requests. An account takes about 200 bytes from its first request on and is
// never removed; the number of accounts is bounded because they come from
// authenticated keys.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options) : options_(options) {}

  // Counts a request's first attempt.
  auto CountRequest(const ClientAccountId& account, Timestamp now) -> void;
  // Takes one retry from the budget; returns false, and takes nothing, if the
  // budget is exhausted.
  auto TryRetry(const ClientAccountId& account, Timestamp now) -> bool;

 private:
  // A ring buffer of one-second intervals. The interval that lies only partly
  // within the last 10 s is included in the count of retries and excluded from
  // the count of requests, so the limit holds for a window that begins at any
  // point in time.
  static constexpr std::size_t kIntervalCount = 11;
  // Counts of the second `second` of the monotonic clock.
  struct Interval {
    std::int64_t second = INT64_MIN;
    std::int64_t requests = 0;
    std::int64_t retries = 0;
  };
  using Window = std::array<Interval, kIntervalCount>;

  // The interval of `now`, reset if the slot held an older second.
  auto CurrentInterval(const ClientAccountId& account, Timestamp now)
      -> Interval&;

  RetryBudgetOptions options_;
  std::unordered_map<ClientAccountId, Window> windows_;
};

}  // namespace dotterellug
