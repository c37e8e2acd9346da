#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

#include "core/errors/error.h"
#include "core/net/socket_address.h"
#include "core/time/time.h"
#include "peer/auth/freshness_guard.h"
#include "peer/auth/random_epoch.h"
#include "peer/auth/refusal_counters.h"
#include "peer/datagram/datagram_codec.h"
#include "peer/datagram/datagram_socket.h"

namespace dotterellug {

// Called on the receive thread for each valid message; must not block.
using DatagramHandler =
    std::function<void(const MemberId& sender, const SocketAddress& source,
                       const nlohmann::json& body)>;

struct DatagramEndpointOptions {
  // Port 0 takes a free one.
  SocketAddress listen;
  MemberId self;
  Duration epoch_period = std::chrono::seconds(kEpochPeriodSeconds);
};

// Sends and receives authenticated UDP datagrams with CBOR bodies. A datagram
// may be lost, late or out of order; each is handled at most once. When the
// receiver's epoch is not known, it answers with a challenge and the last
// datagram is sent once more. Thread-safe.
class DatagramEndpoint {
 public:
  // Fails with kUnavailable when the address cannot be bound.
  static auto Start(DatagramEndpointOptions options, FleetKey key,
                    DatagramHandler handler)
      -> Result<std::unique_ptr<DatagramEndpoint>>;
  // Waits for a running handler. Must not be called by the handler.
  ~DatagramEndpoint();
  DatagramEndpoint(const DatagramEndpoint&) = delete;
  auto operator=(const DatagramEndpoint&) -> DatagramEndpoint& = delete;

  // Instances that datagrams are accepted from; none at first. What is known
  // of other instances is dropped.
  auto SetPeers(std::set<InstanceId> peers) -> void;
  // Sends `body` once; success says nothing about arrival. An incarnation of 0
  // accepts any process on the receiving instance. Fails with kTooLarge when
  // the whole datagram exceeds kDatagramLimitBytes, and with kUnavailable when
  // the system does not send it.
  auto Send(const MemberId& receiver, const SocketAddress& address,
            nlohmann::json body) -> Result<void>;

  auto Port() const -> std::uint16_t;
  auto Counters() const -> const RefusalCounters& { return counters_; }

 private:
  struct Peer {
    ReceiverEpoch epoch = 0;
    std::int64_t next_sequence = 1;
    // The last datagram, to be sent again after a challenge.
    MemberId last_receiver;
    SocketAddress last_address;
    nlohmann::json last_body;
    bool challenged = false;
  };

  DatagramEndpoint(DatagramEndpointOptions options, FleetKey key,
                   DatagramHandler handler,
                   std::unique_ptr<DatagramSocket> socket);

  auto ReceiveLoop() -> void;
  auto Receive(std::string_view bytes, const SocketAddress& source) -> void;
  auto ReceiveMessage(const Datagram& datagram, const SocketAddress& source)
      -> void;
  auto ReceiveChallenge(const Datagram& datagram) -> void;
  auto SendChallenge(const Datagram& refused, const SocketAddress& source)
      -> void;
  // Encodes the peer's last datagram with a new sequence.
  auto EncodeLast(Peer* peer) -> Result<std::string>;
  auto PeerOf(const InstanceId& instance) -> Peer*;

  const DatagramEndpointOptions options_;
  const FleetKey key_;
  const DatagramHandler handler_;
  const std::unique_ptr<DatagramSocket> socket_;
  RefusalCounters counters_;
  std::mutex mutex_;
  FreshnessGuard guard_;
  std::map<InstanceId, Peer> peers_;
  // First sequence for an instance that is not in `peers_`; above those used
  // for instances dropped from it.
  std::int64_t first_sequence_ = 1;
  std::thread receiver_;
};

}  // namespace dotterellug
