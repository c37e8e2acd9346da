#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/core.h"
#include "daemon/gateway/control_link.h"
#include "daemon/gateway/gateway_context.h"
#include "eventhttp/eventhttp.h"
#include "fleet/fleet.h"

namespace dotterellug::gateway {

// Gives other daemons copies of the lists that this one has read from the
// store, and fetches theirs when the store does not tell it of a change. Covers
// the configuration and the zones taken out.
class CopyExchange {
 public:
  CopyExchange(GatewayContext& context, std::shared_ptr<ControlLink> link);

  // Answers other daemons on the TCP port with the number of the UDP port for
  // messages between daemons.
  auto Start() -> Result<void>;
  auto SetMembers(const std::vector<Member>& members) -> void;
  // Fetches what is due.
  auto Tick(Timestamp now) -> void;
  // Where the list that is being handed on has been read: "store" or a daemon.
  auto Source() const -> const std::string& { return source_; }

 private:
  auto Answer(const std::shared_ptr<eventhttp::ServerSession>& session,
              const eventhttp::ServerRequest& request) -> void;
  auto Fetch(StoreList list, const InstanceId& daemon) -> void;
  auto OnAnswer(StoreList list, const InstanceId& daemon,
                const eventhttp::BufferedAnswer& answer) -> void;
  // Takes a copy from an answer; whether it was newer.
  auto Adopt(StoreList list, const InstanceId& daemon,
             const eventhttp::BufferedAnswer& answer) -> Result<bool>;

  GatewayContext& context_;
  std::shared_ptr<ControlLink> link_;
  eventhttp::HttpServer server_;
  eventhttp::ConnectionPool connections_;
  fleet::CopyFetchPlanner planner_;
  std::map<InstanceId, SocketAddress> addresses_;
  std::string source_;
};

}  // namespace dotterellug::gateway
