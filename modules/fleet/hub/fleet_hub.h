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

struct FleetHubOptions {
  // A daemon counts as reporting for this long after its last report. Shorter
  // means less double counting when daemons change their hub, longer bridges
  // lost datagrams.
  Duration report_ttl = std::chrono::milliseconds(600);
  // Part of an account's burst that hubs hand out. The rest covers tokens that
  // daemons hold ready, and a change of hub.
  double burst_fraction = 0.6;
  // Part of the burst that comes with each daemon that begins to report, so
  // that callers are not refused in the first moments of a new hub.
  double initial_fraction = 0.2;
};

// One daemon's part as a hub: sums up the reports of those that chose it and
// grants tokens of the accounts' limits. Its buckets refill at the part of each
// limit that the reporting daemons are of all registered daemons.
class FleetHub {
 public:
  // The limit of an account, or nothing if it has none.
  using LimitLookup =
      std::function<std::optional<RateLimit>(const ClientAccountId&)>;

  FleetHub(FleetHubOptions options, LimitLookup find_limit)
      : options_(options), find_limit_(std::move(find_limit)) {}

  // Daemons that may be running, reporting here or not.
  auto SetRegistered(std::int64_t daemons) -> void {
    registered_daemons_ = daemons;
  }
  // Lets the bucket of an account fill from now on, so that its first request
  // finds tokens.
  auto Prepare(const ClientAccountId& account, Timestamp now) -> void;
  // Takes a report and answers it. What concerns orders is filled in by the
  // caller.
  auto OnReport(const FleetReport& report, Timestamp now) -> FleetSummary;

  // Daemons that report here.
  auto Reporting(Timestamp now) const -> std::int64_t;
  // Tokens per second that callers ask of a model at all daemons that report
  // here.
  struct TotalDemand {
    double recent = 0;
    double lasting = 0;
  };
  auto Demand(Timestamp now) const -> std::map<ModelId, TotalDemand>;
  // Requests in flight at an upstream from all daemons that report here.
  auto RequestsAt(const UpstreamId& upstream) const -> std::int64_t;
  // Whether several of the reporting daemons could not reach it lately.
  auto Unreachable(const UpstreamId& upstream) const -> bool;
  // Adapters reported missing since the last call.
  auto TakeMissing() -> std::vector<MissingAdapter>;
  // When a daemon last reported here.
  auto LastReport(const InstanceId& daemon) const -> std::optional<Timestamp>;

 private:
  struct Reporter {
    Timestamp received_at;
    // Whether its use is part of the totals.
    bool in_totals = true;
    FleetReport report;
  };
  // Adds the report's use to the totals, or takes it away.
  auto UpdateTotals(const FleetReport& report, int sign) -> void;
  auto ResetBuckets(Timestamp now) -> void;
  auto UpdateShare(Timestamp now) -> void;
  auto Grant(const TokenRequest& request, Timestamp now) -> TokenGrant;
  // Tokens that a bucket gains when its share grows.
  auto InitialTokens(const TokenBucket& bucket, PartsPerMillion previous) const
      -> MicroTokens;
  auto Bucket(const ClientAccountId& account, RateLimit limit, Timestamp now)
      -> TokenBucket&;

  FleetHubOptions options_;
  LimitLookup find_limit_;
  std::int64_t registered_daemons_ = 1;
  PartsPerMillion share_;
  Timestamp last_report_at_{};
  std::map<InstanceId, Reporter> reporters_;
  // Use by all daemons that report here.
  std::map<UpstreamId, ReportedLoad> totals_;
  // How many of them could not reach an upstream.
  std::map<UpstreamId, std::int64_t> unreachable_;
  std::map<ClientAccountId, TokenBucket> buckets_;
  std::vector<MissingAdapter> missing_adapters_;
};

}  // namespace dotterellug::fleet
