#include "peer/datagram/datagram_endpoint.h"

#include <algorithm>
#include <utility>

namespace dotterellug {

auto DatagramEndpoint::Start(DatagramEndpointOptions options, FleetKey key,
                             DatagramHandler handler)
    -> Result<std::unique_ptr<DatagramEndpoint>> {
  auto socket = DatagramSocket::Bind(options.listen);
  if (!socket) return tl::unexpected(socket.error());
  std::unique_ptr<DatagramEndpoint> endpoint(new DatagramEndpoint(
      std::move(options), key, std::move(handler), std::move(*socket)));
  endpoint->receiver_ =
      std::thread([self = endpoint.get()] { self->ReceiveLoop(); });
  return endpoint;
}

DatagramEndpoint::DatagramEndpoint(DatagramEndpointOptions options,
                                   FleetKey key, DatagramHandler handler,
                                   std::unique_ptr<DatagramSocket> socket)
    : options_(std::move(options)),
      key_(key),
      handler_(std::move(handler)),
      socket_(std::move(socket)),
      guard_(options_.self, options_.epoch_period, DrawRandomEpoch,
             MonotonicNow()) {}

DatagramEndpoint::~DatagramEndpoint() {
  socket_->Wake();
  if (receiver_.joinable()) receiver_.join();
}

auto DatagramEndpoint::SetPeers(std::set<InstanceId> peers) -> void {
  const std::lock_guard lock(mutex_);
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    if (peers.count(peer->first) > 0) {
      ++peer;
      continue;
    }
    first_sequence_ = std::max(first_sequence_, peer->second.next_sequence);
    peer = peers_.erase(peer);
  }
  guard_.SetPeers(std::move(peers), MonotonicNow());
}

auto DatagramEndpoint::Send(const MemberId& receiver,
                            const SocketAddress& address, nlohmann::json body)
    -> Result<void> {
  Result<std::string> bytes;
  {
    const std::lock_guard lock(mutex_);
    auto* peer = PeerOf(receiver.instance);
    peer->last_receiver = receiver;
    peer->last_address = address;
    peer->last_body = std::move(body);
    peer->challenged = false;
    bytes = EncodeLast(peer);
  }
  if (!bytes) return tl::unexpected(bytes.error());
  return socket_->SendTo(address, *bytes);
}

auto DatagramEndpoint::Port() const -> std::uint16_t { return socket_->Port(); }

auto DatagramEndpoint::ReceiveLoop() -> void {
  while (const auto received = socket_->Receive()) {
    Receive(received->bytes, received->source);
  }
}

auto DatagramEndpoint::Receive(std::string_view bytes,
                               const SocketAddress& source) -> void {
  if (bytes.size() > kDatagramLimitBytes) {
    counters_.Count(PeerRefusal::kTooLarge);
    return;
  }
  const auto decoded = DecodeDatagram(bytes, key_);
  if (!decoded.datagram) {
    counters_.Count(decoded.authentic ? PeerRefusal::kMalformed
                                      : PeerRefusal::kBadMac);
    return;
  }
  if (decoded.datagram->kind == DatagramKind::kChallenge) {
    ReceiveChallenge(*decoded.datagram);
    return;
  }
  ReceiveMessage(*decoded.datagram, source);
}

auto DatagramEndpoint::ReceiveMessage(const Datagram& datagram,
                                      const SocketAddress& source) -> void {
  const auto& sender = datagram.header.sender;
  PeerRefusal refusal = PeerRefusal::kNone;
  {
    const std::lock_guard lock(mutex_);
    refusal = guard_.Check(datagram.header, MonotonicNow());
    if (refusal == PeerRefusal::kNone) {
      PeerOf(sender.instance)->epoch = datagram.sender_epoch;
    }
  }
  counters_.Count(refusal);
  if (refusal == PeerRefusal::kStaleEpoch) SendChallenge(datagram, source);
  if (refusal != PeerRefusal::kNone) return;
  try {
    handler_(sender, source, datagram.body);
  } catch (const std::exception&) {
    // A handler that rejects a body by an exception must not end the thread.
    counters_.Count(PeerRefusal::kMalformed);
  }
}

auto DatagramEndpoint::ReceiveChallenge(const Datagram& datagram) -> void {
  const auto& header = datagram.header;
  Result<std::string> bytes;
  SocketAddress address;
  {
    const std::lock_guard lock(mutex_);
    const auto peer = peers_.find(header.sender.instance);
    // Only the answer to the last datagram counts, and only once, so recorded
    // challenges have no effect.
    const auto expected =
        peer != peers_.end() && !peer->second.challenged &&
        header.sequence == peer->second.next_sequence - 1 &&
        header.receiver == options_.self.instance &&
        header.receiver_incarnation == options_.self.incarnation;
    if (!expected) {
      counters_.Count(PeerRefusal::kReplay);
      return;
    }
    peer->second.challenged = true;
    peer->second.epoch = datagram.sender_epoch;
    address = peer->second.last_address;
    bytes = EncodeLast(&peer->second);
  }
  // A failure equals the loss of the datagram.
  if (bytes) static_cast<void>(socket_->SendTo(address, *bytes));
}

auto DatagramEndpoint::SendChallenge(const Datagram& refused,
                                     const SocketAddress& source) -> void {
  Datagram challenge;
  challenge.kind = DatagramKind::kChallenge;
  challenge.header.sender = options_.self;
  challenge.header.receiver = refused.header.sender.instance;
  challenge.header.receiver_incarnation = refused.header.sender.incarnation;
  challenge.header.sequence = refused.header.sequence;
  {
    const std::lock_guard lock(mutex_);
    challenge.sender_epoch = guard_.CurrentEpoch(MonotonicNow());
  }
  const auto bytes = EncodeDatagram(challenge, key_);
  // A failure equals the loss of the challenge.
  if (bytes) static_cast<void>(socket_->SendTo(source, *bytes));
}

auto DatagramEndpoint::EncodeLast(Peer* peer) -> Result<std::string> {
  Datagram datagram;
  datagram.header = MessageHeader{options_.self, peer->last_receiver.instance,
                                  peer->last_receiver.incarnation, peer->epoch,
                                  peer->next_sequence++};
  datagram.sender_epoch = guard_.CurrentEpoch(MonotonicNow());
  datagram.body = peer->last_body;
  return EncodeDatagram(datagram, key_);
}

auto DatagramEndpoint::PeerOf(const InstanceId& instance) -> Peer* {
  auto [peer, added] = peers_.try_emplace(instance);
  if (added) peer->second.next_sequence = first_sequence_;
  return &peer->second;
}

}  // namespace dotterellug
