#pragma once

#include <optional>
#include <set>
#include <utility>

#include "budget/holder/budget_holder.h"
#include "budget/messages/budget_messages.h"
#include "budget/owner/budget_owner.h"
#include "ownership/agent/shard_agent.h"

namespace dotterellug {

// The state machine of one daemon for one budget shard, that is, for one
// partition of the budgets. It registers the daemon as a member of the shard,
// holds its shares, and contains the owner's records while it owns the shard.
// The caller executes the returned actions in order, passes in messages and
// results of store operations, and calls Tick every 500 ms. Not thread-safe.
class BudgetShard {
 public:
  BudgetShard(ShardId shard, MemberId self, RebalancePolicy policy = {});

  // Sends demand to the owner, or rebalances if this member is the owner;
  // resends unanswered messages and retries store operations.
  auto Tick(Timestamp now) -> BudgetActions;
  // Tries to become the owner; see ShardAgent::TakeOver.
  auto TakeOver(Timestamp now) -> BudgetActions;
  // Result of a ReadObject action.
  auto OnRead(const ObjectRecord& object, Timestamp now) -> BudgetActions;
  // Result of a WriteObject action.
  auto OnWrite(WriteOutcome outcome, Timestamp now) -> BudgetActions;
  // Handles a message from another member.
  auto OnMessage(const BudgetMessage& message, Timestamp now) -> BudgetActions;
  // `member` is confirmed terminated.
  auto OnMemberTerminated(const MemberId& member, Timestamp now)
      -> BudgetActions;
  // Applies the limits of a configuration revision. Ignores a revision that is
  // not higher than the one applied last.
  auto SetLimits(const BudgetLimits& limits, Timestamp now) -> void;

  // Sets the members that are responsive. Transfer requests are forwarded only
  // to these, since an unresponsive holder grants nothing.
  auto SetResponsiveMembers(std::set<MemberId> live) -> void {
    responsive_members_ = std::move(live);
  }

  // Requests tokens from the owner; empty while no owner is known.
  auto RequestTokens(const BudgetId& budget, Tokens amount, Timestamp now)
      -> BudgetActions;
  // Requests tokens from `source`. This also works for a daemon that could not
  // register in the shard.
  auto RequestTokensFrom(const MemberId& source, const BudgetId& budget,
                         Tokens amount, Timestamp now) -> BudgetActions;

  auto Holder() -> BudgetHolder& { return holder_; }
  auto Agent() const -> const ShardAgent& { return agent_; }
  auto Owner() const -> const std::optional<BudgetOwner>& { return owner_; }

 private:
  // Applies the actions of the ownership protocol that concern this object and
  // returns the others for the caller to execute.
  auto HandleOwnershipActions(const OwnershipActions& actions, Timestamp now)
      -> BudgetActions;
  // Acknowledges a term with a report of the shares held.
  auto ReportHoldings(const AcknowledgeTerm& acknowledge, Timestamp now)
      -> BudgetActions;
  auto OnHoldingsReport(const HoldingsReport& report, Timestamp now)
      -> BudgetActions;
  // As the owner, serves the request from the pool, or forwards it to the
  // holder with the largest surplus if the pool has too few tokens. A member
  // that is not the owner, or finds no such holder, serves it from its own
  // share.
  auto OnTransferRequest(const TransferRequest& request, Timestamp now)
      -> BudgetActions;

  ShardId shard_;
  MemberId self_;
  RebalancePolicy policy_;
  ShardAgent agent_;
  BudgetHolder holder_;
  std::optional<BudgetOwner> owner_;
  // The owner whose term was acknowledged last.
  std::optional<MemberId> acknowledged_owner_;
  // Empty before the first call of SetResponsiveMembers; all members are then
  // treated as responsive.
  std::optional<std::set<MemberId>> responsive_members_;
  BudgetLimits limits_;
};

}  // namespace dotterellug
