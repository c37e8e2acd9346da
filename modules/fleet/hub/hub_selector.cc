#include "fleet/hub/hub_selector.h"

#include <algorithm>
#include <utility>

namespace dotterellug::fleet {
auto HubSelector::SetMembers(const std::vector<InstanceId>& members,
                             const std::map<InstanceId, double>& capacities)
    -> void {
  struct Ranked {
    double capacity = 0;
    std::uint64_t weight = 0;
    const InstanceId* id = nullptr;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(members.size());
  for (const auto& id : members) {
    const auto found = capacities.find(id);
    ranked.push_back({found == capacities.end() ? 0.0 : found->second,
                      RendezvousWeight(ranking_key_, id.Value()), &id});
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
    if (a.capacity != b.capacity) return a.capacity > b.capacity;
    return a.weight != b.weight ? a.weight > b.weight : *a.id < *b.id;
  });
  std::vector<InstanceId> ranking;
  ranking.reserve(ranked.size());
  for (const auto& member : ranked) ranking.push_back(*member.id);
  ranking_ = std::move(ranking);
}

auto HubSelector::OnTimeout(Candidate& candidate, Timestamp now) -> void {
  candidate.unresponsive = true;
  candidate.unanswered_since.reset();
  candidate.probed_at.reset();
  candidate.timed_out_at = now;
  candidate.retry_delay =
      std::clamp<Duration>(2 * candidate.retry_delay, options_.retry_delay,
                           options_.max_retry_delay);
  candidate.probe_due = now + candidate.retry_delay;
}

auto HubSelector::ShouldSkip(const InstanceId& hub, Timestamp now) -> bool {
  auto& candidate = candidates_[hub];
  if (candidate.unanswered_since &&
      now - *candidate.unanswered_since > options_.answer_timeout) {
    OnTimeout(candidate, now);
  }
  return candidate.unresponsive;
}

auto HubSelector::Choose(Timestamp now) -> InstanceId {
  const auto select = [&](const InstanceId& hub) {
    auto& candidate = candidates_[hub];
    if (!candidate.unanswered_since) candidate.unanswered_since = now;
    return hub;
  };
  if (leader_ == self_) return self_;
  if (!leader_.Empty() && !ShouldSkip(leader_, now)) return select(leader_);
  for (const auto& hub : ranking_) {
    if (hub == self_) return self_;
    if (!ShouldSkip(hub, now)) return select(hub);
  }
  return self_;
}

auto HubSelector::TakeProbe(Timestamp now) -> std::optional<InstanceId> {
  for (auto& [hub, candidate] : candidates_) {
    if (!candidate.unresponsive) continue;
    if (candidate.probed_at &&
        now - *candidate.probed_at > options_.answer_timeout) {
      OnTimeout(candidate, now);
    }
    if (candidate.probed_at || now < candidate.probe_due) continue;
    candidate.probed_at = now;
    return hub;
  }
  return std::nullopt;
}

auto HubSelector::OnAnswer(const InstanceId& hub, Timestamp now) -> void {
  // Others answer, too, when this daemon catches up.
  if (hub != self_ && candidates_.count(hub) == 0) return;
  auto& candidate = candidates_[hub];
  if (candidate.unresponsive && !candidate.probed_at) return;
  candidate.unresponsive = false;
  candidate.probed_at.reset();
  candidate.unanswered_since.reset();
  if (now - candidate.timed_out_at > options_.recovery_time) {
    candidate.retry_delay = Duration::zero();
  }
  last_answer_at_ = now;
}

auto HubSelector::Connected(Timestamp now) const -> bool {
  return last_answer_at_ && now - *last_answer_at_ <= options_.answer_timeout;
}

auto HubSelector::UnansweredFor(const InstanceId& hub, Timestamp now) const
    -> Duration {
  const auto found = candidates_.find(hub);
  if (found == candidates_.end() || !found->second.unanswered_since) {
    return Duration::zero();
  }
  return now - *found->second.unanswered_since;
}

}  // namespace dotterellug::fleet
