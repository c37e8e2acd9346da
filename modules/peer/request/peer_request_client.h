#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/errors/error.h"
#include "core/net/socket_address.h"
#include "core/time/time.h"
#include "nlohmann/json.hpp"
#include "ownership/member/member_id.h"
#include "peer/auth/fleet_key.h"
#include "peer/auth/message_header.h"
#include "peer/request/http_exchange.h"

namespace dotterellug {

// Where a request goes.
struct PeerTarget {
  InstanceId instance;
  SocketAddress address;
  // 0 accepts any process on the instance; otherwise a restarted one refuses.
  Incarnation incarnation;
};

struct PeerRequestClientOptions {
  MemberId self;
  // Must not exceed the server's bound.
  std::size_t max_body_bytes = std::size_t{4} << 20;
  // Idle connections kept per peer.
  std::size_t max_idle_connections = 2;
  // Below the server's idle timeout, so that a request rarely meets a
  // connection that the server is closing.
  Duration idle_limit = std::chrono::seconds(20);
};

// Sends requests to other daemons. There must be one per process, because
// sequence numbers count per process. Thread-safe; Call blocks. Use
// PeerRequestServer on the other side.
class PeerRequestClient {
 public:
  PeerRequestClient(PeerRequestClientOptions options, FleetKey key);

  // Calls `method` with the object `parameters`, and takes `limit` at most.
  // The result is what the method returned. Errors:
  // - kUnavailable: certainly not done (not sent, or refused by the peer);
  // - kOutcomeUnknown: sent, but no authentic response says what happened;
  // - kForbidden: the peer does not accept requests of this process;
  // - kProtocol: the peer does not know the method; not done;
  // - kTooLarge, kInvalidArgument: not sent;
  // - any other kind comes from the method itself.
  auto Call(const PeerTarget& target, const std::string& method,
            const nlohmann::json& parameters, Duration limit)
      -> Result<nlohmann::json>;

  // Closes idle connections to a peer that is gone and drops what is known of
  // it.
  auto Forget(const InstanceId& instance) -> void;

 private:
  struct IdleConnection {
    SocketAddress address;
    std::unique_ptr<HttpExchange> exchange;
    Timestamp since;
  };
  struct Peer {
    ReceiverEpoch epoch = 0;
    std::int64_t next_sequence = 1;
    std::vector<IdleConnection> idle;
  };
  struct Attempt;

  auto Try(const PeerTarget& target, const std::string& body,
           Timestamp deadline) -> Attempt;
  auto NextHeader(const PeerTarget& target) -> MessageHeader;
  auto TakeConnection(const PeerTarget& target)
      -> std::unique_ptr<HttpExchange>;
  auto KeepConnection(const PeerTarget& target,
                      std::unique_ptr<HttpExchange> exchange) -> void;
  auto LearnEpoch(const InstanceId& instance, ReceiverEpoch epoch) -> void;

  const PeerRequestClientOptions options_;
  const FleetKey key_;
  std::mutex mutex_;
  std::map<InstanceId, Peer> peers_;
  // First sequence for a peer that is not in `peers_`; above those used for
  // forgotten peers.
  std::int64_t first_sequence_ = 1;
};

}  // namespace dotterellug
