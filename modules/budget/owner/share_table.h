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

// Parameters of the assignment of shares by demand.
struct RebalancePolicy {
  // Share kept in the pool for transfers. Not used for concurrency limits.
  PartsPerMillion reserve{50'000};
  // Fraction that is divided evenly between all holders, so that a holder whose
  // demand begins can admit requests at once. A holder gets no share if its
  // bucket would hold fewer tokens than two of its requests, since these tokens
  // could stay unused for long; they remain in the pool, which serves the
  // holder by transfers.
  PartsPerMillion even_fraction{20'000};
  // A share is changed only if its target differs by more than this fraction of
  // it, so that noise in demand causes no messages.
  PartsPerMillion hysteresis{125'000};
};

// A change of a share that is to be sent to `member`.
struct PlannedChange {
  MemberId member;
  std::int64_t sequence = 0;
  PartsPerMillion share;
  MicroTokens tokens;
};

// The owner's records of one budget: the share of each member, and the pool of
// unassigned shares. Invariant: the shares held and the pool together never
// exceed kWhole. An increase therefore counts as held before it is sent, and a
// decrease returns to the pool only when it is acknowledged. The pool has a
// meter of its own, so that the tokens of unassigned shares accrue and can be
// transferred.
class ShareTable {
 public:
  // Starts without holders and with a closed pool of share zero.
  ShareTable(const BudgetLimit& limit, Timestamp now);

  // Replaces the limit; the shares stay the same.
  auto ChangeLimit(const BudgetLimit& limit, Timestamp now) -> void;
  // Adds a member with the share that it reported. Further reports of the
  // member have no effect.
  auto AddHolder(const MemberId& member, PartsPerMillion share, Timestamp now)
      -> void;
  // All members have reported or are confirmed terminated, so every share that
  // no member holds is unassigned. The pool starts without tokens, because
  // terminated holders may have spent them.
  auto OpenPool(Timestamp now) -> void;
  // `member` is confirmed terminated. Its share returns to the pool without
  // tokens.
  auto RemoveHolder(const MemberId& member, Timestamp now) -> void;
  // The member applied the change with this sequence number and released these
  // tokens.
  auto OnChangeAcknowledged(const MemberId& member, std::int64_t sequence,
                            MicroTokens released, Timestamp now) -> void;
  // Adds the demand since the member's previous report.
  auto OnDemand(const MemberId& member, const DemandTotal& total) -> void;
  // Takes exactly `amount` tokens from the pool for a transfer; returns
  // `amount`, or 0 if there are fewer.
  auto Give(Tokens amount, Timestamp now) -> Tokens;
  // The holder whose share exceeds its fraction of the total demand by the
  // largest amount, to which a transfer request can be forwarded. Considers
  // only holders for which `may_transfer` returns true; empty if none has a
  // surplus.
  auto HolderWithLargestSurplus(
      const std::function<bool(const MemberId&)>& may_transfer) const
      -> std::optional<MemberId>;
  // The changes to send now: first the unacknowledged ones again, then new ones
  // that follow demand.
  auto Rebalance(const RebalancePolicy& policy, Timestamp now)
      -> std::vector<PlannedChange>;

  // The share of the pool.
  auto FreeShare() const -> PartsPerMillion { return pool_.Share(); }
  // The sum of the shares held by members.
  auto TotalHeldShare() const -> PartsPerMillion;
  // The share of a member; zero if it is not a holder.
  auto HeldShareOf(const MemberId& member) const -> PartsPerMillion;

 private:
  // The share and demand of one member.
  struct Holder {
    PartsPerMillion held_share;
    std::int64_t sequence = 0;
    // The change that was sent and is not yet acknowledged.
    std::optional<PlannedChange> pending;
    std::optional<DemandTotal> last_demand_total;
    // Tokens admitted and refused since the last rebalancing, and their moving
    // average.
    double requested_tokens = 0;
    double demand = 0;
  };

  // Sets the pool's share to what no member holds, if the pool is open.
  auto UpdatePoolShare(MicroTokens added_tokens, Timestamp now) -> void;
  // Updates the moving averages of demand; returns their sum.
  auto UpdateSmoothedDemand() -> double;
  // The share that a holder is to have according to its demand.
  auto TargetShare(const RebalancePolicy& policy, const Holder& holder,
                   double total_demand) const -> PartsPerMillion;
  // Whether the target differs enough from the current share to change it.
  auto ExceedsHysteresis(const RebalancePolicy& policy,
                         PartsPerMillion held_share,
                         PartsPerMillion target) const -> bool;
  // Records a change as unacknowledged and returns it.
  auto PlanChange(const MemberId& member, Holder* holder, PartsPerMillion share,
                  MicroTokens tokens) -> PlannedChange;
  // The share that stays in the pool.
  auto PoolReserve(const RebalancePolicy& policy) const -> PartsPerMillion;

  LocalMeter pool_;
  bool pool_open_ = false;
  bool is_rate_ = true;
  Tokens burst_;
  std::map<MemberId, Holder> holders_;
};

}  // namespace dotterellug
