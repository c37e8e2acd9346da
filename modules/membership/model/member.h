#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "core/ids/ids.h"

namespace dotterellug {

// Counts what a process says about itself; grows when it refutes a suspicion or
// announces that it leaves.
using StatementNumber = StrongInteger<struct StatementNumberTag>;

// Orders statements about one instance. The process's incarnation and the
// number of its statement are separate, because a higher incarnation proves
// that the earlier process is dead, which a refutation must not.
struct MemberVersion {
  // 0 while no process of the instance has been heard of.
  Incarnation incarnation;
  StatementNumber statement;

  friend auto operator==(const MemberVersion& a, const MemberVersion& b)
      -> bool {
    return a.incarnation == b.incarnation && a.statement == b.statement;
  }
  friend auto operator<(const MemberVersion& a, const MemberVersion& b)
      -> bool {
    return std::tie(a.incarnation, a.statement) <
           std::tie(b.incarnation, b.statement);
  }
};

enum class MemberState { kLive, kLeaving, kSuspected, kGone };

// What one member says about another, or about itself.
struct MemberStatement {
  InstanceId id;
  MemberVersion version;
  AvailabilityZoneId zone;
  // IP address and port for messages between daemons.
  std::string address;
  // Announced by the member itself.
  bool leaving = false;
  // The member did not answer, neither directly nor through others.
  bool suspected = false;
};

// An entry of the platform's instance list.
struct ListedInstance {
  InstanceId id;
  AvailabilityZoneId zone;
  std::string address;
  bool leaving = false;
};

enum class MemberEventKind {
  kStateChanged,
  // The process with `incarnation` is dead; what it held can be reclaimed.
  kProcessGone,
  // A process with a higher incarnation runs on this instance. The caller stops
  // this one, or starts again with a higher incarnation than the event's.
  kSelfSuperseded,
};

struct MemberEvent {
  MemberEventKind kind = MemberEventKind::kStateChanged;
  InstanceId id;
  Incarnation incarnation;
  MemberState state = MemberState::kLive;
};

}  // namespace dotterellug
