#pragma once

#include <optional>
#include <set>
#include <utility>

#include "budget/holder/budget_holder.h"
#include "budget/messages/budget_messages.h"
#include "budget/owner/budget_owner.h"
#include "ownership/agent/shard_agent.h"

namespace dotterellug {

// One daemon's part in one budget shard: its membership in the shard, its
// shares, and the owner's tables while it is the owner. The caller carries out
// the actions in order, passes messages and store results in, and calls Tick
// every 500 ms.
class BudgetShard {
 public:
  BudgetShard(ShardId shard, MemberId self, RebalancePolicy policy = {});

  auto Tick(Timestamp now) -> BudgetActions;
  // See ShardAgent::TakeOver.
  auto TakeOver(Timestamp now) -> BudgetActions;
  auto OnRead(const ObjectRecord& object, Timestamp now) -> BudgetActions;
  auto OnWrite(WriteOutcome outcome, Timestamp now) -> BudgetActions;
  auto OnMessage(const BudgetMessage& message, Timestamp now) -> BudgetActions;
  // `member` is confirmed gone.
  auto OnGone(const MemberId& member, Timestamp now) -> BudgetActions;
  auto SetLimits(const BudgetLimits& limits, Timestamp now) -> void;

  // The members that are expected to answer. Requests for tokens are not
  // forwarded to others, since a holder that does not answer gives nothing.
  auto SetLive(std::set<MemberId> live) -> void {
    live_members_ = std::move(live);
  }

  // Asks the owner for tokens; empty while no owner is known.
  auto RequestTokens(const BudgetId& budget, Tokens amount, Timestamp now)
      -> BudgetActions;
  // Asks `giver` for tokens, as a daemon does that could not register.
  auto RequestTokensFrom(const MemberId& source, const BudgetId& budget,
                         Tokens amount, Timestamp now) -> BudgetActions;

  auto Holder() -> BudgetHolder& { return holder_; }
  auto Agent() const -> const ShardAgent& { return agent_; }
  auto Owner() const -> const std::optional<BudgetOwner>& { return owner_; }

 private:
  auto HandleOwnershipActions(const OwnershipActions& actions, Timestamp now)
      -> BudgetActions;
  auto ReportHoldings(const AcknowledgeTerm& acknowledge, Timestamp now)
      -> BudgetActions;
  auto OnHoldingsReport(const HoldingsReport& report, Timestamp now)
      -> BudgetActions;
  auto OnTransferRequest(const TransferRequest& request, Timestamp now)
      -> BudgetActions;

  ShardId shard_;
  MemberId self_;
  RebalancePolicy policy_;
  ShardAgent agent_;
  BudgetHolder holder_;
  std::optional<BudgetOwner> owner_;
  std::optional<MemberId> acknowledged_owner_;
  // Unset until SetLive.
  std::optional<std::set<MemberId>> live_members_;
  BudgetLimits limits_;
};

}  // namespace dotterellug
