#include "daemon/gateway/request_trace.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dotterellug::gateway {
namespace {

// Prompt parts are logged up to this number of bytes.
constexpr std::size_t kMaxLoggedParts = 200;

auto Percent(double factor) -> std::int64_t {
  return std::llround(factor * 100);
}

}  // namespace

auto RequestTrace::Waits(const RequestId& request, const char* reason,
                         Timestamp until) -> void {
  const auto now = MonotonicNow();
  if (waits_since_ == Timestamp{}) waits_since_ = now;
  auto line = context_.log.Write(EventRank::kRoutine, "request_waits");
  line.Add("request", request.Value())
      .Add("reason", reason)
      .AddMs("at_most_ms", until - now);
  if (context_.hub_answered_at != Timestamp{}) {
    line.AddMs("hub_age_ms", now - context_.hub_answered_at);
  }
}

auto RequestTrace::StopWaiting(Timestamp now) -> void {
  if (waits_since_ == Timestamp{}) return;
  waited_ += now - std::exchange(waits_since_, Timestamp{});
}

auto RequestTrace::Sent(const RequestId& request, int attempt,
                        const serving::UpstreamView& upstream,
                        Duration time_left, std::int64_t config) -> void {
  const auto now = MonotonicNow();
  StopWaiting(now);
  auto line = context_.log.Write(EventRank::kRoutine, "request_sent");
  line.Add("request", request.Value())
      .Add("attempt", attempt)
      .Add("upstream", upstream.record.id.Value())
      .Add("zone", upstream.record.zone.Value())
      .Add("slots", upstream.record.slots)
      .Add("own_requests", upstream.requests)
      .Add("other_requests",
           static_cast<std::int64_t>(upstream.other_daemons_load.requests))
      .AddMs("after_ms", now - arrival_)
      .AddMs("time_left_ms", time_left)
      .Add("config", config);
  if (context_.hub_answered_at != Timestamp{}) {
    line.AddMs("hub_age_ms", now - context_.hub_answered_at);
  }
  const auto& factor = upstream.work_factor;
  if (!factor.Known()) return;
  line.Add("work_percent", Percent(factor.Expected(now)))
      .Add("usual_work_percent", Percent(factor.Usual()))
      .AddMs("work_percent_age_ms", now - factor.ObservedAt());
}

auto RequestTrace::BrokenOff(const serving::ServiceRequest& request,
                             const BrokenAttempt& attempt) -> void {
  std::string parts;
  for (const auto& part : request.shared_parts) {
    if (parts.size() > kMaxLoggedParts) break;
    if (!parts.empty()) parts += ',';
    parts += part.Value();
  }
  context_.log.Write(EventRank::kFailure, "upstream_broke_off")
      .Add("request", request.id.Value())
      .Add("upstream", attempt.upstream.Value())
      .Add("upstream_started", attempt.upstream_started_ms)
      .Add("status", attempt.status)
      .Add("events", attempt.events)
      .AddMs("attempt_ms", MonotonicNow() - attempt.sent_at)
      .Add("prompt_parts", parts);
}

auto RequestTrace::Passed(Timestamp now) -> void {
  if (first_passed_ == Timestamp{}) {
    first_passed_ = now;
  } else {
    longest_pause_ = std::max<Duration>(longest_pause_, now - last_passed_);
  }
  last_passed_ = now;
}

auto RequestTrace::Observe(const RequestEnd& end, Timestamp now) -> void {
  auto& metrics = context_.metrics;
  metrics.Count(GatewayCounter::kRequests, end.outcome);
  if (*end.cause != '\0') metrics.Count(GatewayCounter::kCauses, end.cause);
  if (end.route == nullptr) return;
  metrics.Observe(GatewayLatency::kWait, end.route->name, waited_);
  if (longest_pause_ > Duration::zero()) {
    metrics.Observe(GatewayLatency::kLongestPause, end.route->name,
                    longest_pause_);
  }
  const auto& account =
      end.account.Empty() ? std::string("none") : end.account.Value();
  metrics.Observe(GatewayLatency::kTotal, account, now - arrival_);
  if (first_passed_ == Timestamp{}) return;
  metrics.Observe(GatewayLatency::kFirstAnswer, account,
                  first_passed_ - arrival_);
}

auto RequestTrace::Ended(const RequestEnd& end) -> void {
  const auto now = MonotonicNow();
  StopWaiting(now);
  Observe(end, now);
  const bool good = *end.cause == '\0';
  auto line = context_.log.Write(
      good ? EventRank::kRoutine : EventRank::kFailure, "request_ended");
  line.Add("request", end.request.id.Value())
      .Add("outcome", end.outcome)
      .Add("status", end.status)
      .Add("sent", end.sent)
      .AddMs("took_ms", now - arrival_);
  if (!good) line.Add("cause", end.cause);
  if (waited_ > Duration::zero()) line.AddMs("waited_ms", waited_);
  if (first_passed_ != Timestamp{}) {
    line.AddMs("first_ms", first_passed_ - arrival_);
  }
  if (longest_pause_ > Duration::zero()) {
    line.AddMs("longest_pause_ms", longest_pause_);
  }
  if (end.route != nullptr) {
    line.Add("route", end.route->name)
        .AddMs("goal_ms", end.route->latency_target);
  }
  if (!end.account.Empty()) {
    line.Add("account", end.account.Value()).Add("tokens", end.charged_tokens);
    if (!good) {
      line.Add("allowance", context_.granted_tokens.Balance(end.account));
    }
  }
  const auto& request = end.request;
  if (!request.model.Empty()) line.Add("model", request.model.Value());
  if (!request.adapter.Empty()) line.Add("adapter", request.adapter.Value());
  if (!end.quarantined_part.Empty()) {
    line.Add("prompt_part", end.quarantined_part.Value());
  }
  if (!end.upstream.Empty()) line.Add("upstream", end.upstream.Value());
  if (end.config >= 0) line.Add("config", end.config);
}

}  // namespace dotterellug::gateway
