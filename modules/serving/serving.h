#pragma once

// Makes the per-request decisions of one daemon: looks up the route, client
// account and pool in the active configuration, keeps the daemon's local view
// of the upstreams and selects one, limits retries and requests to cold
// upstreams, and divides event streams into complete events. Depends on core.
// The module has no threads or sockets and reads no clock: callers pass the
// time.

#include "serving/catalog/serving_catalog.h"
#include "serving/dispatch/cold_gate.h"
#include "serving/dispatch/upstream_choice.h"
#include "serving/fleet/lapsed_upstreams.h"
#include "serving/fleet/live_upstream.h"
#include "serving/fleet/upstream_table.h"
#include "serving/request/service_request.h"
#include "serving/retry/repeat_budget.h"
#include "serving/stream/event_splitter.h"
