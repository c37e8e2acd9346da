#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "budget/budget.h"
#include "core/core.h"
#include "fleet/messages/fleet_messages.h"

namespace dotterellug::fleet {

// Report expiry, and the fractions of an account's burst that a hub grants.
struct FleetHubOptions {
  // A daemon is considered reporting for this long after its last report. A
  // shorter duration reduces double counting when daemons change their hub; a
  // longer one tolerates lost datagrams.
  Duration report_ttl = std::chrono::milliseconds(600);
  // Fraction of an account's burst that hubs grant. The remainder is headroom
  // for tokens that daemons keep in reserve and for tokens granted by two hubs
  // while daemons change their hub.
  double burst_fraction = 0.6;
  // Fraction of the burst that is available at once when daemons start to
  // report, in proportion to the increase of this hub's share. Without it, a
  // new hub would refuse requests while its buckets fill.
  double initial_fraction = 0.2;
};

// The hub role of a daemon: aggregates the reports of the daemons that chose it
// as their hub and grants tokens of client accounts' rate limits. Its token
// buckets refill at the fraction of each limit that equals the fraction of all
// registered daemons reporting here. Not thread-safe.
class FleetHub {
 public:
  // Returns the rate limit of a client account, or nothing if it has none.
  using LimitLookup =
      std::function<std::optional<RateLimit>(const ClientAccountId&)>;

  // Starts without reports, assuming one registered daemon.
  FleetHub(FleetHubOptions options, LimitLookup find_limit)
      : options_(options), find_limit_(std::move(find_limit)) {}

  // Sets the number of daemons registered in the store, whether or not they
  // report here. Defaults to 1.
  auto SetRegisteredDaemons(std::int64_t daemons) -> void {
    registered_daemons_ = daemons;
  }
  // Creates the account's bucket so that tokens have accrued by the account's
  // first request.
  auto EnsureBucket(const ClientAccountId& account, Timestamp now) -> void;
  // Records a report and returns the summary to reply with. The caller fills in
  // the fields on leadership, engine commands and the store. A duplicate or
  // outdated report is not recorded and gets no grants.
  auto OnReport(const FleetReport& report, Timestamp now) -> FleetSummary;

  // Number of daemons that report here.
  auto ReportingDaemonCount(Timestamp now) const -> std::int64_t;
  // Demand for a model at all daemons that report here, in tokens per second.
  struct TotalDemand {
    double recent = 0;
    double long_term = 0;
  };
  // Total demand by model. The demand of a daemon that has stopped reporting
  // here decays.
  auto Demand(Timestamp now) const -> std::map<ModelId, TotalDemand>;
  // Requests in flight at an upstream from all daemons that report here.
  auto RequestsInFlight(const UpstreamId& upstream) const -> std::int64_t;
  // Whether at least two of the reporting daemons recently failed to reach the
  // upstream.
  auto Unreachable(const UpstreamId& upstream) const -> bool;
  // Returns the adapters reported as missing since the last call. At most 64
  // are kept between calls.
  auto TakeMissingAdapters() -> std::vector<MissingAdapter>;
  // Time of the last report of a daemon; nothing if there was none in the last
  // minute.
  auto LastReport(const InstanceId& daemon) const -> std::optional<Timestamp>;

 private:
  // The last report of a daemon.
  struct Reporter {
    Timestamp received_at;
    // Whether the totals include this report.
    bool in_totals = true;
    FleetReport report;
  };
  // Adds the report to the totals if `sign` is 1, or subtracts it if -1.
  auto UpdateTotals(const FleetReport& report, int sign) -> void;
  // Sets this hub's share of the limits and the tokens of all buckets to 0
  // after a period without reports, during which another hub may have granted
  // the tokens that have accrued here.
  auto ResetBuckets(Timestamp now) -> void;
  // Expires reports and adapts the share of all buckets to the number of
  // reporting daemons.
  auto UpdateShare(Timestamp now) -> void;
  // Grants up to the requested tokens from the bucket of the account. An
  // account without a limit is granted all of them.
  auto Grant(const TokenRequest& request, Timestamp now) -> TokenGrant;
  // Tokens that become available in a bucket when its share grows from
  // `previous` to the current share.
  auto InitialTokens(const TokenBucket& bucket, PartsPerMillion previous) const
      -> MicroTokens;
  // Returns the account's bucket, created or updated to `limit`.
  auto Bucket(const ClientAccountId& account, RateLimit limit, Timestamp now)
      -> TokenBucket&;

  FleetHubOptions options_;
  LimitLookup find_limit_;
  std::int64_t registered_daemons_ = 1;
  // This hub's share of each limit.
  PartsPerMillion share_;
  Timestamp last_report_at_{};
  std::map<InstanceId, Reporter> reporters_;
  // Load at each upstream from all daemons that report here.
  std::map<UpstreamId, ReportedLoad> totals_;
  // Number of reporting daemons that recently failed to reach each upstream.
  std::map<UpstreamId, std::int64_t> unreachable_;
  std::map<ClientAccountId, TokenBucket> buckets_;
  // Missing adapters reported since the last TakeMissingAdapters.
  std::vector<MissingAdapter> missing_;
};

}  // namespace dotterellug::fleet
