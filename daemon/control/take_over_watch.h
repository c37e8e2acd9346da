#pragma once

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "ownership/ownership.h"
#include "store/store.h"

namespace dotterellug {

// Decides when this member takes over a shard: when the owner has not been
// among the live members for a second, the live member with the highest
// rendezvous weight does, so that usually one of them tries. A takeover needs
// no clock to be safe; waiting only avoids needless ones.
class TakeOverWatch {
 public:
  TakeOverWatch(ShardId shard, MemberId self)
      : shard_(std::move(shard)), self_(std::move(self)), live_({self_}) {}

  auto SetResponsiveMembers(std::set<MemberId> live) -> void {
    live_ = std::move(live);
    live_.insert(self_);
  }

  // Call regularly with the shard's agent.
  auto ShouldTakeOver(const ShardAgent& agent, Timestamp now) -> bool;
  // Whether the periodic read of the shard's record can be left out now. While
  // the owner is live, its announcements carry new terms, and reading on every
  // tick would cost the object API 2 reads a second per daemon and shard.
  auto MaySkipRead(const ShardAgent& agent, Timestamp now) -> bool;

 private:
  ShardId shard_;
  MemberId self_;
  std::set<MemberId> live_;
  std::optional<Timestamp> owner_missing_since_;
  std::optional<Timestamp> read_at_;
};

// Takes the reads out of a shard's actions.
template <typename Action>
auto RemoveReads(std::vector<Action>* actions) -> void {
  actions->erase(
      std::remove_if(actions->begin(), actions->end(),
                     [](const Action& action) {
                       return std::holds_alternative<ReadObject>(action);
                     }),
      actions->end());
}

// The object, or one of version kAbsent when it does not exist, which is an
// answer for an ownership module.
auto ReadOrAbsent(ObjectStore& store, const std::string& name)
    -> Result<ObjectRecord>;

// The outcome of a conditional write for an ownership module.
auto WriteOutcomeOf(const Result<ObjectVersion>& written) -> WriteOutcome;

}  // namespace dotterellug
