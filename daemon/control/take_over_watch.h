#pragma once

#include <optional>
#include <set>

#include "core/core.h"
#include "ownership/ownership.h"

namespace dotterellug {

// Decides when this member takes over a shard: when the owner has not been
// among the live members for a second, the live member with the highest
// rendezvous weight does, so that usually one of them tries. A takeover needs
// no clock to be safe; waiting only avoids needless ones.
class TakeOverWatch {
 public:
  TakeOverWatch(ShardId shard, MemberId self)
      : shard_(std::move(shard)), self_(std::move(self)), live_({self_}) {}

  auto SetLive(std::set<MemberId> live) -> void {
    live_ = std::move(live);
    live_.insert(self_);
  }

  // Call regularly with the shard's agent.
  auto ShouldTakeOver(const ShardAgent& agent, Timestamp now) -> bool;

 private:
  ShardId shard_;
  MemberId self_;
  std::set<MemberId> live_;
  std::optional<Timestamp> owner_missing_since_;
};

// The outcome of a conditional write for an ownership module.
auto WriteOutcomeOf(const Result<ObjectVersion>& written) -> WriteOutcome;

}  // namespace dotterellug
