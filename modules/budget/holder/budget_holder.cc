#include "budget/holder/budget_holder.h"

#include <algorithm>
#include <utility>

namespace dotterellug {
namespace {

// Bounds of the two lists of transfers. Evicting an entry can only lose tokens,
// not create them. The grant of an evicted request is ignored. A request that
// is repeated after its grant was evicted is deducted twice, and the requester
// ignores the second grant.
constexpr std::size_t kMaxPendingTransfers = 256;
constexpr std::size_t kMaxRecentGrants = 256;

// Initial estimate of the time from request to grant; between two availability
// zones it is 2 to 4 ms.
constexpr Duration kInitialTransferLatency = std::chrono::milliseconds(4);

}  // namespace

BudgetHolder::BudgetHolder(ShardId shard, MemberId self)
    : shard_(std::move(shard)),
      self_(std::move(self)),
      transfer_latency_(kInitialTransferLatency) {}

auto BudgetHolder::TryCharge(const BudgetId& budget, Tokens amount,
                             Timestamp now) -> std::optional<Charge> {
  const auto found = budgets_.find(budget);
  if (found == budgets_.end()) return std::nullopt;
  auto& state = found->second;
  const auto charge = state.meter.TryCharge(amount, now);
  (charge ? state.admitted : state.refused) += amount;
  state.largest_request = std::max(state.largest_request, amount);
  return charge;
}

auto BudgetHolder::CompleteCharge(const BudgetId& budget, const Charge& charge,
                                  Tokens used, Timestamp now) -> void {
  const auto found = budgets_.find(budget);
  if (found == budgets_.end()) return;
  found->second.meter.CompleteCharge(charge, used, now);
}

auto BudgetHolder::SetLimits(const BudgetLimits& limits, Timestamp now)
    -> void {
  if (limits.revision <= revision_) return;
  revision_ = limits.revision;
  for (const auto& entry : limits.entries) {
    FindOrAdd(entry.budget, now).meter.ChangeLimit(entry.limit, now);
  }
}

auto BudgetHolder::Acknowledge(Term term) -> std::optional<HoldingsReport> {
  const bool is_new_term = term > fence_.Acknowledged();
  if (!fence_.Acknowledge(term)) return std::nullopt;
  HoldingsReport report{shard_, term, self_, {}};
  for (auto& [budget, state] : budgets_) {
    if (is_new_term) {
      state.sequence = 0;
      state.meter.CancelDecrease();
    }
    report.holdings.push_back({budget, state.meter.Share()});
  }
  return report;
}

auto BudgetHolder::OnChangeShare(const ChangeShare& change, Timestamp now)
    -> std::optional<ShareChanged> {
  if (!fence_.Obeys(change.term)) {
    ++rejected_changes_;
    return std::nullopt;
  }
  auto& state = FindOrAdd(change.budget, now);
  if (change.sequence < state.sequence) return std::nullopt;
  if (change.sequence > state.sequence) {
    const auto released =
        state.meter.ChangeShare(change.share, change.tokens, now);
    if (!released) return std::nullopt;
    state.sequence = change.sequence;
    state.released = *released;
  }
  return ShareChanged{shard_,        change.term,    self_,
                      change.budget, state.sequence, state.released};
}

auto BudgetHolder::NextDemandReport() -> DemandReport {
  DemandReport report{shard_, self_, ++demand_sequence_, {}};
  for (auto& [budget, state] : budgets_) {
    report.totals.push_back(
        {budget, state.admitted, state.refused, state.largest_request});
    // Decays the maximum, so that a single large request has little effect
    // after some tens of reports.
    state.largest_request = Tokens(state.largest_request.Value() * 15 / 16);
  }
  return report;
}

auto BudgetHolder::CreateTransferRequest(const BudgetId& budget, Tokens amount,
                                         Timestamp now) -> TransferRequest {
  const TransferId id{self_, ++transfer_sequence_};
  pending_transfers_.push_back({id, now});
  if (pending_transfers_.size() > kMaxPendingTransfers) {
    pending_transfers_.pop_front();
  }
  const auto found = budgets_.find(budget);
  if (found == budgets_.end()) return {shard_, id, budget, Tokens(0)};
  auto& meter = found->second.meter;
  const auto shortfall = std::max(amount - meter.Available(now), Tokens(1));
  return {shard_, id, budget,
          shortfall + meter.DecayDuring(2 * transfer_latency_)};
}

auto BudgetHolder::OnTransferRequest(const TransferRequest& request,
                                     Timestamp now) -> TransferGrant {
  for (const auto& recent_grant : recent_grants_) {
    if (recent_grant.id == request.id) return recent_grant;
  }
  TransferGrant grant{shard_, request.id, request.budget, Tokens(0)};
  const auto found = budgets_.find(request.budget);
  if (found != budgets_.end()) {
    auto& meter = found->second.meter;
    const bool has_enough =
        request.amount.Value() <= meter.Available(now).Value() / 2;
    if (has_enough) grant.amount = meter.TakeExactly(request.amount, now);
  }
  recent_grants_.push_back(grant);
  if (recent_grants_.size() > kMaxRecentGrants) recent_grants_.pop_front();
  return grant;
}

auto BudgetHolder::OnTransferGrant(const TransferGrant& grant, Timestamp now)
    -> void {
  const auto pending =
      std::find_if(pending_transfers_.begin(), pending_transfers_.end(),
                   [&grant](const PendingTransfer& transfer) {
                     return transfer.id == grant.id;
                   });
  if (pending == pending_transfers_.end()) return;
  const auto requested_at = pending->requested_at;
  transfer_latency_ +=
      (std::min(now - requested_at, kMaxTransferAge) - transfer_latency_) / 8;
  pending_transfers_.erase(pending);
  const auto found = budgets_.find(grant.budget);
  if (found == budgets_.end()) return;
  found->second.meter.AddTransferred(grant.amount, requested_at, now);
}

auto BudgetHolder::Share(const BudgetId& budget) const -> PartsPerMillion {
  const auto found = budgets_.find(budget);
  return found == budgets_.end() ? PartsPerMillion(0)
                                 : found->second.meter.Share();
}

auto BudgetHolder::Available(const BudgetId& budget, Timestamp now) -> Tokens {
  const auto found = budgets_.find(budget);
  return found == budgets_.end() ? Tokens(0)
                                 : found->second.meter.Available(now);
}

auto BudgetHolder::LastAppliedSequence(const BudgetId& budget) const
    -> std::int64_t {
  const auto found = budgets_.find(budget);
  return found == budgets_.end() ? 0 : found->second.sequence;
}

auto BudgetHolder::FindOrAdd(const BudgetId& budget, Timestamp now)
    -> BudgetState& {
  const auto found = budgets_.find(budget);
  if (found != budgets_.end()) return found->second;
  // Nothing is admitted until a revision sets the limit.
  return budgets_.emplace(budget, BudgetState(LocalMeter(RateLimit{}, now)))
      .first->second;
}

}  // namespace dotterellug
