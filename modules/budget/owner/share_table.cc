#include "budget/owner/share_table.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace dotterellug {
namespace {

// Weight of the newest period in the moving average of demand. With a period of
// 500 ms, shares reach the new level of a step in demand after 1 to 2 s.
constexpr double kDemandSmoothingFactor = 0.5;

// A share that holds the tokens of fewer requests than this is not assigned;
// see RebalancePolicy::even_fraction.
constexpr std::int64_t kMinRequestsPerShare = 2;

auto IsRate(const BudgetLimit& limit) -> bool {
  return std::holds_alternative<RateLimit>(limit);
}

auto BurstOf(const BudgetLimit& limit) -> Tokens {
  const auto* rate = std::get_if<RateLimit>(&limit);
  return rate == nullptr ? Tokens(0) : rate->burst;
}

}  // namespace

ShareTable::ShareTable(const BudgetLimit& limit, Timestamp now)
    : pool_(limit, now), is_rate_(IsRate(limit)), burst_(BurstOf(limit)) {}

auto ShareTable::ChangeLimit(const BudgetLimit& limit, Timestamp now) -> void {
  is_rate_ = IsRate(limit);
  burst_ = BurstOf(limit);
  pool_.ChangeLimit(limit, now);
}

auto ShareTable::AddHolder(const MemberId& member, PartsPerMillion share,
                           Timestamp now) -> void {
  if (!holders_.emplace(member, HolderRecord{}).second) return;
  holders_[member].held_share = share;
  UpdatePoolShare(MicroTokens(0), now);
}

auto ShareTable::OpenPool(Timestamp now) -> void {
  pool_open_ = true;
  UpdatePoolShare(MicroTokens(0), now);
}

auto ShareTable::RemoveHolder(const MemberId& member, Timestamp now) -> void {
  if (holders_.erase(member) != 0) UpdatePoolShare(MicroTokens(0), now);
}

auto ShareTable::UpdatePoolShare(MicroTokens added_tokens, Timestamp now)
    -> void {
  if (!pool_open_) return;
  // The shares in the table can add up to more than kWhole. The former owner
  // may already have reclaimed the share of a member that reported and then
  // terminated, and assigned it to another member before the new term was
  // acknowledged. The pool is therefore computed from the shares held: adding
  // the share of a terminated member to it would count that share twice.
  const auto unassigned =
      std::max(kWhole - TotalHeldShare(), PartsPerMillion(0));
  pool_.ChangeShare(unassigned, added_tokens, now);
}

auto ShareTable::OnChangeAcknowledged(const MemberId& member,
                                      std::int64_t sequence,
                                      MicroTokens released, Timestamp now)
    -> void {
  const auto found = holders_.find(member);
  if (found == holders_.end()) return;
  auto& holder = found->second;
  if (!holder.pending || holder.pending->sequence != sequence) return;
  const auto share = holder.pending->share;
  holder.pending.reset();
  if (share >= holder.held_share) return;
  const auto freed_share = holder.held_share - share;
  holder.held_share = share;
  if (pool_open_) {
    UpdatePoolShare(released, now);
  } else {
    pool_.ChangeShare(pool_.Share() + freed_share, released, now);
  }
}

auto ShareTable::OnDemand(const MemberId& member, const DemandTotal& total)
    -> void {
  const auto found = holders_.find(member);
  if (found == holders_.end()) return;
  auto& holder = found->second;
  if (holder.last_demand_total) {
    const auto requested_tokens =
        total.admitted - holder.last_demand_total->admitted + total.refused -
        holder.last_demand_total->refused;
    holder.requested_tokens += static_cast<double>(requested_tokens.Value());
  }
  holder.last_demand_total = total;
}

auto ShareTable::TakeExactly(Tokens amount, Timestamp now) -> Tokens {
  return pool_.TakeExactly(amount, now);
}

auto ShareTable::HolderWithLargestSurplus(
    const std::function<bool(const MemberId&)>& may_transfer) const
    -> std::optional<MemberId> {
  double total = 0;
  for (const auto& [member, holder] : holders_) total += holder.smoothed_demand;
  std::optional<MemberId> best;
  double best_surplus = 0;
  for (const auto& [member, holder] : holders_) {
    if (!may_transfer(member)) continue;
    const auto demand_fraction = total > 0 ? holder.smoothed_demand / total : 0;
    const auto surplus = static_cast<double>(holder.held_share.Value()) -
                         demand_fraction * static_cast<double>(kWhole.Value());
    if (surplus <= best_surplus) continue;
    best = member;
    best_surplus = surplus;
  }
  return best;
}

