#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/errors/error.h"
#include "membership/model/member.h"

namespace dotterellug {

// Kinds of messages; the values are part of the wire format. They correspond to
// ping, ping-req and ack in SWIM.
enum class MessageKind { kProbe, kProbeRequest, kAck };

// A membership message, sent as one datagram between daemons.
struct MemberMessage {
  MessageKind kind = MessageKind::kProbe;
  // The sender's statement about itself.
  MemberStatement sender;
  // Configuration revision in force at the sender, and the time since it was
  // last confirmed to be the current one, in milliseconds; negative if never.
  RevisionNumber revision;
  std::int64_t currency_age_ms = -1;
  // Matches an acknowledgement to its probe.
  std::uint64_t sequence = 0;
  // The member that is probed (kProbe), that the receiver is asked to probe
  // (kProbeRequest), or that acknowledged (kAck).
  InstanceId target;
  // Piggybacked statements about members.
  std::vector<MemberStatement> changes;
};

// Maximum datagram size, chosen to avoid IP fragmentation on all networks, and
// the part of it reserved for the transport: MAC, ids of up to 64 bytes,
// incarnations, epochs and sequence number (see peer/datagram).
inline constexpr std::size_t kMaxDatagramBytes = 1200;
inline constexpr std::size_t kTransportReserveBytes = 200;
inline constexpr std::size_t kMaxMessageBytes =
    kMaxDatagramBytes - kTransportReserveBytes;

// Size of a statement within an encoded message, in bytes.
auto EncodedSize(const MemberStatement& statement) -> std::size_t;
// Encodes a message as CBOR.
auto EncodeMessage(const MemberMessage& message) -> std::vector<std::uint8_t>;
// Decodes a message. Fails with kProtocol if `bytes` are not a valid message.
auto DecodeMessage(const std::vector<std::uint8_t>& bytes)
    -> Result<MemberMessage>;

}  // namespace dotterellug
