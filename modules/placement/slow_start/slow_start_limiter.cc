#include "placement/slow_start/slow_start_limiter.h"

#include <algorithm>

#include "core/variant/overloaded.h"

namespace dotterellug {

SlowStartLimiter::SlowStartLimiter(SlowStartOptions options)
    : options_(options) {}

auto SlowStartLimiter::AddUpstream(const UpstreamId& upstream,
                                   const AvailabilityZoneId& zone,
                                   std::int64_t cold_concurrency,
                                   std::int64_t warm_concurrency) -> void {
  const auto [entry, added] = upstreams_.try_emplace(upstream);
  auto& state = entry->second;
  state.zone = zone;
  state.cold_limit = std::max<std::int64_t>(1, cold_concurrency);
  state.warm_limit = std::max(state.cold_limit, warm_concurrency);
  if (added) state.limit = state.cold_limit;
  state.limit = std::clamp(state.limit, std::int64_t{1}, state.warm_limit);
}

auto SlowStartLimiter::RemoveUpstream(const UpstreamId& upstream) -> void {
  upstreams_.erase(upstream);
}

auto SlowStartLimiter::Handle(Timestamp now, const SlowStartEvent& event)
    -> void {
  std::visit(Overloaded{[&](const ResponseReceived& response) {
                          HandleResponse(now, response);
                        },
                        [&](const IncarnationReported& reported) {
                          const auto found = upstreams_.find(reported.upstream);
                          if (found == upstreams_.end()) return;
                          auto& state = found->second;
                          if (reported.incarnation <= state.incarnation) return;
                          state.incarnation = reported.incarnation;
                          SetLimit(now, state, state.cold_limit);
                        },
                        [&](const ZoneRecovered& recovered) {
                          for (auto& [id, state] : upstreams_) {
                            if (state.zone != recovered.zone) continue;
                            SetLimit(now, state, state.cold_limit);
                          }
                        }},
             event);
}

auto SlowStartLimiter::HandleResponse(Timestamp now,
                                      const ResponseReceived& response)
    -> void {
  const auto found = upstreams_.find(response.upstream);
  if (found == upstreams_.end()) return;
  auto& state = found->second;
  if (response.sent_at < state.limit_changed_at) return;
  const auto expected_time = std::max(ToSeconds(response.expected_time), 1e-6);
  const auto ratio = ToSeconds(response.response_time) / expected_time;
  state.consecutive_cold_responses = ratio >= options_.min_cold_ratio
                                         ? state.consecutive_cold_responses + 1
                                         : 0;
  if (state.consecutive_cold_responses >= options_.cold_responses) {
    SetLimit(now, state, std::min(state.cold_limit, state.limit));
    return;
  }
  if (response.failed || ratio > options_.max_on_time_ratio) {
    // A very late response alone doesn't lower the limit: the next ones show
    // whether the upstream is persistently slow, that is cold.
    if (state.consecutive_cold_responses > 0 && !response.failed) return;
    SetLimit(now, state, std::max<std::int64_t>(1, state.limit / 2));
    return;
  }
  if (++state.on_time_responses < state.limit) return;
  if (state.limit == state.warm_limit) {
    state.on_time_responses = 0;
    return;
  }
  SetLimit(now, state, std::min(state.warm_limit, state.limit * 2));
}

auto SlowStartLimiter::SetLimit(Timestamp now, UpstreamState& state,
                                std::int64_t limit) -> void {
  state.limit = limit;
  state.on_time_responses = 0;
  state.consecutive_cold_responses = 0;
  state.limit_changed_at = now;
}

auto SlowStartLimiter::ConcurrencyLimit(const UpstreamId& upstream) const
    -> std::int64_t {
  const auto found = upstreams_.find(upstream);
  return found == upstreams_.end() ? 0 : found->second.limit;
}

auto SlowStartLimiter::IsBelowWarmLimit(const UpstreamId& upstream) const
    -> bool {
  const auto found = upstreams_.find(upstream);
  if (found == upstreams_.end()) return true;
  return found->second.limit < found->second.warm_limit;
}

auto SlowStartLimiter::LimitForDaemon(const UpstreamId& upstream,
                                      PartsPerMillion fraction) const
    -> std::int64_t {
  return ConcurrencyLimit(upstream) * fraction.Value() / kWhole.Value();
}

}  // namespace dotterellug
