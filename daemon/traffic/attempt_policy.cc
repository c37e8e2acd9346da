#include "daemon/traffic/attempt_policy.h"

#include <thread>

namespace dotterellug {
namespace {

constexpr Duration kCancelPoll = std::chrono::milliseconds(25);

auto SleepWhileCallerWaits(Duration delay, const CallerConnection& caller)
    -> bool {
  const auto end = MonotonicNow() + delay;
  while (MonotonicNow() < end) {
    if (caller.IsClosed()) return false;
    std::this_thread::sleep_for(
        std::min<Duration>(kCancelPoll, end - MonotonicNow()));
  }
  return true;
}

}  // namespace

auto RanAfter(Delivery delivery) -> Ran {
  return delivery == Delivery::kNotSent ? Ran::kNo : Ran::kUnknown;
}

auto StatedNotRun(const UpstreamHead& head) -> bool {
  return head.Header("X-Ran") == "no";
}

auto ExchangeFailure(SharedState& state, const Error& error, Delivery delivery)
    -> RequestFailure {
  RequestFailure failure;
  failure.error = error;
  failure.ran = RanAfter(delivery);
  if (failure.ran == Ran::kNo) failure.reason = "upstream_unreachable";
  if (error.kind == ErrorKind::kProtocol) {
    state.metrics.Count(Event::kCrossedResponse);
  }
  if (failure.ran != Ran::kNo && state.MustAnswerNow()) {
    failure.error = {ErrorKind::kOutcomeUnknown,
                     "this instance stops before the upstream has answered",
                     "find out whether the request ran before repeating it"};
    return failure;
  }
  if (error.kind == ErrorKind::kDeadlineExceeded) {
    state.metrics.Count(Event::kSilentConnection);
  }
  return failure;
}

auto StoppingFailure() -> RequestFailure {
  RequestFailure failure;
  failure.reason = "process_stopping";
  failure.error = {ErrorKind::kUnavailable,
                   "this instance stops before the request could be started",
                   "retry; the load balancer will choose another instance"};
  return failure;
}

auto NotTakenFailure(const UpstreamId& upstream) -> RequestFailure {
  RequestFailure failure;
  failure.error = {ErrorKind::kUnavailable,
                   "upstream " + upstream.Value() + " did not take the request",
                   "retry after the time in Retry-After"};
  failure.reason = "upstream_refused";
  return failure;
}

auto WaitForRetry(SharedState& state, const RequestContext& context,
                  int retries, const CallerConnection& caller) -> bool {
  if (state.MustAnswerNow()) return false;
  RetryDecision decision;
  {
    const std::lock_guard lock(state.retry_mutex);
    FailedAttempt failed;
    failed.account = context.account;
    failed.retries = retries;
    failed.deadline = context.deadline;
    decision = DecideRetry(failed, RetryOptions{}, state.retry_budget,
                           state.retry_random, MonotonicNow());
  }
  const auto* retry = std::get_if<RetryWithDelay>(&decision);
  if (retry == nullptr) return false;
  state.metrics.Count(Event::kRetry);
  return SleepWhileCallerWaits(retry->delay, caller);
}

auto NoUpstreamFailure(NoUpstreamReason reason, const std::string& target)
    -> RequestFailure {
  RequestFailure failure;
  failure.reason = NoUpstreamReasonName(reason);
  failure.error = {ErrorKind::kUnavailable,
                   "no upstream can take a request for " + target + " (" +
                       failure.reason + ")",
                   "retry after the time in Retry-After"};
  return failure;
}

}  // namespace dotterellug
