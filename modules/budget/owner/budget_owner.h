#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "budget/messages/budget_messages.h"
#include "budget/owner/share_table.h"
#include "core/time/time.h"
#include "ownership/member/terminated_members.h"

namespace dotterellug {

// Manages the budgets of one shard while this member owns it, for a single
// term. Create it when ownership is gained and destroy it when ownership is
// lost: its pool must not outlive the term. Before all members have reported
// their holdings, shares can be moved between those that have. The pool of
// unassigned shares opens when the term's barrier completes, that is, when
// every member has reported or is confirmed terminated.
class BudgetOwner {
 public:
  // `terminated` contains the members already confirmed terminated.
  BudgetOwner(ShardId shard, Term term, MemberId self,
              TerminatedMembers terminated, RebalancePolicy policy);

  // Applies the limits of a configuration revision. Ignores a revision that is
  // not higher than the one applied last.
  auto SetLimits(const BudgetLimits& limits, Timestamp now) -> void;
  // Adds a member with the shares that it holds. Only a member's first report
  // of this term has an effect.
  auto OnHoldingsReport(const HoldingsReport& report, Timestamp now) -> void;
  // Opens the pools of unassigned shares.
  auto OnBarrierCompleted(Timestamp now) -> void;
  // A holder acknowledged a change of its share.
  auto OnShareChanged(const ShareChanged& changed, Timestamp now) -> void;
  // Updates the demand of a member. A member that has not reported its holdings
  // is sent an announcement of the term, unless it is confirmed terminated.
  auto OnDemandReport(const DemandReport& report) -> BudgetActions;
  // `member` is confirmed terminated; its shares return to the pools.
  auto OnMemberTerminated(const MemberId& member, Timestamp now) -> void;
  // Serves a transfer from the pool of unassigned shares. The amount granted is
  // the requested one or 0. A repeated request gets the same response without
  // another deduction.
  auto OnTransferRequest(const TransferRequest& request, Timestamp now)
      -> TransferGrant;
  // Rebalances the shares and resends unacknowledged changes. Call it every 500
  // ms.
  auto Tick(Timestamp now) -> BudgetActions;

  // The table of a budget; null if neither the limits nor a holdings report
  // contained the budget.
  auto FindTable(const BudgetId& budget) const -> const ShareTable*;

 private:
  // The table of a budget; a new one contains all members that have reported,
  // with share zero.
  auto FindOrAddTable(const BudgetId& budget, Timestamp now) -> ShareTable&;

  ShardId shard_;
  Term term_;
  MemberId self_;
  RebalancePolicy policy_;
  RevisionNumber revision_;
  bool pool_open_ = false;
  std::map<BudgetId, ShareTable> tables_;
  std::set<MemberId> reported_members_;
  TerminatedMembers terminated_;
  std::map<MemberId, std::int64_t> demand_sequences_;
  std::deque<TransferGrant> recent_grants_;
};

}  // namespace dotterellug
