#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "core/ids/ids.h"

namespace dotterellug {

// Sequence number of a process's statements about itself (SWIM: incarnation
// number). It increases when the process refutes a suspicion or announces that
// it is leaving. `Incarnation`, in contrast, identifies one run of the process.
using StatementNumber = StrongInteger<struct StatementNumberTag>;

// Orders statements about one instance by the incarnation of its process, then
// by statement number. The two are separate because a higher incarnation proves
// that the earlier process is dead; a refutation must not have that effect.
struct MemberVersion {
  // 0 until a statement of a process of the instance has been received.
  Incarnation incarnation;
  StatementNumber number;

  friend auto operator==(const MemberVersion& a, const MemberVersion& b)
      -> bool {
    return a.incarnation == b.incarnation && a.number == b.number;
  }
  friend auto operator<(const MemberVersion& a, const MemberVersion& b)
      -> bool {
    return std::tie(a.incarnation, a.number) <
           std::tie(b.incarnation, b.number);
  }
};

// A member's state as seen by one daemon.
enum class MemberState { kLive, kLeaving, kSuspected, kDead };

// A membership update: the state of one member as disseminated by another
// member or by itself.
struct MemberStatement {
  InstanceId id;
  MemberVersion version;
  AvailabilityZoneId zone;
  // IP address and port for messages between daemons.
  std::string address;
  // Announced by the member itself before it terminates.
  bool leaving = false;
  // The member answered neither a direct probe nor indirect probes through
  // other members.
  bool suspected = false;
};

// An entry of the platform's instance list.
struct ListedInstance {
  InstanceId id;
  AvailabilityZoneId zone;
  std::string address;
  bool leaving = false;
};

// Kinds of membership events.
enum class MemberEventKind {
  // The state of the instance changed to `state`.
  kStateChanged,
  // The process with `incarnation` is dead; resources that it held can be
  // reclaimed.
  kProcessDead,
  // A process with a higher incarnation runs on this daemon's instance. The
  // caller has to terminate this process or restart it with an incarnation
  // higher than the event's.
  kSelfSuperseded,
};

// A change of one member for the owner of the failure detector.
struct MemberEvent {
  MemberEventKind kind = MemberEventKind::kStateChanged;
  InstanceId id;
  Incarnation incarnation;
  MemberState state = MemberState::kLive;
};

}  // namespace dotterellug
