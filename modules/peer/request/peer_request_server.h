#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/errors/error.h"
#include "core/net/socket_address.h"
#include "core/time/time.h"
#include "nlohmann/json.hpp"
#include "ownership/member/member_id.h"
#include "peer/auth/fleet_key.h"
#include "peer/auth/random_epoch.h"
#include "peer/auth/refusal_counters.h"

namespace dotterellug {

// Handles one method. Runs on the thread of the sender's connection, with
// several calls at once. An Error reaches the sender with its kind;
// kUnavailable promises that nothing was done. An exception reaches it as
// kOutcomeUnknown.
using PeerMethod = std::function<Result<nlohmann::json>(
    const MemberId& sender, const nlohmann::json& parameters)>;
using PeerMethodTable = std::map<std::string, PeerMethod>;

struct PeerRequestServerOptions {
  // Port 0 takes a free one.
  SocketAddress listen;
  MemberId self;
  // Chunks of the serving document are below 1 MB; escaping in JSON at most
  // doubles ordinary text.
  std::size_t max_body_bytes = std::size_t{4} << 20;
  // Requests beyond this are refused with kUnavailable.
  int max_concurrent = 64;
  // Each open connection has a thread with a small stack. Every daemon of the
  // target fleet (530) may keep two.
  unsigned max_connections = 1200;
  unsigned idle_timeout_seconds = 60;
  Duration epoch_period = std::chrono::seconds(kEpochPeriodSeconds);
};

// Serves requests of other daemons: JSON-RPC 2.0 by libjsonrpccpp over HTTP by
// libmicrohttpd. A request is authenticated before its body is parsed, and runs
// at most once. Use PeerRequestClient on the other side.
class PeerRequestServer {
 public:
  // Fails with kUnavailable when the address cannot be bound.
  static auto Start(PeerRequestServerOptions options, FleetKey key,
                    PeerMethodTable methods)
      -> Result<std::unique_ptr<PeerRequestServer>>;
  // Waits for running handlers.
  ~PeerRequestServer();
  PeerRequestServer(const PeerRequestServer&) = delete;
  auto operator=(const PeerRequestServer&) -> PeerRequestServer& = delete;

  // Instances that requests are accepted from; none at first.
  auto SetPeers(std::set<InstanceId> peers) -> void;
  auto Port() const -> std::uint16_t;
  auto Counters() const -> const RefusalCounters&;

 private:
  struct State;

  explicit PeerRequestServer(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace dotterellug
