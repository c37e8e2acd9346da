#include "membership/wire/message.h"

#include <nlohmann/json.hpp>

namespace dotterellug {
namespace {

using Json = nlohmann::json;

// Statements are encoded as arrays because the field names of an object would
// double their size.
auto EncodeStatement(const MemberStatement& statement) -> Json {
  const int flags = (statement.leaving ? 1 : 0) | (statement.suspected ? 2 : 0);
  return Json::array({statement.id.Value(),
                      statement.version.incarnation.Value(),
                      statement.version.number.Value(), statement.zone.Value(),
                      statement.address, flags});
}

auto DecodeStatement(const Json& json) -> MemberStatement {
  const auto flags = json.at(5).get<int>();
  return MemberStatement{InstanceId(json.at(0).get<std::string>()),
                         {Incarnation(json.at(1).get<std::int64_t>()),
                          StatementNumber(json.at(2).get<std::int64_t>())},
                         AvailabilityZoneId(json.at(3).get<std::string>()),
                         json.at(4).get<std::string>(),
                         (flags & 1) != 0,
                         (flags & 2) != 0};
}

auto ParseMessage(const Json& json) -> MemberMessage {
  MemberMessage message;
  message.kind = static_cast<MessageKind>(json.at(0).get<int>());
  message.sender = DecodeStatement(json.at(1));
  message.revision = RevisionNumber(json.at(2).get<std::int64_t>());
  message.currency_age_ms = json.at(3).get<std::int64_t>();
  message.sequence = json.at(4).get<std::uint64_t>();
  message.target = InstanceId(json.at(5).get<std::string>());
  for (const auto& change : json.at(6)) {
    message.changes.push_back(DecodeStatement(change));
  }
  return message;
}

}  // namespace

auto EncodedSize(const MemberStatement& statement) -> std::size_t {
  return Json::to_cbor(EncodeStatement(statement)).size();
}

auto EncodeMessage(const MemberMessage& message) -> std::vector<std::uint8_t> {
  Json changes = Json::array();
  for (const auto& change : message.changes) {
    changes.push_back(EncodeStatement(change));
  }
  return Json::to_cbor(Json::array(
      {static_cast<int>(message.kind), EncodeStatement(message.sender),
       message.revision.Value(), message.currency_age_ms, message.sequence,
       message.target.Value(), changes}));
}

auto DecodeMessage(const std::vector<std::uint8_t>& bytes)
    -> Result<MemberMessage> {
  const auto bad = [](const std::string& what) {
    return Fail(ErrorKind::kProtocol, "invalid membership message: " + what,
                "check which program sends to this port");
  };
  try {
    auto message = ParseMessage(Json::from_cbor(bytes));
    if (message.kind < MessageKind::kProbe ||
        message.kind > MessageKind::kAck) {
      return bad("unknown message kind");
    }
    return message;
  } catch (const Json::exception& error) {
    return bad(error.what());
  }
}

}  // namespace dotterellug
