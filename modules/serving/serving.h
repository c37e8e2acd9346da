#pragma once

// Decisions about a request on its way through one daemon: the configuration in
// force (routes, client accounts, pools, limits), the upstreams as this daemon
// knows them, the choice of an upstream, the budget of repeated attempts, the
// limit for cold upstreams, and the division of an event stream into whole
// events. Needs: core. No threads, sockets or clocks.

#include "serving/catalog/serving_catalog.h"
#include "serving/dispatch/cold_gate.h"
#include "serving/dispatch/upstream_choice.h"
#include "serving/fleet/lapsed_upstreams.h"
#include "serving/fleet/live_upstream.h"
#include "serving/fleet/upstream_table.h"
#include "serving/request/service_request.h"
#include "serving/retry/repeat_budget.h"
#include "serving/stream/event_splitter.h"
