#include "fleet/hub/hub_selector.h"

#include <algorithm>

namespace dotterellug::fleet {
namespace {

// Rendezvous hashing key; must be the same on all daemons.
constexpr std::string_view kRankingKey = "fleet-hub";

}  // namespace

auto HubSelector::SetMembers(const std::vector<InstanceId>& members,
                             const std::map<InstanceId, double>& capacities)
    -> void {
  const auto capacity = [&](const InstanceId& id) {
    const auto found = capacities.find(id);
    return found == capacities.end() ? 0.0 : found->second;
  };
  ranking_ = members;
  std::sort(ranking_.begin(), ranking_.end(),
            [&](const auto& a, const auto& b) {
              if (capacity(a) != capacity(b)) return capacity(a) > capacity(b);
              const auto weight_a = RendezvousWeight(kRankingKey, a.Value());
              const auto weight_b = RendezvousWeight(kRankingKey, b.Value());
              return weight_a != weight_b ? weight_a > weight_b : a < b;
            });
}

auto HubSelector::ShouldSkip(const InstanceId& hub, Timestamp now) -> bool {
  auto& candidate = candidates_[hub];
  if (candidate.unanswered_since &&
      now - *candidate.unanswered_since > options_.answer_timeout) {
    candidate.unanswered_since.reset();
    candidate.unresponsive_since = now;
  }
  if (!candidate.unresponsive_since) return false;
  if (now - *candidate.unresponsive_since < options_.retry_delay) return true;
  candidate.unresponsive_since.reset();
  return false;
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

auto HubSelector::OnAnswer(const InstanceId& hub, Timestamp now) -> void {
  auto& candidate = candidates_[hub];
  candidate.unanswered_since.reset();
  candidate.unresponsive_since.reset();
  last_answer_at_ = now;
}

auto HubSelector::Connected(Timestamp now) const -> bool {
  return last_answer_at_ && now - *last_answer_at_ <= options_.answer_timeout;
}

}  // namespace dotterellug::fleet
