#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "core/time/fleet_time.h"
#include "fleet/changes/upstream_change_log.h"
#include "quarantine/quarantine.h"
#include "serving/serving.h"
#include "spend/usage/window_usage.h"

namespace dotterellug::fleet {

// Requests in flight at one upstream and their size.
struct ReportedLoad {
  UpstreamId upstream;
  std::int64_t requests = 0;
  // Prompt tokens plus maximum output tokens of these requests, as stated by
  // the callers.
  std::int64_t tokens = 0;
  // Prompt tokens of requests that have not yet produced their first output
  // event.
  std::int64_t prefill_tokens = 0;
};

// Demand for one model at the sender.
struct ModelDemand {
  ModelId model;
  // Exponentially decayed with a time constant of 2 s.
  std::int64_t tokens_per_second = 0;
  // Decayed with a time constant of 15 s, in thousandths of a token per second.
  // The resolution distinguishes a rarely requested model from one without
  // demand.
  std::int64_t sustained_millitokens_per_second = 0;
};

// Whose rate limit tokens are drawn from: that of a client account, counted as
// its route says, or the rate that an upstream states, of which each request
// draws kTokensPerUpstreamRequest.
using RateLimitKey = std::variant<ClientAccountId, UpstreamId>;
inline constexpr std::int64_t kTokensPerUpstreamRequest = 1000;

// Tokens of a rate limit that the sender requests.
struct TokenRequest {
  RateLimitKey key;
  std::int64_t tokens = 0;
  // Fewest tokens with which a waiting request can proceed; 0 if none waits. A
  // smaller grant would be of no use to anybody.
  std::int64_t minimum = 0;
  // How long the requests can still wait.
  Duration patience{0};
};

// An adapter that callers requested and that no usable upstream has loaded.
struct MissingAdapter {
  ModelId model;
  AdapterId adapter;
};

// The levels of hubs. In a large fleet, daemons report to a hub of their
// availability zone, and the zone hubs report to the fleet hub. In a small
// fleet, all daemons report to the fleet hub.
enum class HubLevel : std::uint8_t { kZone, kFleet };

// Demand for the engines of a pool from the daemons of a zone.
struct ReportedPoolDemand {
  PoolId pool;
  AvailabilityZoneId zone;
  // Time in engine slots that arriving requests take, in milliseconds per
  // second; decayed with a time constant of 2 s.
  std::int64_t slot_ms_per_second = 0;
  // Requests that wait in daemons for an upstream.
  std::int64_t waiting = 0;
};

// What daemons tell each other for the reports of usage. Sent only where the
// platform asks for such reports.
struct UsageNews {
  // In a report, the sender's own clock; in a summary, the time that the hub
  // considers right.
  FleetTime time{};
  // The highest window whose report a holder of the order lease has announced
  // that it will send, as far as the sender knows.
  UsageWindow announced_window;
  // In reports: what the sender counted, and what was reported to it as the
  // zone hub.
  std::vector<WindowUsageRow> rows;
};

// A daemon's periodic report to its hub. The load of upstreams is sent in full
// each time, so the next report compensates for a lost one. A token request is
// sent only once; if it is lost, the sender computes its shortfall anew for a
// later report.
struct FleetReport {
  InstanceId from;
  Incarnation incarnation;
  // Increases with each report of this incarnation.
  std::int64_t sequence = 0;
  // Level of the hub to which this report is sent.
  HubLevel level = HubLevel::kFleet;
  // A report between two periodic ones that contains token requests and missing
  // adapters only. The state in the last periodic report remains valid.
  bool urgent_only = false;
  // Daemons whose reports to the sender are included in this one, without the
  // sender.
  std::vector<InstanceId> included_daemons;
  std::vector<ReportedLoad> upstreams;
  std::vector<ModelDemand> models;
  std::vector<MissingAdapter> missing_adapters;
  std::vector<TokenRequest> token_requests;
  // Position in the store up to which the sender has applied upstream changes.
  StorePosition upstream_position;
  // Positions in the store up to which the sender, or a daemon of which it
  // knows, has read changes, as in FleetSummary. A hub that cannot read the
  // store learns from them that there is something to read.
  std::vector<StorePosition> store_positions;
  // Upstreams that the sender recently failed to reach. An upstream is listed
  // once for each daemon included in the report that failed to reach it.
  std::vector<UpstreamId> unreachable;
  // What the sender knows of prompt parts that end upstreams.
  std::vector<quarantine::SharedEvidence> prompt_evidence;
  // What the sender knows of the requests that upstreams take. Urgent reports
  // contain it as well, so that a hub knows the rates of which tokens are
  // requested.
  std::vector<serving::SharedBackpressure> backpressure;
  // Some of what the sender knows of the work factors of upstreams. Urgent
  // reports contain none.
  std::vector<serving::SharedWorkFactor> work_factors;
  std::optional<UsageNews> usage;
  // Demand for pools whose number of engines is planned.
  std::vector<ReportedPoolDemand> pools;
};

// Tokens of a rate limit that the hub grants.
struct TokenGrant {
  RateLimitKey key;
  std::int64_t tokens = 0;
  // Estimated time until the tokens not granted become available; 0 if all were
  // granted.
  Duration time_until_available{0};
  // Whether the hub sends the tokens when they become available, because the
  // requests can wait for so long.
  bool queued = false;
};

// A model that an engine is unloading or about to unload. No further requests
// for the model may be sent to that engine.
struct UnloadingModel {
  UpstreamId upstream;
  ModelId model;
};

// A model, or one of its adapters, that an engine has finished loading.
struct LoadedModel {
  UpstreamId upstream;
  ModelId model;
  // Empty if the model itself was loaded.
  AdapterId adapter;
};

// The hub's answer to one report.
struct FleetSummary {
  InstanceId from;
  // Level at which the hub answers.
  HubLevel level = HubLevel::kFleet;
  // Answers an urgent report, or delivers tokens that became available later.
  // The fields other than `from`, `level`, `sequence`, `grants`,
  // `prompt_evidence` and `backpressure` are not filled in; delivered tokens
  // have no sequence number, evidence or backpressure.
  bool grants_only = false;
  // Sequence number of the report that is answered.
  std::int64_t sequence = 0;
  // The leader (holder of the order lease) with the highest fencing number
  // known to the hub. All daemons that can reach it use it as their hub.
  InstanceId leader;
  std::int64_t leader_fence = 0;
  // Time since a holder of the order lease was last heard from, by this hub or
  // by the hub to which it reports. 0 if this hub holds the lease; nothing if
  // no holder has been heard from.
  std::optional<Duration> lease_holder_age;
  // Position of the holder's last write of the order lease, as announced by the
  // holder; revision 0 if unknown.
  StorePosition lease_position;
  // Load from all daemons known to the hub, without the load in the receiver's
  // report.
  std::vector<ReportedLoad> other_daemons_loads;
  std::vector<TokenGrant> grants;
  // Positions in the store up to which the hub, or a daemon of which it knows,
  // has read changes, by kind of object: configuration, upstreams, zones taken
  // out of service, registered daemons.
  std::vector<StorePosition> store_positions;
  // Time since the store last answered a request of the hub for upstreams.
  Duration store_response_age{0};
  // Changes to the list of upstreams after the reporting daemon's position.
  UpstreamChanges changes;
  std::vector<UnloadingModel> unloading;
  std::vector<LoadedModel> loaded;
  // Upstreams that several daemons recently failed to reach.
  std::vector<UpstreamId> unreachable;
  // What the hub knows of prompt parts that end upstreams.
  std::vector<quarantine::SharedEvidence> prompt_evidence;
  // What the hub knows of the requests that upstreams take.
  std::vector<serving::SharedBackpressure> backpressure;
  // Some of what the hub knows of the work factors of upstreams.
  std::vector<serving::SharedWorkFactor> work_factors;
  std::optional<UsageNews> usage;
};

using FleetMessage = std::variant<FleetReport, FleetSummary>;

}  // namespace dotterellug::fleet
