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
  }
  for (auto it = seen_.begin(); it != seen_.end();) {
    if (upstreams.count(it->first) > 0) {
      ++it;
      continue;
    }
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
  const auto concurrency_limit = ConcurrencyLimit(observation.upstream);
  seen.up = true;
  seen.answered_at = now;
  seen.incarnation = observation.incarnation;
  seen.models = observation.models;
  seen.adapters = observation.adapters;
  seen.cold = observation.cold;
  seen.completed = observation.completed;
  return changed || concurrency_limit != ConcurrencyLimit(observation.upstream);
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
                   : leaving_.count(id) > 0 ? UpstreamState::kDraining
                                            : UpstreamState::kLive;
    status.models = seen.models;
    status.adapters = seen.adapters;
    status.concurrency_limit = PartOf(id);
    inputs.statuses.push_back(std::move(status));
  }
  return RoutingTable::Build(inputs, previous);
}

auto FleetView::SetDaemons(const InstanceId& self, std::set<InstanceId> daemons)
    -> bool {
  daemons.insert(self);
  if (self == self_ && daemons == daemons_) return false;
  self_ = self;
  daemons_ = std::move(daemons);
  return true;
}

auto FleetView::ConcurrencyLimit(const UpstreamId& upstream) const
    -> std::int64_t {
  const auto configured = snapshot_->document.upstreams.find(upstream);
  const auto found = seen_.find(upstream);
  if (configured == snapshot_->document.upstreams.end() ||
      found == seen_.end()) {
    return 0;
  }
  const auto warm = configured->second.warm_concurrency;
  const auto& seen = found->second;
  if (seen.cold && !*seen.cold) return warm;
  if (!seen.cold && !seen.completed && seen.up) return warm;
  auto concurrency_limit =
      std::max<std::int64_t>(1, configured->second.cold_concurrency);
  auto completed = seen.completed.value_or(0);
  while (concurrency_limit < warm && completed >= concurrency_limit) {
    completed -= concurrency_limit;
    concurrency_limit *= 2;
  }
  return std::min(concurrency_limit, warm);
}

auto FleetView::PartOf(const UpstreamId& upstream) const -> std::int64_t {
  const auto concurrency_limit = ConcurrencyLimit(upstream);
  if (daemons_.size() <= 1) return concurrency_limit;
  const auto count = static_cast<std::int64_t>(daemons_.size());
  const auto own = RendezvousWeight(upstream.Value(), self_.Value());
  // The remainder goes to the daemons with the highest weights for this
  // upstream, so that it is spread over the daemons.
  const auto rank = std::count_if(
      daemons_.begin(), daemons_.end(), [&](const InstanceId& daemon) {
        return RendezvousWeight(upstream.Value(), daemon.Value()) > own;
      });
  return concurrency_limit / count + (rank < concurrency_limit % count ? 1 : 0);
}

auto FleetView::UpCount() const -> std::int64_t {
  return std::count_if(seen_.begin(), seen_.end(),
                       [](const auto& entry) { return entry.second.up; });
}

}  // namespace dotterellug
