#pragma once

#include "core/errors/error.h"
#include "membership/wire/message.h"
#include "nlohmann/json.hpp"
#include "peer/datagram/datagram_codec.h"

namespace dotterellug {

// The binary header of CBOR for the longest message takes 3 bytes.
static_assert(kMaxMessageBytes + 3 <= kMaxDatagramBodyBytes);

// Membership messages have a CBOR form of their own, which is the body of the
// datagram as bytes. Decoding fails with kProtocol.
auto EncodeMemberMessage(const MemberMessage& message) -> nlohmann::json;
auto DecodeMemberMessage(const nlohmann::json& body) -> Result<MemberMessage>;

}  // namespace dotterellug
