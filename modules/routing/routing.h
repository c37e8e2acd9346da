#pragma once

// Choice of the upstream for each request: the candidates of a snapshot, the
// expected time until the first token on each, the prefix-cache estimate, and
// the baselines it is compared with. Needs: core, document.
//
// Nothing here has a thread, lock or clock. RoutingTable is immutable.
// UpstreamLoad and PrefixIndex consist of atomics and may be used from all
// traffic threads at once. RoutingThreadState belongs to one traffic thread.

#include "routing/policy/policy.h"
#include "routing/policy/router.h"
#include "routing/prefix/block_hashes.h"
#include "routing/prefix/cache_events.h"
#include "routing/prefix/prefix_index.h"
#include "routing/table/dispatch_ticket.h"
#include "routing/table/routing_table.h"
#include "routing/table/upstream_load.h"
#include "routing/table/upstream_status.h"
