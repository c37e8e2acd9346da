#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "core/ids/ids.h"

namespace dotterellug {

// Members with changes to disseminate, each with the number of messages that
// have carried the change. A change is dropped after a number of messages
// proportional to the logarithm of the number of members, by which time almost
// all members have received it. Not thread-safe.
class ChangeQueue {
 public:
  // Starts disseminating a change of the member. It replaces an earlier change
  // of the same member.
  auto Add(const InstanceId& id) -> void;
  // Stops disseminating the member's change, if there is one.
  auto Remove(const InstanceId& id) -> void;
  // Returns at most `limit` members whose changes were carried by the fewest
  // messages, fewest first.
  auto LeastTransmitted(std::size_t limit) const -> std::vector<InstanceId>;
  // Records that a message carried the member's change. Drops the change when
  // it has been sent often enough for a fleet of `members`.
  auto RecordTransmission(const InstanceId& id, std::size_t members) -> void;
  // Number of changes being disseminated.
  auto Size() const -> std::size_t { return transmissions_.size(); }

 private:
  // Number of messages that have carried the change of each member.
  std::map<InstanceId, int> transmissions_;
  // The same entries ordered by that number.
  std::set<std::pair<int, InstanceId>> by_transmissions_;
};

}  // namespace dotterellug
