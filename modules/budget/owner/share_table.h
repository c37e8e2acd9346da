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
  // Share of the limit that is kept in the pool for transfers. Not used for
  // concurrency limits.
  PartsPerMillion reserved_share{50'000};
  // Fraction of the shares beyond the reserved one that is divided evenly
  // between all holders, so that a holder whose demand begins can admit
  // requests at once. A holder gets no share if burst * share would be less
  // than twice its largest recent request, since its tokens could then stay
  // unused for long; they remain in the pool, which serves the holder by
  // transfers.
  PartsPerMillion even_fraction{20'000};
  // A share is changed only by at least this fraction of its current value (and
  // one ShareStep), so that noise in demand causes no messages.
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
// unassigned shares. The owner's changes keep the sum of the shares held and
// the pool at or below kWhole: an increase is added to the held share before it
// is sent, and a decrease returns to the pool only when it is acknowledged.
// Only the reports after a change of owner can add up to more; see
// UpdatePoolShare. The pool has a meter of its own, so that the tokens of
// unassigned shares accrue and can be transferred.
class ShareTable {
 public:
  // Starts without holders. Until OpenPool the pool consists only of the shares
  // released by acknowledged decreases.
  ShareTable(const BudgetLimit& limit, Timestamp now);

  // Replaces the limit; the shares stay the same.
  auto ChangeLimit(const BudgetLimit& limit, Timestamp now) -> void;
  // Adds a member with the share that it reported. Further reports of the
  // member have no effect.
  auto AddHolder(const MemberId& member, PartsPerMillion share, Timestamp now)
      -> void;
  // Sets the pool's share to everything that no member holds. Call it when all
  // members have reported or are confirmed terminated. The share is added
  // without tokens, because terminated holders may have spent them.
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
  auto TakeExactly(Tokens amount, Timestamp now) -> Tokens;
  // The holder whose share exceeds its fraction of the total demand by the
  // largest amount, to which a transfer request can be forwarded. Considers
  // only holders for which `may_transfer` returns true; empty if none has a
  // surplus.
  auto HolderWithLargestSurplus(
      const std::function<bool(const MemberId&)>& may_transfer) const
      -> std::optional<MemberId>;
  // The changes to send now: unacknowledged ones again, and new ones that
  // follow demand. Increases of new changes come last, since they use the pool.
  auto Rebalance(const RebalancePolicy& policy, Timestamp now)
      -> std::vector<PlannedChange>;

  // The share of the pool.
  auto PoolShare() const -> PartsPerMillion { return pool_.Share(); }
  // The sum of the shares held by members.
  auto TotalHeldShare() const -> PartsPerMillion;
  // The share of a member; zero if it is not a holder.
  auto HeldShareOf(const MemberId& member) const -> PartsPerMillion;

 private:
  // The share and demand of one member.
  struct HolderRecord {
    PartsPerMillion held_share;
    std::int64_t sequence = 0;
    // The change that was sent and is not yet acknowledged.
    std::optional<PlannedChange> pending;
    std::optional<DemandTotal> last_demand_total;
    // Tokens admitted and refused since the last rebalancing, and their moving
    // average.
    double requested_tokens = 0;
    double smoothed_demand = 0;
  };

  // Sets the pool's share to what no member holds, if the pool is open.
  auto UpdatePoolShare(MicroTokens added_tokens, Timestamp now) -> void;
  // Updates the moving averages of demand; returns their sum.
  auto UpdateSmoothedDemand() -> double;
  // The share that a holder is to have according to its demand.
  auto TargetShare(const RebalancePolicy& policy, const HolderRecord& holder,
                   double total_demand) const -> PartsPerMillion;
  // Whether the target differs enough from the current share to change it.
  auto ExceedsHysteresis(const RebalancePolicy& policy,
                         PartsPerMillion held_share,
                         PartsPerMillion target) const -> bool;
  // Records a change as unacknowledged and returns it.
  auto PlanChange(const MemberId& member, HolderRecord* holder,
                  PartsPerMillion share, MicroTokens tokens) -> PlannedChange;
  // The share that stays in the pool.
  auto PoolReserve(const RebalancePolicy& policy) const -> PartsPerMillion;

  LocalMeter pool_;
  bool pool_open_ = false;
  bool is_rate_ = true;
  Tokens burst_;
  std::map<MemberId, HolderRecord> holders_;
};

}  // namespace dotterellug
