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
  auto actions = CarryOut(agent_.Tick(), now);
  if (owner_) {
    owner_->OnDemand(holder_.ReportDemand());
    Append(&actions, owner_->Tick(now));
    // The tables hold all that the owner knows, so the record need not keep
    // members that are gone.
    Append(&actions, CarryOut(agent_.ForgetDeparted(), now));
  } else if (known_owner_) {
    actions.push_back(SendBudgetMessage{*known_owner_, holder_.ReportDemand()});
  }
  return actions;
}

auto BudgetShard::TakeOver(Timestamp now) -> BudgetActions {
  return CarryOut(agent_.TakeOver(), now);
}

auto BudgetShard::OnRead(const ObjectRecord& object, Timestamp now)
    -> BudgetActions {
  return CarryOut(agent_.OnRead(object), now);
}

auto BudgetShard::OnWrite(WriteOutcome outcome, Timestamp now)
    -> BudgetActions {
  return CarryOut(agent_.OnWrite(outcome), now);
}

auto BudgetShard::OnMessage(const BudgetMessage& message, Timestamp now)
    -> BudgetActions {
  return std::visit(
      Overloaded{
          [&](const TermAnnouncement& announcement) {
            return CarryOut(agent_.OnAnnouncement(announcement), now);
          },
          [&](const HoldingsReport& report) { return OnReport(report, now); },
          [&](const ChangeShare& change) -> BudgetActions {
            const auto changed = holder_.OnChangeShare(change, now);
            if (!changed || !known_owner_) return {};
            return {SendBudgetMessage{*known_owner_, *changed}};
          },
          [&](const ShareChanged& changed) -> BudgetActions {
            if (owner_) owner_->OnShareChanged(changed, now);
            return {};
          },
          [&](const DemandReport& report) -> BudgetActions {
            if (!owner_) return {};
            return owner_->OnDemand(report);
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

auto BudgetShard::OnGone(const MemberId& member, Timestamp now)
    -> BudgetActions {
  if (owner_) owner_->OnGone(member, now);
  return CarryOut(agent_.OnGone(member), now);
}

auto BudgetShard::SetLimits(const BudgetLimits& limits, Timestamp now) -> void {
  if (limits.revision <= limits_.revision) return;
  limits_ = limits;
  holder_.SetLimits(limits, now);
  if (owner_) owner_->SetLimits(limits, now);
}

auto BudgetShard::RequestTokens(const BudgetId& budget, Tokens amount,
                                Timestamp now) -> BudgetActions {
  if (!known_owner_) return {};
  return RequestTokensFrom(*known_owner_, budget, amount, now);
}

auto BudgetShard::RequestTokensFrom(const MemberId& giver,
                                    const BudgetId& budget, Tokens amount,
                                    Timestamp now) -> BudgetActions {
  return {SendBudgetMessage{giver, holder_.RequestTokens(budget, amount, now)}};
}

auto BudgetShard::CarryOut(const OwnershipActions& actions, Timestamp now)
    -> BudgetActions {
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
              Append(&result, AcknowledgeTo(acknowledge, now));
            },
            [&](const OwnershipGained& gained) {
              owner_.emplace(shard_, gained.term, self_, agent_.Gone(),
                             policy_);
              owner_->SetLimits(limits_, now);
            },
            [&](const BarrierCompleted&) { owner_->OnBarrierCompleted(now); },
            [&](const OwnershipLost&) { owner_.reset(); }},
        action);
  }
  return result;
}

auto BudgetShard::AcknowledgeTo(const AcknowledgeTerm& acknowledge,
                                Timestamp now) -> BudgetActions {
  const auto report = holder_.Acknowledge(acknowledge.term);
  if (!report) return {};
  known_owner_ = acknowledge.owner;
  if (acknowledge.owner == self_) return OnReport(*report, now);
  return {SendBudgetMessage{acknowledge.owner, *report}};
}

auto BudgetShard::OnReport(const HoldingsReport& report, Timestamp now)
    -> BudgetActions {
  if (!owner_) return {};
  owner_->OnReport(report, now);
  return CarryOut(agent_.OnAcknowledgement(report.member, report.term), now);
}

auto BudgetShard::OnTransferRequest(const TransferRequest& request,
                                    Timestamp now) -> BudgetActions {
  if (owner_) {
    const auto from_pool = owner_->OnTransferRequest(request, now);
    if (from_pool.amount > Tokens(0)) {
      return {SendBudgetMessage{request.id.requester, from_pool}};
    }
    const auto* table = owner_->Table(request.budget);
    const auto may_give = [&](const MemberId& member) {
      const bool answers = !live_ || live_->count(member) > 0;
      return answers && member != self_ && member != request.id.requester;
    };
    const auto giver =
        table == nullptr ? std::nullopt : table->LeastNeedy(may_give);
    if (giver) return {SendBudgetMessage{*giver, request}};
  }
  return {SendBudgetMessage{request.id.requester,
                            holder_.OnTransferRequest(request, now)}};
}

}  // namespace dotterellug
