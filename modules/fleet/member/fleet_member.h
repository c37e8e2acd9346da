#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"
#include "fleet/grants/granted_tokens.h"
#include "fleet/hub/fleet_hub.h"
#include "fleet/hub/hub_selector.h"
#include "fleet/hub/zone_hub.h"
#include "fleet/messages/fleet_messages.h"

namespace dotterellug::fleet {

// A daemon registered in the store, as far as the choice of hubs needs it.
struct RegisteredDaemon {
  InstanceId id;
  AvailabilityZoneId zone;
  // Processor share, in cores.
  double capacity = 0;
};

// Size from which zone hubs are used, and report intervals.
struct FleetMemberOptions {
  // Up to this number of daemons, all report to the fleet hub. Above it, a
  // single hub would receive more reports than its processor share allows.
  std::size_t max_single_level_daemons = 96;
  // Interval of reports to the fleet hub, and the shortest one to a zone hub.
  Duration report_interval = std::chrono::milliseconds(150);
  // Up to this number of daemons, a zone hub gets reports at the shortest
  // interval. Above it, the interval grows so that the rate of reports does
  // not.
  std::int64_t daemons_at_shortest_interval = 25;
  // Longest interval of reports to a zone hub, which bounds the age of the
  // load that routing uses.
  Duration max_report_interval = std::chrono::milliseconds(600);
  // A report with token requests that the zone hub has not answered for this
  // long goes to the fleet hub.
  Duration zone_hub_patience = std::chrono::milliseconds(40);
  // A daemon that has sent no report for this long has been paused or has just
  // started. It then asks others for what it missed, for `catch_up_time` at
  // most.
  Duration pause_time = std::chrono::milliseconds(1500);
  Duration catch_up_time = std::chrono::milliseconds(500);
};

// One daemon's part in the levels of hubs: chooses the hub for each report and
// answers reports as a zone hub or as the fleet hub. In a large fleet, a
// daemon reports to the highest-ranked daemon of its availability zone. The
// zone hub adds up these reports and reports to the fleet hub, so that no
// daemon receives the reports of all others. Not thread-safe.
class FleetMember {
 public:
  // Returns the rate limit of a client account, or nothing if it has none.
  using AccountLimitLookup =
      std::function<std::optional<RateLimit>(const ClientAccountId&)>;

  // `granted_tokens`, `quarantine` and `backpressure` must outlive this object.
  FleetMember(InstanceId self, AvailabilityZoneId zone,
              GrantedTokens& granted_tokens,
              quarantine::PromptQuarantine& quarantine,
              serving::BackpressureTable& backpressure,
              AccountLimitLookup find_account_limit,
              FleetMemberOptions options = {});

  // Sets the daemons registered in the store.
  auto SetMembers(const std::vector<RegisteredDaemon>& members) -> void;
  // Sets the last known holder of the order lease, the preferred fleet hub.
  auto SetLeader(const InstanceId& leader) -> void {
    fleet_selector_.SetLeader(leader);
  }

  // A report and the hub to send it to; the hub may be this daemon itself.
  struct OutgoingReport {
    InstanceId hub;
    FleetReport report;
  };
  // Completes `report`, which has the state of this daemon, and chooses its
  // hub. The token requests are taken from the granted tokens. Returns nothing
  // if an urgent report would be empty.
  auto PrepareReport(FleetReport report, Timestamp now)
      -> std::optional<OutgoingReport>;
  // Daemons to which an empty urgent report should be sent now, and the level
  // at which they are asked: unresponsive hubs, and others to catch up with.
  auto TakeProbes(Timestamp now)
      -> std::vector<std::pair<InstanceId, HubLevel>>;
  // Answers a report as the hub of the level stated in it.
  auto OnReport(const FleetReport& report, Timestamp now) -> FleetSummary;
  // Records a hub's answer. The grants in it are available to this daemon and
  // to the daemons that report here.
  auto OnSummary(const FleetSummary& summary, Timestamp now) -> void;
  // Grants to send to daemons whose token requests waited here, at either
  // level.
  auto TakeAvailableGrants(Timestamp now)
      -> std::vector<std::pair<InstanceId, FleetSummary>>;

  // Whether this daemon may have missed what others know of prompt parts,
  // because it has just started or was paused, and waits for them to tell.
  auto CatchingUp(Timestamp now) const -> bool;

  // Whether the hub of the last report answers. If not, this daemon grants
  // itself tokens from its own share of the limits.
  auto Connected(Timestamp now) const -> bool;
  // Whether zone hubs are in use.
  auto HasZoneHubs() const -> bool { return zone_hubs_; }
  // Whether token requests wait in this fleet hub, so that TakeAvailableGrants
  // should be called again soon.
  auto HasQueuedRequests() const -> bool {
    return fleet_hub_.HasQueuedRequests();
  }
  // Whether something that other daemons reported should be passed on before
  // the next periodic report.
  auto HasUrgent() const -> bool { return zone_hub_.HasUrgent(); }
  // Interval between two periodic reports of this daemon.
  auto ReportInterval() const -> Duration;
  // Time that zone hubs add until what the fleet hub announces has reached all
  // daemons, unless messages are lost; 0 without zone hubs.
  auto RelayDelay() const -> Duration;

  // Number of daemons that report to this daemon as their zone hub.
  auto ZoneHubDaemonCount(Timestamp now) -> std::int64_t {
    return zone_hub_.DaemonCount(now);
  }
  auto Hub() -> FleetHub& { return fleet_hub_; }

 private:
  auto ChooseHub(bool urgent_only, Timestamp now) -> InstanceId;
  // Whether no report was prepared for the pause time, or ever.
  auto WasPaused(Timestamp now) const -> bool;
  // Begins to catch up if the last report is too long ago.
  auto NotePause(Timestamp now) -> void;

  InstanceId self_;
  AvailabilityZoneId zone_;
  GrantedTokens& granted_tokens_;
  quarantine::PromptQuarantine& quarantine_;
  serving::BackpressureTable& backpressure_;
  FleetMemberOptions options_;
  FleetHub fleet_hub_;
  ZoneHub zone_hub_;
  HubSelector fleet_selector_;
  HubSelector zone_selector_;
  bool zone_hubs_ = false;
  // Interval of reports to zone hubs.
  Duration zone_interval_;
  // Level of the hub of the last report.
  HubLevel level_ = HubLevel::kFleet;
  // Other daemons registered in the store, in order of their ids.
  std::vector<InstanceId> others_;
  bool members_known_ = false;
  // When a report was last prepared; zero before the first one.
  Timestamp prepared_at_{};
  // Whether another daemon has answered since the last pause.
  bool caught_up_ = false;
  bool catch_up_probes_due_ = false;
  Timestamp catch_up_until_{};
};

}  // namespace dotterellug::fleet
