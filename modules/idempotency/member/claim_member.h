#pragma once

#include <map>
#include <optional>
#include <utility>

#include "idempotency/messages/claim_messages.h"
#include "ownership/term/term_fence.h"

namespace dotterellug {

// A member's copies of claims that an owner granted without the store. They are
// kept for the retention time and reported to each new owner.
class ClaimMember {
 public:
  ClaimMember(ShardId shard, MemberId self);

  // Keeps the claim if its term is the acknowledged one: a new owner that has
  // this member's report would not learn of it. Empty when refused.
  auto OnCountersign(const CountersignRequest& request)
      -> std::optional<Countersigned>;
  // Keeps the owner's own copy.
  auto Keep(const ClaimRecord& record) -> bool;
  // Acknowledges a term. Empty for a lower one than acknowledged before.
  auto Acknowledge(Term term) -> std::optional<ClaimReport>;
  // Drops copies older than `retention`.
  auto Expire(WallTime now, Duration retention) -> void;

  auto KeptCount() const -> std::size_t { return kept_.size(); }
  auto AcknowledgedTerm() const -> Term { return fence_.Acknowledged(); }

 private:
  ShardId shard_;
  MemberId self_;
  TermFence fence_;
  std::map<std::pair<ClaimKey, ClaimantId>, ClaimRecord> kept_;
};

}  // namespace dotterellug
