#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "budget/messages/budget_messages.h"
#include "budget/owner/share_table.h"
#include "core/time/time.h"
#include "ownership/member/gone_members.h"

namespace dotterellug {

// The owner's side of a budget shard under one term. Create it when ownership
// is gained and destroy it when it is lost; its pool must not outlive the term.
// Shares move between members that have reported also before the barrier
// completes; the free pool opens when it does.
class BudgetOwner {
 public:
  // `gone` are the members already known to be gone.
  BudgetOwner(ShardId shard, Term term, MemberId self, GoneMembers terminated,
              RebalancePolicy policy);

  auto SetLimits(const BudgetLimits& limits, Timestamp now) -> void;
  auto OnHoldingsReport(const HoldingsReport& report, Timestamp now) -> void;
  auto OnBarrierCompleted(Timestamp now) -> void;
  auto OnShareChanged(const ShareChanged& changed, Timestamp now) -> void;
  // A report from a member that has not reported its holdings is answered by an
  // announcement of the term.
  auto OnDemandReport(const DemandReport& report) -> BudgetActions;
  auto OnGone(const MemberId& member, Timestamp now) -> void;
  auto OnTransferRequest(const TransferRequest& request, Timestamp now)
      -> TransferGrant;
  // Rebalances and repeats unanswered changes; call every 500 ms.
  auto Tick(Timestamp now) -> BudgetActions;

  // Null for a budget that is in no revision and no report.
  auto FindTable(const BudgetId& budget) const -> const ShareTable*;

 private:
  auto FindOrAddTable(const BudgetId& budget, Timestamp now) -> ShareTable&;

  ShardId shard_;
  Term term_;
  MemberId self_;
  RebalancePolicy policy_;
  RevisionNumber revision_;
  bool pool_open_ = false;
  std::map<BudgetId, ShareTable> tables_;
  std::set<MemberId> reported_members_;
  GoneMembers terminated_;
  std::map<MemberId, std::int64_t> demand_sequences_;
  std::deque<TransferGrant> recent_grants_;
};

}  // namespace dotterellug
