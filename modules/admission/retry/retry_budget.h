#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

#include "core/ids/ids.h"
#include "core/time/time.h"

namespace dotterellug {

struct RetryBudgetOptions {
  // Retries as a part of the requests of the last 10 s.
  PartsPerMillion ratio{100'000};
  // Retries per 10 s that an account with few requests may make all the same.
  std::int64_t min_retries = 1;
};

// Bounds the retries of each client account on one daemon: at the moment of any
// retry, the retries of the last 10 s, this one included, are at most `ratio`
// of the first attempts of the last 10 s, or `least` if that is more. Retries
// can therefore never multiply load when an upstream fails for everyone. Memory
// is about 200 bytes per account that ever sent; accounts come from checked
// keys.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options) : options_(options) {}

  // Counts a request's first attempt.
  auto CountRequest(const ClientAccountId& account, Timestamp now) -> void;
  // Takes one retry from the budget; false when it is used up.
  auto TryRetry(const ClientAccountId& account, Timestamp now) -> bool;

 private:
  // One-second intervals. The count of retries includes the interval that lies
  // partly outside the last 10 s and the count of requests leaves it out, so
  // the bound holds for windows that begin at any moment.
  static constexpr std::size_t kIntervalCount = 11;
  struct Interval {
    std::int64_t second = INT64_MIN;
    std::int64_t requests = 0;
    std::int64_t retries = 0;
  };
  using Window = std::array<Interval, kIntervalCount>;

  auto CurrentInterval(const ClientAccountId& account, Timestamp now)
      -> Interval&;

  RetryBudgetOptions options_;
  std::unordered_map<ClientAccountId, Window> windows_;
};

}  // namespace dotterellug
