#pragma once

// Load reporting and rate limit distribution between daemons. Each daemon
// periodically reports its requests in flight and the tokens it requests from
// client accounts' limits, and from the rates that upstreams state, to a hub.
// The hub is the daemon that aggregates the reports of others; it replies with
// the load from all other daemons and with granted tokens.
//
// In a large fleet there are two levels of hubs: daemons report to a hub of
// their availability zone, and the zone hubs report to the fleet hub.
//
// Any daemon can act as the hub. A hub grants only the fraction of a limit that
// corresponds to the fraction of daemons reporting to it. Concurrent hubs and
// isolated daemons therefore stay within the limit together, apart from a
// bounded excess while daemons change their hub.
//
// Depends on core, budget, quarantine, serving and spend. Uses no threads,
// sockets or clocks.

#include "fleet/announcements/model_announcements.h"
#include "fleet/changes/upstream_change_log.h"
#include "fleet/clock/fleet_clock.h"
#include "fleet/copies/copy_fetch_planner.h"
#include "fleet/demand/demand_meter.h"
#include "fleet/demand/pool_demand_meter.h"
#include "fleet/grants/granted_tokens.h"
#include "fleet/grants/token_queue.h"
#include "fleet/grants/upstream_permits.h"
#include "fleet/hub/fleet_hub.h"
#include "fleet/hub/hub_selector.h"
#include "fleet/hub/report_aggregator.h"
#include "fleet/hub/zone_hub.h"
#include "fleet/member/fleet_member.h"
#include "fleet/messages/fleet_codec.h"
#include "fleet/messages/fleet_messages.h"
