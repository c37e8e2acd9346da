#pragma once

#include <optional>
#include <vector>

#include "idempotency/claimant/claimant.h"
#include "idempotency/member/claim_member.h"
#include "idempotency/messages/claim_messages.h"
#include "idempotency/owner/claim_owner.h"
#include "ownership/agent/shard_agent.h"

namespace dotterellug {

// A claim that was begun, and what to do for it now.
struct BegunClaim {
  ClaimantId claimant;
  ClaimActions actions;
};

// One daemon's part in one claim shard: claimant, member and, while it owns the
// shard, owner. The caller carries out the actions in order, passes messages
// and store results in, and calls Tick every 500 ms.
class ClaimShard {
 public:
  ClaimShard(ShardId shard, MemberId self, ClaimPolicy policy = {});

  auto Tick(ClaimTime now) -> ClaimActions;
  // See ShardAgent::TakeOver.
  auto TakeOver(ClaimTime now) -> ClaimActions;
  // Results for objects of this shard. For OnWrite, `write` is the action that
  // was carried out, and `version` the new version when it is done.
  auto OnRead(const ObjectRecord& object, ClaimTime now) -> ClaimActions;
  auto OnWrite(const WriteObject& write, WriteOutcome outcome,
               ObjectVersion version, ClaimTime now) -> ClaimActions;
  auto OnMessage(const ClaimMessage& message, ClaimTime now) -> ClaimActions;
  // `member` is confirmed gone.
  auto OnMemberTerminated(const MemberId& member, ClaimTime now)
      -> ClaimActions;

  // A call arrived here; the answer is a RunCall or AnswerCaller action with
  // the same claimant later.
  auto Begin(const ClaimKey& key, const RequestDigest& request) -> BegunClaim;
  // See Claimant::Finish.
  auto Finish(const ClaimantId& claimant, ClaimState state,
              const StoredResponse& response) -> ClaimActions;

  auto Agent() const -> const ShardAgent& { return agent_; }
  auto Member() -> ClaimMember& { return member_; }
  auto Owner() const -> const std::optional<ClaimOwner>& { return owner_; }

 private:
  auto CarryOut(const OwnershipActions& actions, ClaimTime now) -> ClaimActions;
  auto AcknowledgeTo(const AcknowledgeTerm& acknowledge, ClaimTime now)
      -> ClaimActions;
  auto OnReport(const ClaimReport& report, ClaimTime now) -> ClaimActions;
  auto OnCountersigned(const Countersigned& countersigned) -> ClaimActions;
  auto Helpers() const -> std::vector<MemberId>;
  auto SendToOwner(const ClaimMessage& message) const -> ClaimActions;

  ShardId shard_;
  MemberId self_;
  ClaimPolicy policy_;
  ShardAgent agent_;
  ClaimMember member_;
  Claimant claimant_;
  std::optional<ClaimOwner> owner_;
  std::optional<MemberId> known_owner_;
  // Rotates the member asked to countersign.
  std::size_t helper_offset_ = 0;
};

}  // namespace dotterellug
