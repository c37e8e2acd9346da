#pragma once

// Limits that hold over the whole fleet: rates in tokens, and numbers of things
// in flight. Each daemon admits locally against its share of a limit; the
// shard's owner moves shares to where demand is, and tokens are transferred for
// what cannot wait. `BudgetShard` is one daemon's part in one shard; the other
// classes are its parts. Needs: core, ownership. No threads, sockets or clocks.

#include "budget/holder/budget_holder.h"
#include "budget/limit/budget_limit.h"
#include "budget/messages/budget_messages.h"
#include "budget/meter/concurrency_limiter.h"
#include "budget/meter/local_meter.h"
#include "budget/meter/token_bucket.h"
#include "budget/owner/budget_owner.h"
#include "budget/owner/share_table.h"
#include "budget/shard/budget_shard.h"
