#pragma once

#include <optional>
#include <variant>

#include "admission/retry/backoff.h"
#include "admission/retry/retry_budget.h"
#include "core/ids/ids.h"
#include "core/random/random.h"
#include "core/time/time.h"

namespace dotterellug {

// A failed attempt of a request that may be repeated.
struct FailedAttempt {
  ClientAccountId account;
  // Retries made before; 0 after the first attempt.
  int retries = 0;
  Timestamp deadline;
  // Time that a further attempt needs.
  Duration service_time{0};
  // What the upstream asked for.
  std::optional<Duration> retry_after;
};

struct RetryOptions {
  BackoffOptions backoff;
  int max_retries = 3;
};

// Repeat the attempt after this time.
struct RetryAfterDelay {
  Duration delay;
};
enum class NoRetryReason {
  kRetryLimitReached,
  kDeadlineTooSoon,
  kBudgetExhausted
};
struct NoRetry {
  NoRetryReason reason = NoRetryReason::kBudgetExhausted;
};
using RetryDecision = std::variant<RetryAfterDelay, NoRetry>;

// Whether and when to repeat an attempt. Takes from the budget only when the
// answer is RetryAfterDelay.
auto DecideRetry(const FailedAttempt& attempt, const RetryOptions& options,
                 RetryBudget& budget, Random& random, Timestamp now)
    -> RetryDecision;

}  // namespace dotterellug
