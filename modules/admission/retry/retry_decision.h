#pragma once

#include <optional>
#include <variant>

#include "admission/retry/backoff.h"
#include "admission/retry/retry_budget.h"
#include "core/ids/ids.h"
#include "core/random/random.h"
#include "core/time/time.h"

namespace dotterellug {

// A failed attempt of a request that is safe to retry.
struct FailedAttempt {
  ClientAccountId account;
  // Number of retries already made; 0 if the first attempt failed.
  int retries = 0;
  Timestamp deadline;
  // Estimated time that a further attempt takes.
  Duration service_time{0};
  // The upstream's Retry-After, if it sent one: the minimum delay.
  std::optional<Duration> retry_after;
};

// Limits of the retries of one request.
struct RetryOptions {
  BackoffOptions backoff;
  int max_retries = 3;
};

// Retry the request after this delay.
struct RetryWithDelay {
  Duration delay;
};
// Why a request is not retried.
enum class NoRetryReason {
  // RetryOptions::max_retries retries have been made.
  kRetryLimitReached,
  // The retry could not complete before the deadline.
  kRetryPastDeadline,
  // The account's retry budget is exhausted.
  kRetryBudgetExhausted
};
// Do not retry the request.
struct NoRetry {
  NoRetryReason reason = NoRetryReason::kRetryBudgetExhausted;
};
using RetryDecision = std::variant<RetryWithDelay, NoRetry>;

// Decides whether and when to retry a failed attempt. Consumes retry budget
// only if the result is RetryWithDelay.
auto DecideRetry(const FailedAttempt& attempt, const RetryOptions& options,
                 RetryBudget& budget, Random& random, Timestamp now)
    -> RetryDecision;

}  // namespace dotterellug
