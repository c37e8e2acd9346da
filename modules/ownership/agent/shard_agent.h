#pragma once

#include <optional>
#include <utility>

#include "core/errors/error.h"
#include "ownership/agent/ownership_actions.h"
#include "ownership/barrier/term_barrier.h"
#include "ownership/member/terminated_members.h"
#include "ownership/record/owner_record.h"
#include "ownership/term/term_fence.h"
#include "store/port/object_record.h"

namespace dotterellug {

// One process's part in one shard. It registers itself in the shard's record
// before it follows any term, takes over on request, and runs the barrier.
// The caller carries out the actions in order and repeats Tick about every
// 500 ms; lost messages and responses are repeated from there.
class ShardAgent {
 public:
  ShardAgent(ShardId shard, MemberId self);

  // Repeats whatever is outstanding: reading, registering, announcing.
  auto Tick() -> OwnershipActions;
  // Asks for ownership; call when the owner is suspected or gone. Does nothing
  // before registration or while this member is the owner.
  auto TakeOver() -> OwnershipActions;

  // Result of a read; version kAbsent when the object does not exist. A failed
  // read is not reported: Tick repeats it.
  auto OnRead(const ObjectRecord& object) -> OwnershipActions;
  // A response to a write. It is answered by a read, because responses to
  // repeated writes cannot be told apart.
  auto OnWrite(WriteOutcome outcome) -> OwnershipActions;
  auto OnAnnouncement(const TermAnnouncement& announcement) -> OwnershipActions;
  // An acknowledgement whose report the caller has already taken in.
  auto OnAcknowledgement(const MemberId& member, Term term) -> OwnershipActions;
  // `member` is confirmed gone. Remembered for later takeovers.
  auto OnMemberTerminated(const MemberId& member) -> OwnershipActions;
  // Removes departed members and members confirmed gone from the record. Call
  // only while the owner needs nothing from them: their reports are taken in
  // and, for claims, everything is in the store.
  auto ForgetDeparted() -> OwnershipActions;

  auto Registered() const -> bool { return registered_; }
  auto Terminated() const -> const TerminatedMembers& { return gone_; }
  auto Self() const -> const MemberId& { return self_; }
  // The term under which this member owns the shard, if it does.
  auto OwnedTerm() const -> std::optional<Term>;
  // Whether the owner may act: it owns the shard and the barrier is complete.
  auto MayAct() const -> bool;
  auto Fence() const -> const TermFence& { return fence_; }
  auto KnownRecord() const -> const std::optional<OwnerRecord>& {
    return record_;
  }
  // Reads ignored because their version or term was lower than one seen.
  auto StaleReads() const -> std::int64_t { return stale_reads_; }

 private:
  struct PendingWrite {
    ObjectVersion expected;
    OwnerRecord record;
  };
  struct Ownership {
    Term term;
    TermBarrier barrier;
    bool completed = false;
  };

  auto Adopt(OwnerRecord record, ObjectVersion version) -> OwnershipActions;
  auto Propose(OwnerRecord record) -> OwnershipActions;
  auto Register() -> OwnershipActions;
  auto FollowTerm(Term term, const MemberId& owner, OwnershipActions* actions)
      -> void;
  auto GainOwnership(OwnershipActions* actions) -> void;
  auto Announce(OwnershipActions* actions) const -> void;
  auto CheckBarrier(OwnershipActions* actions) -> void;
  auto ReportsMayBeMissing() const -> bool;

  ShardId shard_;
  MemberId self_;
  bool registered_ = false;
  TermFence fence_;
  std::optional<OwnerRecord> record_;
  ObjectVersion version_;
  std::optional<PendingWrite> pending_;
  std::optional<Ownership> ownership_;
  TerminatedMembers gone_;
  std::int64_t stale_reads_ = 0;
};

}  // namespace dotterellug
