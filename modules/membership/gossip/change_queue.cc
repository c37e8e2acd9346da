#include "membership/gossip/change_queue.h"

#include <cmath>

namespace dotterellug {
namespace {

// Messages per change, in multiples of the base-2 logarithm of the number of
// members. With 3, the probability that epidemic dissemination misses a member
// is below 1 / members^2.
constexpr double kRetransmitFactor = 3.0;

}  // namespace

auto ChangeQueue::Add(const InstanceId& id) -> void {
  Remove(id);
  transmissions_[id] = 0;
  by_transmissions_.emplace(0, id);
}

auto ChangeQueue::Remove(const InstanceId& id) -> void {
  const auto found = transmissions_.find(id);
  if (found == transmissions_.end()) return;
  by_transmissions_.erase({found->second, id});
  transmissions_.erase(found);
}

auto ChangeQueue::LeastTransmitted(std::size_t limit) const
    -> std::vector<InstanceId> {
  std::vector<InstanceId> first;
  for (const auto& entry : by_transmissions_) {
    if (first.size() >= limit) break;
    first.push_back(entry.second);
  }
  return first;
}

auto ChangeQueue::RecordTransmission(const InstanceId& id, std::size_t members)
    -> void {
  const auto found = transmissions_.find(id);
  if (found == transmissions_.end()) return;
  const auto limit = std::ceil(kRetransmitFactor *
                               std::log2(static_cast<double>(members) + 1.0));
  const auto transmissions = found->second + 1;
  Remove(id);
  if (transmissions >= static_cast<int>(limit)) return;
  transmissions_[id] = transmissions;
  by_transmissions_.emplace(transmissions, id);
}

}  // namespace dotterellug
