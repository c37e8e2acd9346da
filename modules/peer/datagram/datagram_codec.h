#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/errors/error.h"
#include "nlohmann/json.hpp"
#include "peer/auth/fleet_key.h"
#include "peer/auth/message_header.h"

namespace dotterellug {

// Whole datagrams stay below the smallest usual MTU, so that they are not
// fragmented.
inline constexpr std::size_t kDatagramLimitBytes = 1200;
// What a body in CBOR may always occupy, with the longest ids and numbers.
inline constexpr std::size_t kMaxDatagramBodyBytes = 1005;

enum class DatagramKind : std::uint8_t {
  kMessage = 0,
  // Tells the sender of a datagram with a stale epoch the current one. The
  // header's sequence is that of the refused datagram.
  kChallenge = 1,
};

struct Datagram {
  DatagramKind kind = DatagramKind::kMessage;
  MessageHeader header;
  // Epoch of the sender as a receiver, so that the answer needs no challenge.
  ReceiverEpoch sender_epoch = 0;
  nlohmann::json body;
};

// MAC and CBOR array. Fails with kTooLarge above kDatagramLimitBytes.
auto EncodeDatagram(const Datagram& datagram, const FleetKey& key)
    -> Result<std::string>;

struct DecodedDatagram {
  bool authentic = false;
  // Absent when the bytes are malformed or not authentic.
  std::optional<Datagram> datagram;
};

// Checks the MAC before anything is parsed. Never throws.
auto DecodeDatagram(std::string_view bytes, const FleetKey& key)
    -> DecodedDatagram;

}  // namespace dotterellug
