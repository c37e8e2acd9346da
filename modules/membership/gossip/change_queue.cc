#include "membership/gossip/change_queue.h"

#include <cmath>

namespace dotterellug {
namespace {

// Messages per change, in multiples of the logarithm of the fleet's size. With
// 3, epidemic dissemination misses a member with a probability below 1 in the
// square of the number of members.
constexpr double kRetransmitFactor = 3.0;

}  // namespace

auto ChangeQueue::Add(const InstanceId& id) -> void {
  Remove(id);
  sent_[id] = 0;
  order_.emplace(0, id);
}

auto ChangeQueue::Remove(const InstanceId& id) -> void {
  const auto found = sent_.find(id);
  if (found == sent_.end()) return;
  order_.erase({found->second, id});
  sent_.erase(found);
}

auto ChangeQueue::First(std::size_t limit) const -> std::vector<InstanceId> {
  std::vector<InstanceId> first;
  for (const auto& entry : order_) {
    if (first.size() >= limit) break;
    first.push_back(entry.second);
  }
  return first;
}

auto ChangeQueue::CountSent(const InstanceId& id, std::size_t members) -> void {
  const auto found = sent_.find(id);
  if (found == sent_.end()) return;
  const auto limit = std::ceil(kRetransmitFactor *
                               std::log2(static_cast<double>(members) + 1.0));
  const auto sent = found->second + 1;
  Remove(id);
  if (sent >= static_cast<int>(limit)) return;
  sent_[id] = sent;
  order_.emplace(sent, id);
}

}  // namespace dotterellug
