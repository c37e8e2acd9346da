#include "admission/retry/retry_decision.h"

#include <algorithm>

namespace dotterellug {

auto DecideRetry(const FailedAttempt& attempt, const RetryOptions& options,
                 RetryBudget& budget, Random& random, Timestamp now)
    -> RetryDecision {
  if (attempt.retries >= options.max_retries) {
    return NoRetry{NoRetryReason::kRetryLimitReached};
  }
  const auto backoff =
      BackoffDelay(options.backoff, attempt.retries + 1, random);
  const auto delay = std::max(backoff, attempt.retry_after.value_or(backoff));
  if (now + delay + attempt.service_time > attempt.deadline) {
    return NoRetry{NoRetryReason::kRetryPastDeadline};
  }
  if (!budget.TryRetry(attempt.account, now)) {
    return NoRetry{NoRetryReason::kRetryBudgetExhausted};
  }
  return RetryWithDelay{delay};
}

}  // namespace dotterellug
