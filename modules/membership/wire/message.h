#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/errors/error.h"
#include "membership/model/member.h"

namespace dotterellug {

enum class MessageKind { kProbe, kProbeRequest, kAck };

// One datagram between daemons.
struct MemberMessage {
  MessageKind kind = MessageKind::kProbe;
  // The sender about itself.
  MemberStatement sender;
  // The sender's revision in force, and the age of its proof that it is
  // current; negative when it has none.
  RevisionNumber revision;
  std::int64_t currency_age_ms = -1;
  std::uint64_t sequence = 0;
  // The member that is probed, to be probed, or was reached.
  InstanceId target;
  std::vector<MemberStatement> changes;
};

// Largest datagram, so that it fits into one packet everywhere, and the part of
// it that is left to the transport: MAC, ids of up to 64 bytes, incarnations,
// epochs and sequence (see peer/datagram).
inline constexpr std::size_t kMaxDatagramBytes = 1200;
inline constexpr std::size_t kTransportReserveBytes = 200;
inline constexpr std::size_t kMaxMessageBytes =
    kMaxDatagramBytes - kTransportReserveBytes;

// Size of one statement in an encoded message.
auto EncodedSize(const MemberStatement& statement) -> std::size_t;
// CBOR form of a message.
auto EncodeMessage(const MemberMessage& message) -> std::vector<std::uint8_t>;
// kProtocol when `bytes` are not a message.
auto DecodeMessage(const std::vector<std::uint8_t>& bytes)
    -> Result<MemberMessage>;

}  // namespace dotterellug
