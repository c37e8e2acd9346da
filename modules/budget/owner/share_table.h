#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "budget/limit/budget_limit.h"
#include "budget/messages/budget_messages.h"
#include "budget/meter/local_meter.h"
#include "core/time/time.h"
#include "ownership/member/member_id.h"

namespace dotterellug {

// How the owner follows demand.
struct RebalancePolicy {
  // Kept in the pool for transfers; not used for concurrency limits.
  PartsPerMillion reserve{50'000};
  // Part of the shares that is spread evenly, so that a holder whose demand
  // begins has something at once. A holder whose share would hold fewer tokens
  // than two of its requests gets none, since these could lie unused for long;
  // the pool keeps them and serves it by transfers.
  PartsPerMillion even_fraction{20'000};
  // A share changes only when its target differs by more than this part of it,
  // so that noise in demand causes no messages.
  PartsPerMillion hysteresis{125'000};
};

// A change that the owner wants sent to `member`.
struct PlannedChange {
  MemberId member;
  std::int64_t sequence = 0;
  PartsPerMillion share;
  MicroTokens tokens;
};

// The owner's table for one budget: what each member holds, and the free pool.
// Its rule is that held shares plus pool never exceed the whole: an increase
// counts as held before it is sent, a decrease returns to the pool only when it
// is acknowledged. The pool is a meter of its own, so that the tokens of free
// shares accrue and can be transferred.
class ShareTable {
 public:
  ShareTable(const BudgetLimit& limit, Timestamp now);

  auto ChangeLimit(const BudgetLimit& limit, Timestamp now) -> void;
  // A member reported what it holds. Only its first report counts.
  auto AddHolder(const MemberId& member, PartsPerMillion share, Timestamp now)
      -> void;
  // All members have reported or are gone: what nobody holds is free. Its
  // tokens may have been spent by a dead holder, so it starts without any.
  auto OpenPool(Timestamp now) -> void;
  // `member` is confirmed gone; its share returns without tokens.
  auto RemoveHolder(const MemberId& member, Timestamp now) -> void;
  auto OnChangeAcknowledged(const MemberId& member, std::int64_t sequence,
                            MicroTokens released, Timestamp now) -> void;
  auto OnDemand(const MemberId& member, const DemandTotal& total) -> void;
  // Tokens from the pool for a transfer.
  auto Give(Tokens amount, Timestamp now) -> Tokens;
  // The holder whose share exceeds its part of the demand most, to which a
  // request for tokens can be forwarded.
  // Only holders for which `may_transfer` is true are considered.
  auto HolderWithLargestSurplus(
      const std::function<bool(const MemberId&)>& may_transfer) const
      -> std::optional<MemberId>;
  // Changes to send now: unanswered ones again, then new ones by demand.
  auto Rebalance(const RebalancePolicy& policy, Timestamp now)
      -> std::vector<PlannedChange>;

  auto FreeShare() const -> PartsPerMillion { return pool_.Share(); }
  auto TotalHeldShare() const -> PartsPerMillion;
  auto HeldShareOf(const MemberId& member) const -> PartsPerMillion;

 private:
  struct Holder {
    PartsPerMillion held_share;
    std::int64_t sequence = 0;
    std::optional<PlannedChange> pending;
    std::optional<DemandTotal> last_demand_total;
    // Tokens asked for since the last rebalancing, and their moving average.
    double requested_tokens = 0;
    double demand = 0;
  };

  // Sets the pool to what nobody holds, once it is open.
  auto UpdatePoolShare(MicroTokens added_tokens, Timestamp now) -> void;
  auto UpdateSmoothedDemand() -> double;
  auto TargetShare(const RebalancePolicy& policy, const Holder& holder,
                   double total_demand) const -> PartsPerMillion;
  auto ExceedsHysteresis(const RebalancePolicy& policy,
                         PartsPerMillion held_share,
                         PartsPerMillion target) const -> bool;
  auto PlanChange(const MemberId& member, Holder* holder, PartsPerMillion share,
                  MicroTokens tokens) -> PlannedChange;
  auto PoolReserve(const RebalancePolicy& policy) const -> PartsPerMillion;

  LocalMeter pool_;
  bool pool_open_ = false;
  bool is_rate_ = true;
  Tokens burst_;
  std::map<MemberId, Holder> holders_;
};

}  // namespace dotterellug
