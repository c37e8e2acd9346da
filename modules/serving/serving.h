#pragma once

// Makes the per-request decisions of one daemon: looks up the route, client
// account and pool in the active configuration, keeps the daemon's local view
// of the upstreams and of what they ask for in their answers, selects one,
// limits retries and requests to cold upstreams, estimates how long requests
// take and how fast the upstreams' machines work, and divides event streams
// into complete events. Depends on core. The module has no threads or sockets
// and reads no clock: callers pass the time.

#include "serving/backpressure/backpressure_table.h"
#include "serving/catalog/serving_catalog.h"
#include "serving/dispatch/candidate_sample.h"
#include "serving/dispatch/cold_start_limiter.h"
#include "serving/dispatch/engine_wait.h"
#include "serving/dispatch/service_time_estimate.h"
#include "serving/dispatch/upstream_selector.h"
#include "serving/fleet/expired_upstream_retention.h"
#include "serving/fleet/upstream_table.h"
#include "serving/fleet/upstream_view.h"
#include "serving/load/stated_load.h"
#include "serving/load/work_factor.h"
#include "serving/load/work_factor_exchange.h"
#include "serving/load/work_times.h"
#include "serving/request/service_request.h"
#include "serving/retry/retry_budget.h"
#include "serving/stream/event_splitter.h"
