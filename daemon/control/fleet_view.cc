#include "daemon/control/fleet_view.h"

#include <algorithm>
#include <utility>

namespace dotterellug {

auto FleetView::SetSnapshot(const SharedSnapshot& snapshot) -> void {
  snapshot_ = snapshot;
  const auto& upstreams = snapshot->document.upstreams;
  for (const auto& [id, upstream] : upstreams) {
    if (seen_.count(id) > 0) continue;
    seen_[id] = {};
    ramp_.AddUpstream(id, upstream.zone, upstream.cold_concurrency,
                      upstream.warm_concurrency);
  }
  for (auto it = seen_.begin(); it != seen_.end();) {
    if (upstreams.count(it->first) > 0) {
      ++it;
      continue;
    }
    ramp_.RemoveUpstream(it->first);
    it = seen_.erase(it);
  }
}

auto FleetView::Observe(const UpstreamObservation& observation, Timestamp now)
    -> bool {
  const auto found = seen_.find(observation.upstream);
  if (found == seen_.end()) return false;
  if (!observation.reachable) return Expire(now);
  auto& seen = found->second;
  const bool changed = !seen.up || seen.models != observation.models ||
                       seen.adapters != observation.adapters ||
                       seen.incarnation != observation.incarnation;
  if (seen.incarnation != observation.incarnation) {
    ramp_.Handle(
        now, IncarnationSeen{observation.upstream, observation.incarnation});
  }
  seen.up = true;
  seen.answered_at = now;
  seen.incarnation = observation.incarnation;
  seen.models = observation.models;
  seen.adapters = observation.adapters;
  return changed;
}

auto FleetView::SetLeaving(std::set<UpstreamId> leaving) -> bool {
  if (leaving == leaving_) return false;
  leaving_ = std::move(leaving);
  return true;
}

auto FleetView::Expire(Timestamp now) -> bool {
  bool changed = false;
  for (auto& [id, seen] : seen_) {
    if (!seen.up || now - seen.answered_at <= kSilenceLimit) continue;
    seen.up = false;
    changed = true;
  }
  return changed;
}

auto FleetView::BuildTable(const RoutingTable* previous) const
    -> std::shared_ptr<const RoutingTable> {
  RoutingInputs inputs;
  inputs.document = &snapshot_->document;
  for (const auto& [id, seen] : seen_) {
    UpstreamStatus status;
    status.id = id;
    status.state = !seen.up                 ? UpstreamState::kDown
                   : leaving_.count(id) > 0 ? UpstreamState::kLeaving
                                            : UpstreamState::kLive;
    status.models = seen.models;
    status.adapters = seen.adapters;
    // At least one request, so that a small share does not make the upstream
    // unreachable from this daemon.
    status.allowance = std::max<std::int64_t>(1, ramp_.PartOf(id, share_));
    inputs.statuses.push_back(std::move(status));
  }
  return RoutingTable::Build(inputs, previous);
}

auto FleetView::UpCount() const -> std::int64_t {
  return std::count_if(seen_.begin(), seen_.end(),
                       [](const auto& entry) { return entry.second.up; });
}

}  // namespace dotterellug
