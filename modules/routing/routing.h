#pragma once

// Request routing: selects the upstream of each request from an immutable
// snapshot of the upstreams, by the expected time to first token, which takes
// prefix cache hits into account. Also has baseline load balancing policies to
// compare with. Depends on core and document.
//
// The module has no threads or locks and reads no clock: callers pass the time.
// In the daemon, several traffic threads serve requests, and one control thread
// applies configuration changes, instance lists, load reports and cache events.
// RoutingTable is immutable. UpstreamLoad and PrefixIndex are lock-free and may
// be used by all traffic threads concurrently. RoutingThreadState belongs to
// one traffic thread.

#include "routing/policy/policy.h"
#include "routing/policy/router.h"
#include "routing/prefix/block_hashes.h"
#include "routing/prefix/cache_events.h"
#include "routing/prefix/prefix_index.h"
#include "routing/table/in_flight_guard.h"
#include "routing/table/routing_table.h"
#include "routing/table/upstream_load.h"
#include "routing/table/upstream_status.h"
