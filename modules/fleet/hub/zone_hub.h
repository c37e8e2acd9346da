#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/core.h"
#include "fleet/grants/granted_tokens.h"
#include "fleet/grants/token_queue.h"
#include "fleet/hub/report_aggregator.h"
#include "fleet/messages/fleet_messages.h"

namespace dotterellug::fleet {

// The zone hub role of a daemon: adds up the reports of the daemons of its
// availability zone for the fleet hub, and passes on what the fleet hub
// replies. Token requests are met from the tokens granted to this daemon; those
// that exceed them wait for the next grant. Not thread-safe.
class ZoneHub {
 public:
  // `granted_tokens` are the tokens of this daemon and must outlive this
  // object.
  ZoneHub(Duration report_ttl, GrantedTokens& granted_tokens)
      : reports_(report_ttl), granted_tokens_(granted_tokens) {}

  auto SetReportTtl(Duration report_ttl) -> void {
    reports_.SetReportTtl(report_ttl);
  }
  // Records a report and returns the summary to reply with, with the grants
  // that are available now. The caller fills in the fields on leadership,
  // engine commands and the store.
  auto OnReport(const FleetReport& report, Timestamp now) -> FleetSummary;
  // Adds the state of the daemons that report here to this daemon's own report.
  auto AddReports(FleetReport& report, Timestamp now) -> void;
  // Adds the missing adapters that were reported here, and adds the token
  // requests that wait for a grant to the demand of this daemon.
  auto AddUrgent(FleetReport& report, Timestamp now) -> void;
  // Whether token requests wait for a grant, or missing adapters have not been
  // passed on.
  auto HasUrgent() const -> bool {
    return !waiting_.Empty() || reports_.HasMissingAdapters();
  }
  // Takes the load outside this zone from a summary of the fleet hub.
  auto SetOtherZonesLoads(const std::vector<ReportedLoad>& loads) -> void;
  // Number of daemons that report here.
  auto DaemonCount(Timestamp now) -> std::int64_t {
    reports_.Expire(now);
    return reports_.DaemonCount();
  }
  // Load from the daemons that report here and from other zones, without that
  // in the last report of `daemon`.
  auto LoadsWithout(const InstanceId& daemon) const
      -> std::vector<ReportedLoad>;
  // Returns grants for waiting token requests, by receiver. To be called after
  // each report and after each grant to this daemon.
  auto TakeAvailableGrants(Timestamp now)
      -> std::map<InstanceId, std::vector<TokenGrant>>;

 private:
  // Meets a token request from the granted tokens, or with a refusal if the
  // account is exhausted. Returns nothing if the request has to wait.
  auto TryGrant(const RateLimitKey& key, const TokenQueue::Entry& entry,
                Timestamp now) -> std::optional<TokenGrant>;

  // Serves waiting requests in order, as far as the granted tokens reach, and
  // drops those whose callers no longer wait.
  auto ServeWaiting(Timestamp now) -> void;

  ReportAggregator reports_;
  GrantedTokens& granted_tokens_;
  std::map<UpstreamId, ReportedLoad> other_zones_loads_;
  TokenQueue waiting_;
  // Grants that have not been sent yet.
  std::map<InstanceId, std::vector<TokenGrant>> available_;
};

}  // namespace dotterellug::fleet
