#pragma once

#include <string>
#include <string_view>

#include "core/core.h"
#include "fleet/messages/fleet_messages.h"

namespace dotterellug::fleet {

// Encodes a message as CBOR for one datagram.
auto EncodeFleetMessage(const FleetMessage& message) -> std::string;
// Decodes a datagram. Fails with kProtocol if the bytes are not a message of
// this protocol version.
auto DecodeFleetMessage(std::string_view bytes) -> Result<FleetMessage>;

}  // namespace dotterellug::fleet
