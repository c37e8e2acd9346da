#include "budget/owner/share_table.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace dotterellug {
namespace {

// Weight of the newest period in the moving average of demand. With a period of
// 500 ms, a share follows a step of demand within 1 to 2 s.
constexpr double kNewestWeight = 0.5;

// Requests whose tokens a share must be able to hold to be worth having.
constexpr std::int64_t kUsefulRequests = 2;

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
  if (!holders_.emplace(member, Holder{}).second) return;
  holders_[member].held = share;
  Recount(MicroTokens(0), now);
}

auto ShareTable::OpenPool(Timestamp now) -> void {
  pool_open_ = true;
  Recount(MicroTokens(0), now);
}

auto ShareTable::RemoveHolder(const MemberId& member, Timestamp now) -> void {
  if (holders_.erase(member) != 0) Recount(MicroTokens(0), now);
}

auto ShareTable::Recount(MicroTokens brought, Timestamp now) -> void {
  if (!pool_open_) return;
  // The table can count more than the whole: a member that reported and died
  // may have been reclaimed by the former owner as well, which gave its share
  // away before it acknowledged. Adding a dead member's share to the pool would
  // then count it twice.
  const auto free = std::max(kWhole - Held(), PartsPerMillion(0));
  pool_.ChangeShare(free, brought, now);
}

auto ShareTable::OnChanged(const MemberId& member, std::int64_t sequence,
                           MicroTokens released, Timestamp now) -> void {
  const auto found = holders_.find(member);
  if (found == holders_.end()) return;
  auto& holder = found->second;
  if (!holder.unanswered || holder.unanswered->sequence != sequence) return;
  const auto share = holder.unanswered->share;
  holder.unanswered.reset();
  if (share >= holder.held) return;
  const auto given_up = holder.held - share;
  holder.held = share;
  if (pool_open_) {
    Recount(released, now);
  } else {
    pool_.ChangeShare(pool_.Share() + given_up, released, now);
  }
}

auto ShareTable::OnDemand(const MemberId& member, const DemandTotal& total)
    -> void {
  const auto found = holders_.find(member);
  if (found == holders_.end()) return;
  auto& holder = found->second;
  if (holder.last_total) {
    const auto asked = total.admitted - holder.last_total->admitted +
                       total.refused - holder.last_total->refused;
    holder.asked += static_cast<double>(asked.Value());
  }
  holder.last_total = total;
}

auto ShareTable::Give(Tokens amount, Timestamp now) -> Tokens {
  return pool_.Give(amount, now);
}

auto ShareTable::LeastNeedy(
    const std::function<bool(const MemberId&)>& may_give) const
    -> std::optional<MemberId> {
  double total_demand = 0;
  for (const auto& [member, holder] : holders_) total_demand += holder.demand;
  std::optional<MemberId> best;
  double best_surplus = 0;
  for (const auto& [member, holder] : holders_) {
    if (!may_give(member)) continue;
    const auto needed = total_demand > 0 ? holder.demand / total_demand : 0;
    const auto surplus = static_cast<double>(holder.held.Value()) -
                         needed * static_cast<double>(kWhole.Value());
    if (surplus <= best_surplus) continue;
    best = member;
    best_surplus = surplus;
  }
  return best;
}

auto ShareTable::Rebalance(const RebalancePolicy& policy, Timestamp now)
    -> std::vector<PlannedChange> {
  std::vector<PlannedChange> changes;
  std::vector<std::pair<PartsPerMillion, MemberId>> wanted;
  const auto total_demand = SmoothDemand();
  for (auto& [member, holder] : holders_) {
    if (holder.unanswered) {
      changes.push_back(*holder.unanswered);
      continue;
    }
    if (total_demand <= 0) continue;
    const auto target = Target(policy, holder, total_demand);
    if (!IsWorthMoving(policy, holder.held, target)) continue;
    if (target < holder.held) {
      changes.push_back(Plan(member, &holder, target, MicroTokens(0)));
    } else {
      wanted.emplace_back(target - holder.held, member);
    }
  }
  // The largest needs first, from what is free beyond the reserve.
  std::sort(wanted.rbegin(), wanted.rend());
  for (const auto& [difference, member] : wanted) {
    const auto usable = pool_.Share() - Reserve(policy);
    auto step = std::min(difference, usable);
    if (step < pool_.ShareStep()) continue;
    if (!is_rate_) {
      const auto permit = pool_.ShareStep().Value();
      step = PartsPerMillion(step.Value() / permit * permit);
    }
    auto& holder = holders_[member];
    const auto tokens =
        pool_.ChangeShare(pool_.Share() - step, MicroTokens(0), now);
    holder.held += step;
    changes.push_back(
        Plan(member, &holder, holder.held, tokens.value_or(MicroTokens(0))));
  }
  return changes;
}

auto ShareTable::Held() const -> PartsPerMillion {
  PartsPerMillion sum;
  for (const auto& [member, holder] : holders_) sum += holder.held;
  return sum;
}

auto ShareTable::HeldBy(const MemberId& member) const -> PartsPerMillion {
  const auto found = holders_.find(member);
  return found == holders_.end() ? PartsPerMillion(0) : found->second.held;
}

auto ShareTable::SmoothDemand() -> double {
  double total = 0;
  for (auto& [member, holder] : holders_) {
    holder.demand += kNewestWeight * (holder.asked - holder.demand);
    if (holder.demand < 1e-3) holder.demand = 0;
    holder.asked = 0;
    total += holder.demand;
  }
  return total;
}

auto ShareTable::Target(const RebalancePolicy& policy, const Holder& holder,
                        double total_demand) const -> PartsPerMillion {
  const auto whole = static_cast<double>(kWhole.Value());
  const auto even_part =
      is_rate_ ? static_cast<double>(policy.even_part.Value()) / whole : 0.0;
  const auto even = even_part / static_cast<double>(holders_.size());
  const auto by_demand = (1 - even_part) * holder.demand / total_demand;
  const auto usable = static_cast<double>((kWhole - Reserve(policy)).Value());
  const auto target = static_cast<std::int64_t>(usable * (even + by_demand));
  if (is_rate_) {
    const auto largest =
        holder.last_total ? holder.last_total->largest : Tokens(0);
    const bool useful =
        target * burst_.Value() >=
        kUsefulRequests * largest.Value() * kMicroTokensPerToken;
    return PartsPerMillion(useful ? target : 0);
  }
  const auto permit = pool_.ShareStep().Value();
  // Rounds up, so that no permit stays free while somebody wants one.
  return PartsPerMillion((target + permit - 1) / permit * permit);
}

auto ShareTable::IsWorthMoving(const RebalancePolicy& policy,
                               PartsPerMillion held,
                               PartsPerMillion target) const -> bool {
  const auto difference = std::abs(target.Value() - held.Value());
  const auto threshold =
      held.Value() * policy.hysteresis.Value() / kWhole.Value();
  return difference >= std::max(threshold, pool_.ShareStep().Value());
}

auto ShareTable::Plan(const MemberId& member, Holder* holder,
                      PartsPerMillion share, MicroTokens tokens)
    -> PlannedChange {
  holder->unanswered = PlannedChange{member, ++holder->sequence, share, tokens};
  return *holder->unanswered;
}

auto ShareTable::Reserve(const RebalancePolicy& policy) const
    -> PartsPerMillion {
  return is_rate_ ? policy.reserve : PartsPerMillion(0);
}

}  // namespace dotterellug
