#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "core/ids/ids.h"

namespace dotterellug {

// Members about which something changed, with the number of messages that have
// carried the change so far. A change is dropped after a few times the
// logarithm of the number of members, by when nearly all have got it. Not
// thread-safe.
class ChangeQueue {
 public:
  // Starts the dissemination of a new change, which replaces an earlier one
  // about the same member.
  auto Add(const InstanceId& id) -> void;
  auto Remove(const InstanceId& id) -> void;
  // At most `limit` members, by the number of messages that carried them,
  // fewest first.
  auto LeastTransmitted(std::size_t limit) const -> std::vector<InstanceId>;
  // Counts one message; drops the change when it has been sent often enough for
  // a fleet of `members`.
  auto RecordTransmission(const InstanceId& id, std::size_t members) -> void;
  auto Size() const -> std::size_t { return transmissions_.size(); }

 private:
  std::map<InstanceId, int> transmissions_;
  // The same entries by count.
  std::set<std::pair<int, InstanceId>> by_transmissions_;
};

}  // namespace dotterellug
