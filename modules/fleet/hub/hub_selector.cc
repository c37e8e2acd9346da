#include "fleet/hub/hub_selector.h"

#include <algorithm>

namespace dotterellug::fleet {
namespace {

constexpr std::string_view kOrderKey = "fleet-hub";

}  // namespace

auto HubSelector::SetMembers(const std::vector<InstanceId>& members,
                             const std::map<InstanceId, double>& capacities)
    -> void {
  const auto capacity = [&](const InstanceId& id) {
    const auto found = capacities.find(id);
    return found == capacities.end() ? 0.0 : found->second;
  };
  order_ = members;
  std::sort(order_.begin(), order_.end(), [&](const auto& a, const auto& b) {
    if (capacity(a) != capacity(b)) return capacity(a) > capacity(b);
    const auto weight_a = RendezvousWeight(kOrderKey, a.Value());
    const auto weight_b = RendezvousWeight(kOrderKey, b.Value());
    return weight_a != weight_b ? weight_a > weight_b : a < b;
  });
}

auto HubSelector::Skip(const InstanceId& hub, Timestamp now) -> bool {
  auto& candidate = candidates_[hub];
  if (candidate.unanswered_since &&
      now - *candidate.unanswered_since > options_.answer_timeout) {
    candidate.unanswered_since.reset();
    candidate.silent_at = now;
  }
  if (!candidate.silent_at) return false;
  if (now - *candidate.silent_at < options_.retry_after) return true;
  candidate.silent_at.reset();
  return false;
}

auto HubSelector::Choose(Timestamp now) -> InstanceId {
  const auto take = [&](const InstanceId& hub) {
    auto& candidate = candidates_[hub];
    if (!candidate.unanswered_since) candidate.unanswered_since = now;
    return hub;
  };
  if (leader_ == self_) return self_;
  if (!leader_.Empty() && !Skip(leader_, now)) return take(leader_);
  for (const auto& hub : order_) {
    if (hub == self_) return self_;
    if (!Skip(hub, now)) return take(hub);
  }
  return self_;
}

auto HubSelector::OnAnswer(const InstanceId& hub, Timestamp now) -> void {
  auto& candidate = candidates_[hub];
  candidate.unanswered_since.reset();
  candidate.silent_at.reset();
  last_answer_ = now;
}

auto HubSelector::Connected(Timestamp now) const -> bool {
  return last_answer_ && now - *last_answer_ <= options_.answer_timeout;
}

}  // namespace dotterellug::fleet
