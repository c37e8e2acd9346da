#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "budget/limit/budget_limit.h"
#include "core/ids/ids.h"
#include "ownership/agent/ownership_actions.h"
#include "ownership/member/member_id.h"

namespace dotterellug {

struct Holding {
  BudgetId budget;
  PartsPerMillion share;
};

// A member's acknowledgement of a term, with everything it holds. All reports
// of one member for one term are equal, because its shares change only by
// commands of an owner that has its report.
struct HoldingsReport {
  ShardId shard;
  Term term;
  MemberId member;
  std::vector<Holding> holdings;
};

// The owner sets a holder's share. Sequences count per term, member and budget;
// the owner has at most one unanswered change for each and repeats it.
struct ChangeShare {
  ShardId shard;
  Term term;
  BudgetId budget;
  std::int64_t sequence = 0;
  PartsPerMillion share;
  // Tokens that come with an increase.
  MicroTokens tokens;
};

// The holder applied a change. `released` are tokens that a decrease gave up.
struct ShareChanged {
  ShardId shard;
  Term term;
  MemberId member;
  BudgetId budget;
  std::int64_t sequence = 0;
  MicroTokens released;
};

// Tokens admitted and refused since the process started. Totals make a lost or
// repeated report harmless.
struct DemandTotal {
  BudgetId budget;
  Tokens admitted;
  Tokens refused;
  // Largest recent request.
  Tokens largest;
};

struct DemandReport {
  ShardId shard;
  MemberId member;
  std::int64_t sequence = 0;
  std::vector<DemandTotal> totals;
};

// Unique over the fleet and over restarts.
struct TransferId {
  MemberId requester;
  std::int64_t sequence = 0;

  friend auto operator==(const TransferId& a, const TransferId& b) -> bool {
    return a.sequence == b.sequence && a.requester == b.requester;
  }
};

// Asks the shard's owner or another holder for tokens. An owner that has none
// forwards the request to the holder that needs its share least.
struct TransferRequest {
  ShardId shard;
  TransferId id;
  BudgetId budget;
  Tokens amount;
};

// The giver has deducted `amount`, which is what was asked for or 0: a part
// would decay before it is of use.
struct TransferGrant {
  ShardId shard;
  TransferId id;
  BudgetId budget;
  Tokens amount;
};

using BudgetMessage =
    std::variant<TermAnnouncement, HoldingsReport, ChangeShare, ShareChanged,
                 DemandReport, TransferRequest, TransferGrant>;

struct SendBudgetMessage {
  MemberId to;
  BudgetMessage message;
};

using BudgetAction = std::variant<ReadObject, WriteObject, SendBudgetMessage>;
using BudgetActions = std::vector<BudgetAction>;

}  // namespace dotterellug
