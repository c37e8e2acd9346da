#pragma once

// Fleet-wide limits on token rates and on the number of requests in flight.
// Each daemon holds a share of every limit and admits requests locally against
// it. Budgets are partitioned into shards; the daemon that owns a shard moves
// shares to where demand is, and individual tokens are transferred between
// daemons when a request cannot wait for that. `BudgetShard` is the entry
// point: it runs one daemon's part in one shard and is composed of the other
// classes. Depends on: core, ownership. The module has no threads, sockets or
// clocks.

#include "budget/holder/budget_holder.h"
#include "budget/limit/budget_limit.h"
#include "budget/messages/budget_messages.h"
#include "budget/meter/concurrency_limiter.h"
#include "budget/meter/local_meter.h"
#include "budget/meter/token_bucket.h"
#include "budget/owner/budget_owner.h"
#include "budget/owner/share_table.h"
#include "budget/shard/budget_shard.h"
