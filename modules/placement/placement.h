#pragma once

// Placement of models, versions and adapters on engines. Decides what each
// engine holds, and loads and unloads it without overcommitting engine memory.
// Contains demand estimates, planners for models and adapters, stored memory
// reservations, the commands that bring engines to their targets, the order
// lease, the orders that no answer came to, and the cold start ramp of
// upstreams.
// Depends on core and document. Uses no threads, sockets or clocks: time, seeds
// and events are arguments, and the results are returned as action values for
// the caller to carry out.

#include "placement/commands/command.h"
#include "placement/commands/placement_reconciler.h"
#include "placement/copies/adapter_planner.h"
#include "placement/copies/copy_planner.h"
#include "placement/copies/requested_adapters.h"
#include "placement/demand/demand_counter.h"
#include "placement/demand/demand_estimator.h"
#include "placement/demand/demand_report.h"
#include "placement/lease/contention_delay.h"
#include "placement/lease/order_lease.h"
#include "placement/orders/unanswered_orders.h"
#include "placement/planner/plan_input.h"
#include "placement/planner/planner.h"
#include "placement/reservation/engine_record.h"
#include "placement/reservation/item_key.h"
#include "placement/scaling/scaling_planner.h"
#include "placement/slow_start/slow_start_limiter.h"
