#pragma once

#include <string>
#include <string_view>

#include "core/core.h"
#include "fleet/messages/fleet_messages.h"

namespace dotterellug::fleet {

// The message as CBOR, for one datagram.
auto EncodeFleetMessage(const FleetMessage& message) -> std::string;
// Fails with kProtocol for bytes that are no message of this version.
auto DecodeFleetMessage(std::string_view bytes) -> Result<FleetMessage>;

}  // namespace dotterellug::fleet
