#pragma once

// What the daemons tell one another while they serve: each reports to a hub
// what it has in flight and what it needs of the accounts' limits, and the hub
// answers with the load of all others and with grants. Any daemon can be the
// hub; a hub grants only the part of a limit that belongs to the daemons that
// report to it, so two hubs at once, or a daemon that is alone, never exceed
// the whole. Needs: core, budget, serving. No threads, sockets or clocks.

#include "fleet/allowance/allowance_holder.h"
#include "fleet/announcements/model_announcements.h"
#include "fleet/demand/demand_meter.h"
#include "fleet/hub/fleet_hub.h"
#include "fleet/hub/hub_selector.h"
#include "fleet/messages/fleet_codec.h"
#include "fleet/messages/fleet_messages.h"
#include "fleet/news/upstream_journal.h"
