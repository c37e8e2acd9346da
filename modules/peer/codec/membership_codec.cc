#include "peer/codec/membership_codec.h"

namespace dotterellug {

auto EncodeMemberMessage(const MemberMessage& message) -> nlohmann::json {
  return nlohmann::json::binary(EncodeMessage(message));
}

auto DecodeMemberMessage(const nlohmann::json& body) -> Result<MemberMessage> {
  if (!body.is_binary()) {
    return Fail(ErrorKind::kProtocol, "the body of a probe is not binary",
                "check that both daemons have the same version");
  }
  return DecodeMessage(body.get_binary());
}

}  // namespace dotterellug
