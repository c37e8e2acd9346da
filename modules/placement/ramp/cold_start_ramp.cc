#include "placement/ramp/cold_start_ramp.h"

#include <algorithm>

#include "core/variant/overloaded.h"

namespace dotterellug {

ColdStartRamp::ColdStartRamp(RampOptions options) : options_(options) {}

auto ColdStartRamp::AddUpstream(const UpstreamId& upstream,
                                const AvailabilityZoneId& zone,
                                std::int64_t cold_concurrency,
                                std::int64_t warm_concurrency) -> void {
  const auto [entry, added] = upstreams_.try_emplace(upstream);
  auto& state = entry->second;
  state.zone = zone;
  state.cold = std::max<std::int64_t>(1, cold_concurrency);
  state.warm = std::max(state.cold, warm_concurrency);
  if (added) state.allowance = state.cold;
  state.allowance = std::clamp(state.allowance, std::int64_t{1}, state.warm);
}

auto ColdStartRamp::RemoveUpstream(const UpstreamId& upstream) -> void {
  upstreams_.erase(upstream);
}

auto ColdStartRamp::Handle(Timestamp now, const RampEvent& event) -> void {
  std::visit(Overloaded{[&](const ResponseSeen& response) {
                          HandleResponse(now, response);
                        },
                        [&](const IncarnationSeen& seen) {
                          const auto found = upstreams_.find(seen.upstream);
                          if (found == upstreams_.end()) return;
                          auto& state = found->second;
                          if (seen.incarnation <= state.incarnation) return;
                          state.incarnation = seen.incarnation;
                          SetAllowance(now, state, state.cold);
                        },
                        [&](const ZoneReturned& returned) {
                          for (auto& [id, state] : upstreams_) {
                            if (state.zone != returned.zone) continue;
                            SetAllowance(now, state, state.cold);
                          }
                        }},
             event);
}

auto ColdStartRamp::HandleResponse(Timestamp now, const ResponseSeen& response)
    -> void {
  const auto found = upstreams_.find(response.upstream);
  if (found == upstreams_.end()) return;
  auto& state = found->second;
  if (response.sent_at < state.changed_at) return;
  const auto expected = std::max(ToSeconds(response.expected), 1e-6);
  const auto ratio = ToSeconds(response.took) / expected;
  state.very_slow = ratio >= options_.cold_factor ? state.very_slow + 1 : 0;
  if (state.very_slow >= options_.cold_responses) {
    SetAllowance(now, state, std::min(state.cold, state.allowance));
    return;
  }
  if (response.failed || ratio > options_.in_time_factor) {
    // A very slow response waits for the next ones, which tell slow from cold.
    if (state.very_slow > 0 && !response.failed) return;
    SetAllowance(now, state, std::max<std::int64_t>(1, state.allowance / 2));
    return;
  }
  if (++state.in_time < state.allowance) return;
  if (state.allowance == state.warm) {
    state.in_time = 0;
    return;
  }
  SetAllowance(now, state, std::min(state.warm, state.allowance * 2));
}

auto ColdStartRamp::SetAllowance(Timestamp now, State& state,
                                 std::int64_t allowance) -> void {
  state.allowance = allowance;
  state.in_time = 0;
  state.very_slow = 0;
  state.changed_at = now;
}

auto ColdStartRamp::Allowance(const UpstreamId& upstream) const
    -> std::int64_t {
  const auto found = upstreams_.find(upstream);
  return found == upstreams_.end() ? 0 : found->second.allowance;
}

auto ColdStartRamp::IsCold(const UpstreamId& upstream) const -> bool {
  const auto found = upstreams_.find(upstream);
  if (found == upstreams_.end()) return true;
  return found->second.allowance < found->second.warm;
}

auto ColdStartRamp::PartOf(const UpstreamId& upstream,
                           PartsPerMillion share) const -> std::int64_t {
  return Allowance(upstream) * share.Value() / kWhole.Value();
}

}  // namespace dotterellug
