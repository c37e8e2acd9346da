#pragma once

#include <deque>
#include <optional>
#include <unordered_map>

#include "budget/messages/budget_messages.h"
#include "budget/meter/local_meter.h"
#include "core/time/time.h"
#include "ownership/term/term_fence.h"

namespace dotterellug {

// One daemon's shares of the budgets of one shard, and the admission against
// them. Shares are held without expiry and change only by commands of the owner
// whose term was acknowledged last. Not thread-safe.
class BudgetHolder {
 public:
  BudgetHolder(ShardId shard, MemberId self);

  // Admission; no allocation, and no message. Refuses unknown budgets.
  auto TryCharge(const BudgetId& budget, Tokens amount, Timestamp now)
      -> std::optional<Charge>;
  // Ends a charge with the tokens used (ignored by concurrency limits).
  auto Settle(const BudgetId& budget, const Charge& charge, Tokens used,
              Timestamp now) -> void;

  // Applies the limits of a revision; a revision that is not higher than the
  // one applied is ignored.
  auto SetLimits(const BudgetLimits& limits, Timestamp now) -> void;

  // Acknowledges a term and reports what is held. Empty for a lower term than
  // acknowledged before.
  auto Acknowledge(Term term) -> std::optional<HoldingsReport>;
  // Applies a change of the acknowledged term once. Empty when the command is
  // of another term or out of sequence, or cannot take effect yet.
  auto OnChangeShare(const ChangeShare& change, Timestamp now)
      -> std::optional<ShareChanged>;
  auto ReportDemand() -> DemandReport;

  // Begins a transfer of what is missing for a request of `amount`, with an
  // allowance for decay; send the result to the owner or to another holder.
  auto RequestTokens(const BudgetId& budget, Tokens amount, Timestamp now)
      -> TransferRequest;
  // The giver's side: deducts if that leaves half of its tokens, and answers.
  // A repeated request gets the same answer without another deduction.
  auto OnTransferRequest(const TransferRequest& request, Timestamp now)
      -> TransferGrant;
  // Adds the tokens of a transfer that this process requested, once.
  auto OnTransferGrant(const TransferGrant& grant, Timestamp now) -> void;

  auto Share(const BudgetId& budget) const -> PartsPerMillion;
  auto Available(const BudgetId& budget, Timestamp now) -> Tokens;
  auto AcknowledgedTerm() const -> Term { return fence_.Acknowledged(); }
  // Sequence of the last change applied in the acknowledged term.
  auto LastAppliedSequence(const BudgetId& budget) const -> std::int64_t;
  // Commands ignored because they came from an owner of another term.
  auto FencedCommands() const -> std::int64_t { return fenced_commands_; }

 private:
  struct BudgetState {
    explicit BudgetState(LocalMeter local_meter) : meter(local_meter) {}

    LocalMeter meter;
    Tokens admitted;
    Tokens refused;
    Tokens largest;
    std::int64_t sequence = 0;
    // Answer to the last change, for repeating it.
    MicroTokens released;
  };
  struct PendingTransfer {
    TransferId id;
    Timestamp requested_at;
  };

  auto FindOrAdd(const BudgetId& budget, Timestamp now) -> BudgetState&;

  ShardId shard_;
  MemberId self_;
  TermFence fence_;
  RevisionNumber revision_;
  std::unordered_map<BudgetId, BudgetState> budgets_;
  std::int64_t demand_sequence_ = 0;
  std::int64_t transfer_sequence_ = 0;
  std::int64_t fenced_commands_ = 0;
  // Moving average of the time from request to grant.
  Duration transfer_latency_;
  std::deque<PendingTransfer> pending_transfers_;
  std::deque<TransferGrant> recent_grants_;
};

}  // namespace dotterellug
