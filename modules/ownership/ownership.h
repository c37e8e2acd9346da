#pragma once

// Decides which process owns a shard, and fences former owners by terms.
// `ShardAgent` is one process's part in one shard: it registers, follows terms,
// takes over and runs the barrier. `PlacementLease` adds a lease for commands
// to upstreams, which acknowledge no terms. Needs: core, store (types only),
// nlohmann-json. No threads, sockets or clocks: store results, messages and
// time are arguments, and actions are results.

#include "ownership/agent/ownership_actions.h"
#include "ownership/agent/shard_agent.h"
#include "ownership/barrier/term_barrier.h"
#include "ownership/lease/placement_lease.h"
#include "ownership/member/member_id.h"
#include "ownership/member/terminated_members.h"
#include "ownership/record/owner_record.h"
#include "ownership/term/term_fence.h"
