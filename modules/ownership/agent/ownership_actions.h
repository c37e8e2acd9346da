#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/ids/ids.h"
#include "ownership/member/member_id.h"

namespace dotterellug {

// Tells a registered member about a new term. Repeated until acknowledged.
struct TermAnnouncement {
  ShardId shard;
  Term term;
  MemberId owner;
};

// Read the object and pass the result to OnRead.
struct ReadObject {
  std::string name;
};

// Write the object if its version is still `expected`, and pass the result to
// OnWrite.
struct WriteObject {
  std::string name;
  ObjectVersion expected;
  std::string value;
};

// Send the announcement to `to`.
struct AnnounceTerm {
  MemberId to;
  TermAnnouncement announcement;
};

// This member now obeys `term`. Send `owner` an acknowledgement with what this
// member holds; commands of lower terms are rejected from here on.
struct AcknowledgeTerm {
  Term term;
  MemberId owner;
};

// This member owns the shard under `term`; the barrier runs.
struct OwnershipGained {
  Term term;
};

// The barrier is complete; the owner may act. `reports_may_be_missing` is set
// when the former owner died and another member's report is missing as well.
struct BarrierCompleted {
  Term term;
  bool reports_may_be_missing = false;
};

// This member no longer owns the shard and drops the owner's state.
struct OwnershipLost {
  Term term;
};

using OwnershipAction =
    std::variant<ReadObject, WriteObject, AnnounceTerm, AcknowledgeTerm,
                 OwnershipGained, BarrierCompleted, OwnershipLost>;
using OwnershipActions = std::vector<OwnershipAction>;

// Outcome of a conditional write.
enum class WriteOutcome {
  kDone,
  kConflict,  // another update came first; nothing was written
  kNotDone,   // certainly not written, for example refused by the store
  kUnknown,   // may have been written; read before deciding
};

}  // namespace dotterellug
