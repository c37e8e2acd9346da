#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/time/time.h"
#include "idempotency/messages/claim_messages.h"
#include "idempotency/record/claim_log.h"
#include "ownership/member/terminated_members.h"
#include "store/port/object_record.h"

namespace dotterellug {

struct ClaimPolicy {
  // How long a repeated call gets the first response.
  Duration retention = std::chrono::hours(24);
  // A larger body is not stored; a repeat then learns only that the call ran.
  std::size_t max_response_bytes = 4096;
  // Claims are rejected as not run when the log would grow beyond this; it must
  // stay below kMaxObjectBytes.
  std::size_t max_log_bytes = 900'000;
  // A write without a success for this long means that the store is out.
  Duration outage_after = std::chrono::seconds(1);
};

// The time of an event on both clocks: `monotonic` for decisions, `wall` for
// retention across owners.
struct ClaimTime {
  Timestamp monotonic;
  WallTime wall;
};

// The owner's side of a claim shard under one term. Create it when ownership is
// gained, destroy it when it is lost.
//
// A claim is granted only when it is durable: written to the log with a
// condition on its version, or, in outage mode, kept by a second member that
// has acknowledged no higher term. Outage mode needs one successful write of
// this owner after its barrier. That write proves that its copy of the log is
// the latest; a stale read could otherwise hide claims of the former owner.
class ClaimOwner {
 public:
  ClaimOwner(ShardId shard, Term term, MemberId self, TerminatedMembers gone,
             ClaimPolicy policy);

  auto OnReport(const ClaimReport& report) -> void;
  // From here on the owner answers. `reports_may_be_missing` makes it answer
  // `unknown` for claims that it does not know, for the retention time.
  auto OnBarrierCompleted(bool reports_may_be_missing, ClaimTime now)
      -> ClaimActions;
  auto OnRead(const ObjectRecord& object, ClaimTime now) -> ClaimActions;
  // Outcome of the write conditional on `expected`; `version` is the object's
  // new version when the outcome is kDone.
  auto OnWrite(ObjectVersion expected, WriteOutcome outcome,
               ObjectVersion version, ClaimTime now) -> ClaimActions;
  auto OnClaim(const ClaimRequest& request, ClaimTime now) -> ClaimActions;
  auto OnResult(const ClaimResult& result, ClaimTime now) -> ClaimActions;
  auto OnCountersigned(const Countersigned& countersigned) -> ClaimActions;
  auto OnMemberTerminated(const MemberId& member) -> void;
  // Repeats writes and, in outage mode, asks `helpers` for countersignatures;
  // these are registered members other than this one, the preferred one first.
  // Call every 500 ms.
  auto Tick(const std::vector<MemberId>& helpers, ClaimTime now)
      -> ClaimActions;

  // Whether all state is in the store.
  auto AllWritten() const -> bool;
  auto InOutage() const -> bool { return outage_; }
  // Claims granted in this outage, to be kept by this member as well.
  auto Find(const ClaimKey& key) const -> const ClaimRecord*;
  // Another owner has written the log; this one must not act any more.
  auto Superseded() const -> bool { return superseded_; }

 private:
  struct Entry {
    ClaimRecord record;
    // The claimant may be told to run.
    bool durable = false;
    // Not in the log as it stands here; and included in the pending write.
    bool unwritten = false;
    bool in_pending = false;
    // The claimant waits for its result to be stored.
    bool result_unacknowledged = false;
  };
  struct PendingWrite {
    ObjectVersion expected;
    std::int64_t batch = 0;
    std::string value;
    Timestamp since;
  };

  auto Merge(const ClaimLog& log) -> void;
  auto MergeKept(const ClaimRecord& record) -> void;
  auto Commit(ObjectVersion version, ClaimTime now) -> ClaimActions;
  auto ReturnPending() -> void;
  auto Flush(ClaimTime now) -> ClaimActions;
  auto Expire(WallTime now) -> void;
  auto Answer(const Entry& entry, const ClaimRequest& request) const
      -> ClaimActions;
  auto Grant(const Entry& entry, ClaimActions* actions) const -> void;
  auto Reply(const ClaimantId& claimant, const ClaimKey& key,
             ClaimVerdict verdict) const -> SendClaimMessage;
  auto Countersign(const std::vector<MemberId>& helpers) const -> ClaimActions;
  auto LogBytes() const -> std::size_t;

  ShardId shard_;
  Term term_;
  MemberId self_;
  TerminatedMembers gone_;
  ClaimPolicy policy_;
  bool active_ = false;
  bool superseded_ = false;
  bool outage_ = false;
  // A write of this owner after the barrier has succeeded.
  bool fenced_ = false;
  bool header_unwritten_ = true;
  std::optional<ObjectVersion> version_;
  std::int64_t batch_ = 0;
  std::optional<PendingWrite> pending_;
  WallTime unknown_until_;
  std::map<ClaimKey, Entry> entries_;
};

}  // namespace dotterellug
