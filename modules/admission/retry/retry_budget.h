#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

#include "core/ids/ids.h"
#include "core/time/time.h"

namespace dotterellug {

// Limits of a RetryBudget.
struct RetryBudgetOptions {
  // Maximum number of retries as a fraction of the first attempts of the last
  // 10 s.
  PartsPerMillion max_retry_fraction{100'000};
  // Lower bound of the limit per 10 s, so that accounts with few requests can
  // retry.
  std::int64_t min_retry_limit = 1;
};

// Limits the retries of each client account on one daemon. Whenever a retry is
// allowed, the retries of the last 10 s including this one are at most
// `max_retry_fraction` of the first attempts of the last 10 s, or
// `min_retry_limit` if that is more. Retries therefore cannot multiply the load
// when an upstream fails for all requests. From its first request on, each
// account occupies one Window (264 bytes) and its map entry, which is never
// removed; the number of accounts is bounded because they come from
// authenticated keys.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options) : options_(options) {}

  // Counts a request's first attempt.
  auto RecordFirstAttempt(const ClientAccountId& account, Timestamp now)
      -> void;
  // Takes one retry from the budget; returns false, and takes nothing, if the
  // budget is exhausted.
  auto TryRetry(const ClientAccountId& account, Timestamp now) -> bool;

 private:
  // A ring buffer of one-second intervals. The interval that lies only partly
  // within the last 10 s is included in the count of retries and excluded from
  // the count of requests, so the limit holds for a window that begins at any
  // point in time.
  static constexpr std::size_t kIntervalCount = 11;
  // Counts of one second; `start_second` is its start on the monotonic clock.
  struct Interval {
    std::int64_t start_second = INT64_MIN;
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
