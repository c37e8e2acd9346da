#pragma once

#include <string>
#include <vector>

#include "idempotency/messages/claim_messages.h"
#include "peer/codec/encoded_message.h"

namespace dotterellug {

// Method names and JSON parameters of claim messages, such as "claim.request".
auto ClaimMethods() -> std::vector<std::string>;
auto EncodeClaimMessage(const ClaimMessage& message) -> EncodedMessage;
// Fails with kProtocol, also for a method that is not of ClaimMethods.
auto DecodeClaimMessage(const std::string& method,
                        const nlohmann::json& parameters)
    -> Result<ClaimMessage>;

}  // namespace dotterellug
