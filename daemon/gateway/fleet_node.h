#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
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
  auto SetLeader(const InstanceId& leader) -> void {
    leader_ = leader;
    selector_.SetLeader(leader);
  }
  // Whether this daemon orders loads now.
  auto SetLeading(bool leading) -> void { leading_ = leading; }
  auto SetClosing(std::vector<fleet::ClosingModel> closing) -> void {
    closing_ = std::move(closing);
  }
  auto SetOpened(std::vector<fleet::OpenedModel> opened) -> void {
    opened_ = std::move(opened);
  }
  // Reports now instead of at the next interval.
  auto ReportNow() -> void;

  auto Hub() -> fleet::FleetHub& { return hub_; }
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
  auto MakeReport(Timestamp now) -> fleet::FleetReport;
  auto Answer(const fleet::FleetReport& report, Timestamp now)
      -> fleet::FleetSummary;
  auto OnSummary(const fleet::FleetSummary& summary, Timestamp now) -> void;
  auto NoteOpened(const fleet::OpenedModel& opened) -> void;
  auto Send(const boost::asio::ip::udp::endpoint& to,
            const fleet::FleetMessage& message) -> void;
  auto RetryParked(Timestamp now) -> void;

  GatewayContext& context_;
  Incarnation incarnation_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 65'536> input_{};
  std::map<InstanceId, Member> members_;
  fleet::FleetHub hub_;
  fleet::HubSelector selector_;
  std::vector<fleet::ClosingModel> closing_;
  std::vector<fleet::OpenedModel> opened_;
  std::int64_t sequence_ = 0;
  Timestamp reported_at_{};
  Timestamp leader_seen_{};
  bool report_soon_ = false;
  InstanceId leader_;
  bool leading_ = false;
};

}  // namespace dotterellug::gateway
