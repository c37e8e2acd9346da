#include "budget/shard/budget_shard.h"

#include <utility>

#include "core/variant/overloaded.h"

namespace dotterellug {
namespace {

auto Append(BudgetActions* to, BudgetActions from) -> void {
  for (auto& action : from) to->push_back(std::move(action));
}

}  // namespace

BudgetShard::BudgetShard(ShardId shard, MemberId self, RebalancePolicy policy)
    : shard_(shard),
      self_(self),
      policy_(policy),
      agent_(shard, self),
      holder_(std::move(shard), std::move(self)) {}

auto BudgetShard::Tick(Timestamp now) -> BudgetActions {
  auto actions = HandleOwnershipActions(agent_.Tick(), now);
  if (owner_) {
    owner_->OnDemandReport(holder_.NextDemandReport());
    Append(&actions, owner_->Tick(now));
    // Holdings reports are already in the owner's tables, so members that have
    // left or terminated need not stay in the shard's record.
    Append(&actions, HandleOwnershipActions(agent_.ForgetDeparted(), now));
  } else if (acknowledged_owner_) {
    actions.push_back(
        SendBudgetMessage{*acknowledged_owner_, holder_.NextDemandReport()});
  }
  return actions;
}

auto BudgetShard::TakeOver(Timestamp now) -> BudgetActions {
  return HandleOwnershipActions(agent_.TakeOver(), now);
}

auto BudgetShard::OnRead(const ObjectRecord& object, Timestamp now)
    -> BudgetActions {
  return HandleOwnershipActions(agent_.OnRead(object), now);
}

auto BudgetShard::OnWrite(WriteOutcome outcome, Timestamp now)
    -> BudgetActions {
  return HandleOwnershipActions(agent_.OnWrite(outcome), now);
}

auto BudgetShard::OnMessage(const BudgetMessage& message, Timestamp now)
    -> BudgetActions {
  return std::visit(
      Overloaded{[&](const TermAnnouncement& announcement) {
                   return HandleOwnershipActions(
                       agent_.OnAnnouncement(announcement), now);
                 },
                 [&](const HoldingsReport& report) {
                   return OnHoldingsReport(report, now);
                 },
                 [&](const ChangeShare& change) -> BudgetActions {
                   const auto changed = holder_.OnChangeShare(change, now);
                   if (!changed || !acknowledged_owner_) return {};
                   return {SendBudgetMessage{*acknowledged_owner_, *changed}};
                 },
                 [&](const ShareChanged& changed) -> BudgetActions {
                   if (owner_) owner_->OnShareChanged(changed, now);
                   return {};
                 },
                 [&](const DemandReport& report) -> BudgetActions {
                   if (!owner_) return {};
                   return owner_->OnDemandReport(report);
                 },
                 [&](const TransferRequest& request) {
                   return OnTransferRequest(request, now);
                 },
                 [&](const TransferGrant& grant) -> BudgetActions {
                   holder_.OnTransferGrant(grant, now);
                   return {};
                 }},
      message);
}

auto BudgetShard::OnMemberTerminated(const MemberId& member, Timestamp now)
    -> BudgetActions {
  if (owner_) owner_->OnMemberTerminated(member, now);
  return HandleOwnershipActions(agent_.OnMemberTerminated(member), now);
}

auto BudgetShard::SetLimits(const BudgetLimits& limits, Timestamp now) -> void {
  if (limits.revision <= limits_.revision) return;
  limits_ = limits;
  holder_.SetLimits(limits, now);
  if (owner_) owner_->SetLimits(limits, now);
}

auto BudgetShard::RequestTokens(const BudgetId& budget, Tokens amount,
                                Timestamp now) -> BudgetActions {
  if (!acknowledged_owner_) return {};
  return RequestTokensFrom(*acknowledged_owner_, budget, amount, now);
}

auto BudgetShard::RequestTokensFrom(const MemberId& source,
                                    const BudgetId& budget, Tokens amount,
                                    Timestamp now) -> BudgetActions {
  return {SendBudgetMessage{
      source, holder_.CreateTransferRequest(budget, amount, now)}};
}

auto BudgetShard::HandleOwnershipActions(const OwnershipActions& actions,
                                         Timestamp now) -> BudgetActions {
  BudgetActions result;
  for (const auto& action : actions) {
    std::visit(
        Overloaded{
            [&](const ReadObject& read) { result.emplace_back(read); },
            [&](const WriteObject& write) { result.emplace_back(write); },
            [&](const AnnounceTerm& announce) {
              result.emplace_back(
                  SendBudgetMessage{announce.to, announce.announcement});
            },
            [&](const AcknowledgeTerm& acknowledge) {
              Append(&result, ReportHoldings(acknowledge, now));
            },
            [&](const OwnershipGained& gained) {
              owner_.emplace(shard_, gained.term, self_, agent_.Terminated(),
                             policy_);
              owner_->SetLimits(limits_, now);
            },
            [&](const BarrierCompleted&) { owner_->OnBarrierCompleted(now); },
            [&](const OwnershipLost&) { owner_.reset(); }},
        action);
  }
  return result;
}

auto BudgetShard::ReportHoldings(const AcknowledgeTerm& acknowledge,
                                 Timestamp now) -> BudgetActions {
  const auto report = holder_.Acknowledge(acknowledge.term);
  if (!report) return {};
  acknowledged_owner_ = acknowledge.owner;
  if (acknowledge.owner == self_) return OnHoldingsReport(*report, now);
  return {SendBudgetMessage{acknowledge.owner, *report}};
}

auto BudgetShard::OnHoldingsReport(const HoldingsReport& report, Timestamp now)
    -> BudgetActions {
  if (!owner_) return {};
  owner_->OnHoldingsReport(report, now);
  return HandleOwnershipActions(
      agent_.OnAcknowledgement(report.member, report.term), now);
}

auto BudgetShard::OnTransferRequest(const TransferRequest& request,
                                    Timestamp now) -> BudgetActions {
  if (owner_) {
    const auto pool_grant = owner_->OnTransferRequest(request, now);
    if (pool_grant.amount > Tokens(0)) {
      return {SendBudgetMessage{request.id.requester, pool_grant}};
    }
    const auto* table = owner_->FindTable(request.budget);
    const auto may_transfer = [&](const MemberId& member) {
      const bool is_responsive =
          !responsive_members_ || responsive_members_->count(member) > 0;
      return is_responsive && member != self_ && member != request.id.requester;
    };
    const auto source = table == nullptr
                            ? std::nullopt
                            : table->HolderWithLargestSurplus(may_transfer);
    if (source) return {SendBudgetMessage{*source, request}};
  }
  return {SendBudgetMessage{request.id.requester,
                            holder_.OnTransferRequest(request, now)}};
}

}  // namespace dotterellug