auto ShareTable::Rebalance(const RebalancePolicy& policy, Timestamp now)
    -> std::vector<PlannedChange> {
  std::vector<PlannedChange> changes;
  std::vector<std::pair<PartsPerMillion, MemberId>> increases;
  const auto total_demand = UpdateSmoothedDemand();
  for (auto& [member, holder] : holders_) {
    if (holder.pending) {
      changes.push_back(*holder.pending);
      continue;
    }
    if (total_demand <= 0) continue;
    const auto target = TargetShare(policy, holder, total_demand);
    if (!ExceedsHysteresis(policy, holder.held_share, target)) continue;
    if (target < holder.held_share) {
      changes.push_back(PlanChange(member, &holder, target, MicroTokens(0)));
    } else {
      increases.emplace_back(target - holder.held_share, member);
    }
  }
  // Largest increases first, from the pool's share beyond the reserved one.
  std::sort(increases.rbegin(), increases.rend());
  for (const auto& [difference, member] : increases) {
    const auto usable = pool_.Share() - PoolReserve(policy);
    auto step = std::min(difference, usable);
    if (step < pool_.ShareStep()) continue;
    if (!is_rate_) {
      const auto share_per_permit = pool_.ShareStep().Value();
      step =
          PartsPerMillion(step.Value() / share_per_permit * share_per_permit);
    }
    auto& holder = holders_[member];
    const auto tokens =
        pool_.ChangeShare(pool_.Share() - step, MicroTokens(0), now);
    holder.held_share += step;
    changes.push_back(PlanChange(member, &holder, holder.held_share,
                                 tokens.value_or(MicroTokens(0))));
  }
  return changes;
}

auto ShareTable::TotalHeldShare() const -> PartsPerMillion {
  PartsPerMillion sum;
  for (const auto& [member, holder] : holders_) sum += holder.held_share;
  return sum;
}

auto ShareTable::HeldShareOf(const MemberId& member) const -> PartsPerMillion {
  const auto found = holders_.find(member);
  return found == holders_.end() ? PartsPerMillion(0)
                                 : found->second.held_share;
}

auto ShareTable::UpdateSmoothedDemand() -> double {
  double total = 0;
  for (auto& [member, holder] : holders_) {
    holder.smoothed_demand +=
        kDemandSmoothingFactor *
        (holder.requested_tokens - holder.smoothed_demand);
    if (holder.smoothed_demand < 1e-3) holder.smoothed_demand = 0;
    holder.requested_tokens = 0;
    total += holder.smoothed_demand;
  }
  return total;
}

auto ShareTable::TargetShare(const RebalancePolicy& policy,
                             const HolderRecord& holder,
                             double total_demand) const -> PartsPerMillion {
  const auto whole = static_cast<double>(kWhole.Value());
  const auto even_fraction =
      is_rate_ ? static_cast<double>(policy.even_fraction.Value()) / whole
               : 0.0;
  const auto even = even_fraction / static_cast<double>(holders_.size());
  const auto by_demand =
      (1 - even_fraction) * holder.smoothed_demand / total_demand;
  const auto usable =
      static_cast<double>((kWhole - PoolReserve(policy)).Value());
  const auto target = static_cast<std::int64_t>(usable * (even + by_demand));
  if (is_rate_) {
    const auto largest_request = holder.last_demand_total
                                     ? holder.last_demand_total->largest_request
                                     : Tokens(0);
    const bool holds_enough_requests =
        target * burst_.Value() >=
        kMinRequestsPerShare * largest_request.Value() * kMicroTokensPerToken;
    return PartsPerMillion(holds_enough_requests ? target : 0);
  }
  const auto share_per_permit = pool_.ShareStep().Value();
  // Rounds up, so that no permit stays unassigned while a member has demand for
  // it.
  return PartsPerMillion((target + share_per_permit - 1) / share_per_permit *
                         share_per_permit);
}

auto ShareTable::ExceedsHysteresis(const RebalancePolicy& policy,
                                   PartsPerMillion held_share,
                                   PartsPerMillion target) const -> bool {
  const auto difference = std::abs(target.Value() - held_share.Value());
  const auto threshold =
      held_share.Value() * policy.hysteresis.Value() / kWhole.Value();
  return difference >= std::max(threshold, pool_.ShareStep().Value());
}

auto ShareTable::PlanChange(const MemberId& member, HolderRecord* holder,
                            PartsPerMillion share, MicroTokens tokens)
    -> PlannedChange {
  holder->pending = PlannedChange{member, ++holder->sequence, share, tokens};
  return *holder->pending;
}

auto ShareTable::PoolReserve(const RebalancePolicy& policy) const
    -> PartsPerMillion {
  return is_rate_ ? policy.reserved_share : PartsPerMillion(0);
}

}  // namespace dotterellug
