#include "budget/owner/budget_owner.h"

#include <utility>

namespace dotterellug {
namespace {

// Evicting an old grant can only lose tokens; see budget_holder.cc.
constexpr std::size_t kMaxRecentGrants = 1024;

}  // namespace

BudgetOwner::BudgetOwner(ShardId shard, Term term, MemberId self,
                         TerminatedMembers terminated, RebalancePolicy policy)
    : shard_(std::move(shard)),
      term_(term),
      self_(std::move(self)),
      policy_(policy),
      terminated_(std::move(terminated)) {}

auto BudgetOwner::SetLimits(const BudgetLimits& limits, Timestamp now) -> void {
  if (limits.revision <= revision_) return;
  revision_ = limits.revision;
  for (const auto& entry : limits.entries) {
    FindOrAddTable(entry.budget, now).ChangeLimit(entry.limit, now);
  }
}

auto BudgetOwner::OnHoldingsReport(const HoldingsReport& report, Timestamp now)
    -> void {
  if (report.term != term_ || terminated_.Contains(report.member)) return;
  if (!reported_members_.insert(report.member).second) return;
  for (const auto& holding : report.holdings) {
    FindOrAddTable(holding.budget, now)
        .AddHolder(report.member, holding.share, now);
  }
  for (auto& [budget, table] : tables_) {
    table.AddHolder(report.member, PartsPerMillion(0), now);
  }
}

auto BudgetOwner::OnBarrierCompleted(Timestamp now) -> void {
  pool_open_ = true;
  for (auto& [budget, table] : tables_) table.OpenPool(now);
}

auto BudgetOwner::OnShareChanged(const ShareChanged& changed, Timestamp now)
    -> void {
  if (changed.term != term_) return;
  FindOrAddTable(changed.budget, now)
      .OnChangeAcknowledged(changed.member, changed.sequence, changed.released,
                            now);
}

auto BudgetOwner::OnDemandReport(const DemandReport& report) -> BudgetActions {
  if (reported_members_.count(report.member) == 0) {
    if (terminated_.Contains(report.member)) return {};
    return {SendBudgetMessage{report.member,
                              TermAnnouncement{shard_, term_, self_}}};
  }
  auto& sequence = demand_sequences_[report.member];
  if (report.sequence <= sequence) return {};
  sequence = report.sequence;
  for (const auto& total : report.totals) {
    const auto found = tables_.find(total.budget);
    if (found != tables_.end()) found->second.OnDemand(report.member, total);
  }
  return {};
}

auto BudgetOwner::OnMemberTerminated(const MemberId& member, Timestamp now)
    -> void {
  terminated_.Add(member);
  demand_sequences_.erase(member);
  for (auto& [budget, table] : tables_) table.RemoveHolder(member, now);
}

auto BudgetOwner::OnTransferRequest(const TransferRequest& request,
                                    Timestamp now) -> TransferGrant {
  for (const auto& recent_grant : recent_grants_) {
    if (recent_grant.id == request.id) return recent_grant;
  }
  TransferGrant grant{shard_, request.id, request.budget, Tokens(0)};
  const auto found = tables_.find(request.budget);
  if (found != tables_.end()) {
    grant.amount = found->second.TakeExactly(request.amount, now);
  }
  recent_grants_.push_back(grant);
  if (recent_grants_.size() > kMaxRecentGrants) recent_grants_.pop_front();
  return grant;
}

auto BudgetOwner::Tick(Timestamp now) -> BudgetActions {
  BudgetActions actions;
  for (auto& [budget, table] : tables_) {
    for (const auto& change : table.Rebalance(policy_, now)) {
      actions.push_back(SendBudgetMessage{
          change.member, ChangeShare{shard_, term_, budget, change.sequence,
                                     change.share, change.tokens}});
    }
  }
  return actions;
}

auto BudgetOwner::FindTable(const BudgetId& budget) const -> const ShareTable* {
  const auto found = tables_.find(budget);
  return found == tables_.end() ? nullptr : &found->second;
}

auto BudgetOwner::FindOrAddTable(const BudgetId& budget, Timestamp now)
    -> ShareTable& {
  const auto found = tables_.find(budget);
  if (found != tables_.end()) return found->second;
  auto& table =
      tables_.emplace(budget, ShareTable(RateLimit{}, now)).first->second;
  for (const auto& member : reported_members_) {
    if (!terminated_.Contains(member)) {
      table.AddHolder(member, PartsPerMillion(0), now);
    }
  }
  if (pool_open_) table.OpenPool(now);
  return table;
}

}  // namespace dotterellug
