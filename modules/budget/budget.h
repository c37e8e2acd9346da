#pragma once

// A budget is a fleet-wide limit on a token rate or on the number of requests
// in flight, for example of a client account. It is divided into shares: each
// daemon holds a share of the limit and admits requests against it without
// communication.
//
// The budgets are partitioned into shards. A daemon that is registered in a
// shard is a member of it, called a holder with regard to its shares. One
// member owns the shard; every 500 ms it reassigns shares in proportion to
// demand. A request that cannot be admitted in the meantime can obtain tokens
// from another member by a transfer.
//
// `BudgetShard` is the entry point and is composed of the other classes.
// Depends on: core, ownership. The module has no threads, sockets or clocks.

#include "budget/holder/budget_holder.h"
#include "budget/limit/budget_limit.h"
#include "budget/messages/budget_messages.h"
#include "budget/meter/concurrency_limiter.h"
#include "budget/meter/local_meter.h"
#include "budget/meter/token_bucket.h"
#include "budget/owner/budget_owner.h"
#include "budget/owner/share_table.h"
#include "budget/shard/budget_shard.h"
