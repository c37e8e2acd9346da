#pragma once

#include <ostream>
#include <tuple>

#include "core/ids/ids.h"

namespace dotterellug {

// One process: the instance it runs on and its incarnation there. A restarted
// process is a different member, so what its predecessor held is never
// mistaken for its own.
struct MemberId {
  InstanceId instance;
  Incarnation incarnation;

  friend auto operator==(const MemberId& a, const MemberId& b) -> bool {
    return a.incarnation == b.incarnation && a.instance == b.instance;
  }
  friend auto operator!=(const MemberId& a, const MemberId& b) -> bool {
    return !(a == b);
  }
  friend auto operator<(const MemberId& a, const MemberId& b) -> bool {
    return std::tie(a.instance, a.incarnation) <
           std::tie(b.instance, b.incarnation);
  }
  friend auto operator<<(std::ostream& out, const MemberId& member)
      -> std::ostream& {
    return out << member.instance << "#" << member.incarnation;
  }
};

}  // namespace dotterellug
