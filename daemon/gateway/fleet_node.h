#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "core/core.h"
#include "daemon/gateway/control_link.h"
#include "daemon/gateway/gateway_context.h"
#include "fleet/fleet.h"

namespace dotterellug::gateway {

// This daemon's part in the fleet's messages: reports to the hub and takes its
// answers, and answers the reports of others.
class FleetNode {
 public:
  FleetNode(GatewayContext& context, Incarnation incarnation);

  auto Start() -> Result<SocketAddress>;
  auto SetMembers(const std::vector<Member>& members) -> void;
  // The daemon that orders loads, as far as known.
  // An older fencing number changes nothing: daemons that know different
  // holders would send one another back and forth between two hubs.
  auto SetLeader(const InstanceId& leader, std::int64_t fence) -> void {
    if (fence <= leader_fence_) return;
    leader_fence_ = fence;
    leader_ = leader;
    fleet_member_.SetLeader(leader);
  }
  // Whether this daemon orders loads now.
  auto SetLeading(bool leading) -> void { leading_ = leading; }
  // Position of its last write of the order lease; revision 0 if it is not the
  // holder.
  auto SetLeasePosition(StorePosition position) -> void {
    lease_position_ = position;
  }
  // Where the position that another holder told goes.
  auto OnLeaseAnnounced(std::function<void(StorePosition)> handler) -> void {
    on_lease_announced_ = std::move(handler);
  }
  auto SetUnloading(std::vector<fleet::UnloadingModel> unloading) -> void {
    unloading_ = std::move(unloading);
  }
  auto SetLoaded(std::vector<fleet::LoadedModel> loaded) -> void {
    loaded_ = std::move(loaded);
  }
  // Whether this daemon keeps upstreams that may be gone. Others then judge for
  // themselves, since they may know that the store was never away.
  auto SetHoldsBack(bool holds_back) -> void { holds_back_ = holds_back; }
  // Where it is told that the store answered another daemon, and when.
  auto OnStoreAnswered(std::function<void(Timestamp)> handler) -> void {
    on_store_answered_ = std::move(handler);
  }
  auto SetStoreLink(std::shared_ptr<ControlLink> link) -> void {
    link_ = std::move(link);
  }
  // Whether another daemon, as the hub, tells how far it has read the store.
  auto Backed() const -> bool;
  // Whether this daemon has yet to learn what others know of prompt parts.
  auto CatchingUp(Timestamp now) const -> bool {
    return fleet_member_.CatchingUp(now);
  }
  // Whether a zone hub, which watches the store, tells this daemon of changes.
  auto HasZoneHub() const -> bool;
  // Whether the hub's list of upstreams is fresh, so that this daemon need not
  // read it from the store.
  auto HasNews() const -> bool;
  // What this daemon reads from the store or learns from a hub, for passing on.
  auto Journal() -> fleet::UpstreamChangeLog& { return journal_; }
  auto NoteUpstreamContact(Timestamp now) -> void { upstreams_read_at_ = now; }
  // Where news of the hub go.
  auto OnNews(std::function<void(const fleet::UpstreamChanges&)> handler)
      -> void {
    on_news_ = std::move(handler);
  }
  // Reports now instead of at the next interval.
  auto ReportNow() -> void;

  auto Hub() -> fleet::FleetHub& { return fleet_member_.Hub(); }
  // Daemons that report to this daemon as their zone hub, and those whose
  // reports arrive here as the fleet hub, without itself.
  auto ZoneHubDaemonCount(Timestamp now) -> std::int64_t {
    return fleet_member_.ZoneHubDaemonCount(now);
  }
  auto FleetHubDaemonCount(Timestamp now) -> std::int64_t;
  // Time that zone hubs add until an announcement has reached all daemons.
  auto RelayDelay() const -> Duration { return fleet_member_.RelayDelay(); }
  auto Members() const -> const std::map<InstanceId, Member>& {
    return members_;
  }
  // When a hub that orders loads last answered.
  auto LeaderSeen() const -> Timestamp { return leader_seen_; }

