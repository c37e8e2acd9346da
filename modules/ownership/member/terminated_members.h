#pragma once

#include <map>

#include "core/ids/ids.h"
#include "ownership/member/member_id.h"

namespace dotterellug {

// The members confirmed gone, as the highest such incarnation of each instance;
// its predecessors are gone as well. Its size is bounded by the number of
// instances.
class TerminatedMembers {
 public:
  auto Add(const MemberId& member) -> void {
    auto& highest = highest_gone_[member.instance];
    if (highest < member.incarnation) highest = member.incarnation;
  }
  auto Contains(const MemberId& member) const -> bool {
    const auto found = highest_gone_.find(member.instance);
    return found != highest_gone_.end() && member.incarnation <= found->second;
  }

 private:
  std::map<InstanceId, Incarnation> highest_gone_;
};

}  // namespace dotterellug
