#pragma once

#include <deque>
#include <optional>
#include <unordered_map>

#include "budget/messages/budget_messages.h"
#include "budget/meter/local_meter.h"
#include "core/time/time.h"
#include "ownership/term/term_fence.h"

namespace dotterellug {

// Holds one daemon's shares of the budgets of one shard and admits requests
// against them. Shares do not expire; they change only by commands of the owner
// whose term was acknowledged last. Not thread-safe.
class BudgetHolder {
 public:
  BudgetHolder(ShardId shard, MemberId self);

  // Takes `amount` tokens or permits; empty if fewer are available or the
  // budget is unknown. Neither allocates memory nor sends a message.
  auto TryCharge(const BudgetId& budget, Tokens amount, Timestamp now)
      -> std::optional<Charge>;
  // Completes a charge with the tokens actually used (ignored by concurrency
  // limits).
  auto CompleteCharge(const BudgetId& budget, const Charge& charge, Tokens used,
                      Timestamp now) -> void;

  // Applies the limits of a configuration revision. Ignores a revision that is
  // not higher than the one applied last.
  auto SetLimits(const BudgetLimits& limits, Timestamp now) -> void;

  // Acknowledges a term and reports the shares held. Empty if a higher term has
  // been acknowledged.
  auto Acknowledge(Term term) -> std::optional<HoldingsReport>;
  // Applies a change of the acknowledged term exactly once and returns its
  // acknowledgement; a repeated change is only acknowledged again. Empty if the
  // change is of another term, has an outdated sequence number or cannot take
  // effect yet.
  auto OnChangeShare(const ChangeShare& change, Timestamp now)
      -> std::optional<ShareChanged>;
  // Creates the report to send to the owner with each tick. Each call
  // increments the sequence number and decays the largest request.
  auto NextDemandReport() -> DemandReport;

  // Creates a transfer request for the tokens that are missing to admit a
  // request of `amount`, plus the expected decay during the transfer. The
  // caller sends it to the owner or to another holder.
  auto CreateTransferRequest(const BudgetId& budget, Tokens amount,
                             Timestamp now) -> TransferRequest;
  // Serves the transfer request of another member: deducts the tokens if at
  // least half of those available remain for its own requests. A repeated
  // request gets the same response without another deduction.
  auto OnTransferRequest(const TransferRequest& request, Timestamp now)
      -> TransferGrant;
  // Adds the tokens of a transfer that this process requested. A repeated grant
  // has no effect.
  auto OnTransferGrant(const TransferGrant& grant, Timestamp now) -> void;

  // The share of a budget; zero if the budget is unknown.
  auto Share(const BudgetId& budget) const -> PartsPerMillion;
  // The tokens or permits that can be taken now; zero if the budget is unknown.
  auto Available(const BudgetId& budget, Timestamp now) -> Tokens;
  auto AcknowledgedTerm() const -> Term { return fence_.Acknowledged(); }
  // The sequence number of the last change applied in the acknowledged term.
  auto LastAppliedSequence(const BudgetId& budget) const -> std::int64_t;
  // Number of share changes rejected because their term is not the acknowledged
  // one (fencing).
  auto RejectedChanges() const -> std::int64_t { return rejected_changes_; }

 private:
  // The meter, demand counters and last share change of one budget.
  struct BudgetState {
    explicit BudgetState(LocalMeter local_meter) : meter(local_meter) {}

    LocalMeter meter;
    Tokens admitted;
    Tokens refused;
    Tokens largest_request;
    std::int64_t sequence = 0;
    // Tokens released by the last change, for repeating its acknowledgement.
    MicroTokens released;
  };
  // A transfer requested by this process and not yet granted.
  struct PendingTransfer {
    TransferId id;
    Timestamp requested_at;
  };

  // The state of a budget; a new one has share zero.
  auto FindOrAdd(const BudgetId& budget, Timestamp now) -> BudgetState&;

  ShardId shard_;
  MemberId self_;
  TermFence fence_;
  RevisionNumber revision_;
  std::unordered_map<BudgetId, BudgetState> budgets_;
  std::int64_t demand_sequence_ = 0;
  std::int64_t transfer_sequence_ = 0;
  std::int64_t rejected_changes_ = 0;
  // Moving average of the time from transfer request to grant.
  Duration transfer_latency_;
  std::deque<PendingTransfer> pending_transfers_;
  std::deque<TransferGrant> recent_grants_;
};

}  // namespace dotterellug