 private:
  auto Receive() -> void;
  auto OnDatagram(std::size_t size) -> void;
  auto ScheduleReport(Duration delay) -> void;
  auto Report() -> void;
  auto MakeReport(bool urgent_only, Timestamp now) -> fleet::FleetReport;
  // Demand of this daemon's callers for pools whose number of engines is
  // planned.
  auto PoolDemand(Timestamp now) -> std::vector<fleet::ReportedPoolDemand>;
  auto OnReport(const fleet::FleetReport& report, Timestamp now) -> void;
  auto Answer(const fleet::FleetReport& report, Timestamp now)
      -> fleet::FleetSummary;
  // Sends the report to its hub, or answers it itself if there is none.
  auto SendReport(const fleet::FleetMember::OutgoingReport& outgoing,
                  Timestamp now) -> void;
  auto SendProbes(Timestamp now) -> void;
  // Passes on grants regularly while token requests wait in this fleet hub.
  auto ScheduleGrants() -> void;
  // Logs a change of the hub.
  auto LogHub(const fleet::FleetMember::OutgoingReport& outgoing, Timestamp now)
      -> void;
  // Logs when this daemon begins or ceases to be a hub for others.
  auto LogRole(Timestamp now) -> void;
  auto ScheduleNextReport(bool tokens_requested, Timestamp now) -> void;
  auto OnAnnouncements(const fleet::FleetSummary& summary, Timestamp now)
      -> void;
  auto OnLoads(const fleet::FleetSummary& summary) -> void;
  auto OnNewsOf(const fleet::FleetSummary& summary, Timestamp now) -> void;
  auto OnSummary(const fleet::FleetSummary& summary, Timestamp now) -> void;
  // Passes on grants for which other daemons wait.
  auto PassGrants(Timestamp now) -> void;
  auto RecordLoaded(const fleet::LoadedModel& loaded) -> void;
  auto Send(const boost::asio::ip::udp::endpoint& to,
            const fleet::FleetMessage& message) -> void;
  auto SendTo(const InstanceId& daemon, const fleet::FleetMessage& message)
      -> void;

  GatewayContext& context_;
  Incarnation incarnation_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer grant_timer_;
  bool grants_scheduled_ = false;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 65'536> input_{};
  std::map<InstanceId, Member> members_;
  fleet::FleetMember fleet_member_;
  std::shared_ptr<ControlLink> link_;
  Timestamp backed_at_{};
  // When a zone hub last answered.
  Timestamp zone_hub_seen_{};
  fleet::UpstreamChangeLog journal_;
  std::function<void(const fleet::UpstreamChanges&)> on_news_;
  std::function<void(Timestamp)> on_store_answered_;
  bool holds_back_ = false;
  // When the store last answered this daemon about upstreams.
  Timestamp upstreams_read_at_{};
  // When the hub's news were last known to be current.
  Timestamp news_current_at_{};
  std::vector<fleet::UnloadingModel> unloading_;
  std::vector<fleet::LoadedModel> loaded_;
  // What the last hub announced, for daemons that report here.
  std::vector<fleet::UnloadingModel> hub_unloading_;
  std::vector<fleet::LoadedModel> hub_loaded_;
  StorePosition hub_lease_position_;
  std::int64_t sequence_ = 0;
  Timestamp reported_at_{};
  Timestamp periodic_report_due_{};
  Timestamp leader_seen_{};
  bool report_soon_ = false;
  // The hub of the last report.
  InstanceId hub_chosen_;
  bool is_zone_hub_ = false;
  bool is_fleet_hub_ = false;
  InstanceId leader_;
  std::int64_t leader_fence_ = 0;
  bool leading_ = false;
  StorePosition lease_position_;
  std::function<void(StorePosition)> on_lease_announced_;
};

}  // namespace dotterellug::gateway
