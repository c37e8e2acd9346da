#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "budget/limit/budget_limit.h"
#include "core/ids/ids.h"
#include "ownership/agent/ownership_actions.h"
#include "ownership/member/member_id.h"

namespace dotterellug {

// The share of one budget that a member holds.
struct Holding {
  BudgetId budget;
  PartsPerMillion share;
};

// Acknowledges a term and reports all shares that the member holds. Reports of
// a member for the same term are identical until the owner has received one,
// because its shares change only by commands of an owner that has its report;
// the owner uses only the first.
struct HoldingsReport {
  ShardId shard;
  Term term;
  MemberId member;
  std::vector<Holding> holdings;
};

// Owner to holder: set the holder's share. Sequence numbers are counted
// separately for each term, member and budget. The owner has at most one
// unacknowledged change for each and resends it until it is acknowledged.
struct ChangeShare {
  ShardId shard;
  Term term;
  BudgetId budget;
  std::int64_t sequence = 0;
  PartsPerMillion share;
  // Tokens added to the holder's bucket by an increase.
  MicroTokens tokens;
};

// Holder to owner: acknowledges a change that was applied. `released` is the
// number of tokens that a decrease returns to the owner's pool.
struct ShareChanged {
  ShardId shard;
  Term term;
  MemberId member;
  BudgetId budget;
  std::int64_t sequence = 0;
  MicroTokens released;
};

// Demand for one budget. `admitted` and `refused` are cumulative since the
// start of the process, so lost or duplicated reports do not distort the demand
// that is computed from them.
struct DemandTotal {
  BudgetId budget;
  Tokens admitted;
  Tokens refused;
  // The largest recent request, as a maximum that decays with each report.
  Tokens largest_request;
};

// Holder to owner: demand for all budgets of the shard. The sequence number
// increases with each report of the member; an owner ignores reports that
// arrive out of order.
struct DemandReport {
  ShardId shard;
  MemberId member;
  std::int64_t sequence = 0;
  std::vector<DemandTotal> totals;
};

// Identifies a transfer; unique across the fleet and across restarts.
struct TransferId {
  MemberId requester;
  std::int64_t sequence = 0;

  friend auto operator==(const TransferId& a, const TransferId& b) -> bool {
    return a.sequence == b.sequence && a.requester == b.requester;
  }
};

// Requests tokens from the shard's owner or from another holder. An owner whose
// pool has too few forwards the request to the holder with the largest surplus.
struct TransferRequest {
  ShardId shard;
  TransferId id;
  BudgetId budget;
  Tokens amount;
};

// Response to a TransferRequest. The sender has deducted `amount`, which is
// either the requested amount, or 0 if the request is rejected: a partial
// amount would not suffice to admit the caller's request and would decay
// unused.
struct TransferGrant {
  ShardId shard;
  TransferId id;
  BudgetId budget;
  Tokens amount;
};

// All messages between the members of a budget shard.
using BudgetMessage =
    std::variant<TermAnnouncement, HoldingsReport, ChangeShare, ShareChanged,
                 DemandReport, TransferRequest, TransferGrant>;

// Send `message` to the member `to`. Delivery is not guaranteed.
struct SendBudgetMessage {
  MemberId to;
  BudgetMessage message;
};

// An action that BudgetShard requests from its caller.
using BudgetAction = std::variant<ReadObject, WriteObject, SendBudgetMessage>;
using BudgetActions = std::vector<BudgetAction>;

}  // namespace dotterellug
