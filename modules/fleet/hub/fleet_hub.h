#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "budget/budget.h"
#include "core/core.h"
#include "fleet/grants/token_queue.h"
#include "fleet/hub/report_aggregator.h"
#include "fleet/messages/fleet_messages.h"

namespace dotterellug::fleet {

// Report expiry, and the fractions of a limit's burst that a hub grants.
struct FleetHubOptions {
  // A daemon is considered reporting for this long after its last report. A
  // shorter duration reduces double counting when daemons change their hub; a
  // longer one tolerates lost datagrams.
  Duration report_ttl = std::chrono::milliseconds(600);
  // Fraction of a limit's burst that hubs grant. The remainder is headroom
  // for tokens that daemons keep in reserve and for tokens granted by two hubs
  // while daemons change their hub.
  double burst_fraction = 0.85;
  // For this long after the first report, a hub queues requests that it could
  // not meet in time, instead of refusing them. Its share grows while daemons
  // change to it, so its estimate of the time is too long.
  Duration takeover_time = std::chrono::seconds(1);
  // Fraction of the burst that is available at once when daemons start to
  // report, in proportion to the increase of this hub's share. Without it, a
  // new hub would refuse requests while its buckets fill.
  double initial_fraction = 0.2;
};

// The fleet hub role of a daemon: adds up the reports of the daemons or zone
// hubs that chose it as their hub and grants tokens of client accounts' rate
// limits and of the rates that upstreams state. Its token buckets refill at the
// fraction of each limit that equals the fraction of all registered daemons
// whose reports it receives, directly or through zone hubs. Not thread-safe.
class FleetHub {
 public:
  // Returns the rate limit of a client account or an upstream, or nothing if it
  // has none.
  using LimitLookup =
      std::function<std::optional<RateLimit>(const RateLimitKey&)>;
  using TotalDemand = ReportAggregator::TotalDemand;

  // Starts without reports, assuming one registered daemon.
  FleetHub(FleetHubOptions options, LimitLookup find_limit)
      : options_(options),
        find_limit_(std::move(find_limit)),
        reports_(options.report_ttl) {}

  // Sets the number of daemons registered in the store, whether or not they
  // report here. Defaults to 1.
  auto SetRegisteredDaemons(std::int64_t daemons) -> void {
    registered_daemons_ = daemons;
  }
  // Creates the limit's bucket so that tokens have accrued by the first
  // request.
  auto EnsureBucket(const RateLimitKey& key, Timestamp now) -> void;
  // Records a report and returns the summary to reply with. The caller fills in
  // the fields on leadership, engine commands and the store. A duplicate or
  // outdated report is not recorded and gets no grants.
  auto OnReport(const FleetReport& report, Timestamp now) -> FleetSummary;

  // Grants for queued token requests whose tokens have become available, by the
  // daemon that requested them.
  auto TakeQueuedGrants(Timestamp now)
      -> std::map<InstanceId, std::vector<TokenGrant>>;
  auto HasQueuedRequests() const -> bool { return !queue_.Empty(); }

  // Expires reports that are older than the TTL.
  auto ExpireReports(Timestamp now) -> void { reports_.Expire(now); }
  // Number of daemons whose reports arrive here, as of the last report.
  auto ReportingDaemonCount() const -> std::int64_t {
    return reports_.DaemonCount();
  }
  // Total demand by model at these daemons.
  auto Demand(Timestamp now) const -> std::map<ModelId, TotalDemand> {
    return reports_.Demand(now);
  }
  // Demand for pools at these daemons, by pool and zone.
  auto PoolDemandByZone(Timestamp now) const -> ReportAggregator::PoolDemands {
    return reports_.PoolDemandByZone(now);
  }
  // Requests in flight at an upstream from these daemons.
  auto RequestsInFlight(const UpstreamId& upstream) const -> std::int64_t;
  // Whether at least two of these daemons recently failed to reach the
  // upstream.
  auto Unreachable(const UpstreamId& upstream) const -> bool;
  // Returns the adapters reported as missing since the last call. At most 64
  // are kept between calls.
  auto TakeMissingAdapters() -> std::vector<MissingAdapter> {
    return reports_.TakeMissingAdapters();
  }
  // Time of the last report that includes a daemon; nothing if there was none
  // in the last minute.
  auto LastReport(const InstanceId& daemon) const -> std::optional<Timestamp> {
    return reports_.LastReport(daemon);
  }

 private:
  // Sets this hub's share of the limits and the tokens of all buckets to 0
  // after a period without reports, during which another hub may have granted
  // the tokens that have accrued here.
  auto ResetBuckets(Timestamp now) -> void;
  // Adapts the share of all buckets to the number of reporting daemons.
  auto UpdateShare(Timestamp now) -> void;
  // Adds the load of all daemons except that in the report itself.
  auto AddOtherLoads(const FleetReport& report, FleetSummary& summary) const
      -> void;
  // Grants the requested tokens from the bucket of the limit, or at least the
  // minimum of the request. If there are fewer, queues the request if it can
  // wait for them; otherwise refuses it. A key without a limit is granted
  // all tokens. Returns nothing if only a reserve was requested and none is
  // available.
  auto Grant(const InstanceId& daemon, const TokenRequest& request,
             Timestamp now) -> std::optional<TokenGrant>;
  // Takes `tokens`, or else `minimum` tokens, from the bucket of the limit;
  // returns 0 if there are fewer.
  auto Take(const RateLimitKey& key, std::int64_t tokens, std::int64_t minimum,
            Timestamp now) -> std::int64_t;
  // Tokens that become available in a bucket when its share grows from
  // `previous` to the current share.
  auto InitialTokens(const TokenBucket& bucket, PartsPerMillion previous) const
      -> MicroTokens;
  // Returns the limit's bucket, created or updated to `limit`.
  auto Bucket(const RateLimitKey& key, RateLimit limit, Timestamp now)
      -> TokenBucket&;

  FleetHubOptions options_;
  LimitLookup find_limit_;
  std::int64_t registered_daemons_ = 1;
  // This hub's share of each limit.
  PartsPerMillion share_;
  Timestamp last_report_at_{};
  // Time of the first report since there were none for the report TTL.
  Timestamp reports_since_{};
  ReportAggregator reports_;
  std::map<RateLimitKey, TokenBucket> buckets_;
  TokenQueue queue_;
};

}  // namespace dotterellug::fleet
