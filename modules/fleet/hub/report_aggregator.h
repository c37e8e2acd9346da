#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "core/core.h"
#include "fleet/messages/fleet_messages.h"

namespace dotterellug::fleet {

// Adds up the reports of the daemons that chose this daemon as their hub. A
// report may itself be the sum of reports of several daemons. Not thread-safe.
class ReportAggregator {
 public:
  // A daemon is considered reporting for `report_ttl` after its last report. A
  // shorter duration reduces double counting when daemons change their hub; a
  // longer one tolerates lost datagrams.
  explicit ReportAggregator(Duration report_ttl) : report_ttl_(report_ttl) {}

  auto SetReportTtl(Duration report_ttl) -> void { report_ttl_ = report_ttl; }
  auto ReportTtl() const -> Duration { return report_ttl_; }

  // Records a report and returns true, or returns false for a duplicate or
  // outdated one. Expires reports that are older than the TTL.
  auto Record(const FleetReport& report, Timestamp now) -> bool;
  // Expires reports that are older than the TTL.
  auto Expire(Timestamp now) -> void;

  // Number of daemons whose reports are current, each counted once even if two
  // reports include it.
  auto DaemonCount() const -> std::int64_t {
    return static_cast<std::int64_t>(daemons_.size());
  }
  // Ids of these daemons.
  auto Daemons() const -> std::vector<InstanceId>;
  // Demand for a model at all reporting daemons, in tokens per second.
  struct TotalDemand {
    double recent = 0;
    double long_term = 0;
  };
  // Total demand by model. The demand of a daemon that has stopped reporting
  // decays.
  auto Demand(Timestamp now) const -> std::map<ModelId, TotalDemand>;
  // Demand for a pool of engines from the daemons of one zone.
  struct PoolDemand {
    // Engine slots that arriving requests occupy on average.
    double slots = 0;
    std::int64_t waiting = 0;
  };
  using PoolDemands =
      std::map<std::pair<PoolId, AvailabilityZoneId>, PoolDemand>;
  // Demand by pool and zone. That of a daemon that has stopped reporting does
  // not count.
  auto PoolDemandByZone(Timestamp now) const -> PoolDemands;
  // Load by upstream from all reporting daemons.
  auto Loads() const -> const std::map<UpstreamId, ReportedLoad>& {
    return loads_;
  }
  // Load in the last report of a daemon; empty if there is none.
  auto LoadsFrom(const InstanceId& daemon) const
      -> const std::vector<ReportedLoad>&;
  // Number of reporting daemons that recently failed to reach each upstream.
  auto Unreachable() const -> const std::map<UpstreamId, std::int64_t>& {
    return unreachable_;
  }
  // Returns the adapters reported as missing since the last call. At most 64
  // are kept between calls.
  auto TakeMissingAdapters() -> std::vector<MissingAdapter>;
  auto HasMissingAdapters() const -> bool { return !missing_.empty(); }
  // Time of the last report that includes a daemon; nothing if there was none
  // in the last minute.
  auto LastReport(const InstanceId& daemon) const -> std::optional<Timestamp>;

 private:
  // The last report of a daemon.
  struct Reporter {
    Timestamp received_at;
    // Highest sequence number received, also of urgent reports.
    std::int64_t sequence = 0;
    // Whether the totals include this report.
    bool in_totals = true;
    FleetReport report;
  };
  // Adds the report to the totals if `sign` is 1, or subtracts it if -1.
  auto UpdateTotals(const FleetReport& report, int sign) -> void;
  // Adds `sign` to the number of current reports that include the daemon.
  auto CountDaemon(const InstanceId& daemon, int sign) -> void;

  Duration report_ttl_;
  std::map<InstanceId, Reporter> reporters_;
  std::map<UpstreamId, ReportedLoad> loads_;
  std::map<UpstreamId, std::int64_t> unreachable_;
  // Number of current reports that include each daemon.
  std::map<InstanceId, std::int64_t> daemons_;
  std::map<InstanceId, Timestamp> last_reports_;
  Timestamp purged_at_{};
  // Missing adapters reported since the last TakeMissingAdapters.
  std::vector<MissingAdapter> missing_;
};

}  // namespace dotterellug::fleet
