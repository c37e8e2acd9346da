#include "idempotency/record/claim_log.h"

#include <sodium.h>

#include <nlohmann/json.hpp>

namespace dotterellug {
namespace {

using Json = nlohmann::json;

// Bodies can hold any bytes, while values of the object API are UTF-8 text.
auto EncodeBody(const std::string& body) -> std::string {
  constexpr auto kVariant = sodium_base64_VARIANT_ORIGINAL;
  std::string text(sodium_base64_encoded_len(body.size(), kVariant), '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(body.data()),
                    body.size(), kVariant);
  text.pop_back();
  return text;
}

// Throws std::invalid_argument, which ParseClaimLog reports.
auto DecodeBody(const std::string& text) -> std::string {
  std::string body(text.size(), '\0');
  std::size_t size = 0;
  if (sodium_base642bin(reinterpret_cast<unsigned char*>(body.data()),
                        body.size(), text.data(), text.size(), nullptr, &size,
                        nullptr, sodium_base64_VARIANT_ORIGINAL) != 0) {
    throw std::invalid_argument("body is not base64");
  }
  body.resize(size);
  return body;
}

auto ToJson(const ClaimRecord& record) -> Json {
  return {{"key", record.key.Value()},
          {"request", record.request.Value()},
          {"instance", record.claimant.member.instance.Value()},
          {"incarnation", record.claimant.member.incarnation.Value()},
          {"sequence", record.claimant.sequence},
          {"state", static_cast<int>(record.state)},
          {"status", record.response.status},
          {"body", EncodeBody(record.response.body)},
          {"body_stored", record.response.body_stored},
          {"claimed_at", record.claimed_at.time_since_epoch().count()}};
}

auto ToWallTime(const Json& json) -> WallTime {
  return WallTime(std::chrono::milliseconds(json.get<std::int64_t>()));
}

auto ToRecord(const Json& json) -> ClaimRecord {
  ClaimRecord record;
  record.key = ClaimKey(json.at("key").get<std::string>());
  record.request = RequestDigest(json.at("request").get<std::string>());
  record.claimant.member = {
      InstanceId(json.at("instance").get<std::string>()),
      Incarnation(json.at("incarnation").get<std::int64_t>())};
  record.claimant.sequence = json.at("sequence").get<std::int64_t>();
  // Any other number means that the call must not run again.
  const auto state = json.at("state").get<int>();
  record.state = state == 0   ? ClaimState::kRunning
                 : state == 1 ? ClaimState::kDone
                              : ClaimState::kUnknown;
  record.response.status = json.at("status").get<int>();
  record.response.body = DecodeBody(json.at("body").get<std::string>());
  record.response.body_stored = json.at("body_stored").get<bool>();
  record.claimed_at = ToWallTime(json.at("claimed_at"));
  return record;
}

}  // namespace

auto ClaimObjectName(const ShardId& shard) -> std::string {
  return "claims/" + shard.Value();
}

auto EncodeClaimLog(const ClaimLog& log) -> std::string {
  auto records = Json::array();
  for (const auto& record : log.records) records.push_back(ToJson(record));
  const Json json{
      {"term", log.term.Value()},
      {"batch", log.batch},
      {"unknown_until", log.unknown_until.time_since_epoch().count()},
      {"records", std::move(records)}};
  // Values of the object API are UTF-8 text.
  return json.dump();
}

auto ParseClaimLog(std::string_view value) -> Result<ClaimLog> {
  try {
    const auto json = Json::parse(value.begin(), value.end());
    ClaimLog log;
    log.term = Term(json.at("term").get<std::int64_t>());
    log.batch = json.at("batch").get<std::int64_t>();
    log.unknown_until = ToWallTime(json.at("unknown_until"));
    for (const auto& record : json.at("records")) {
      log.records.push_back(ToRecord(record));
    }
    return log;
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kProtocol,
                std::string("claim log cannot be read: ") + error.what(),
                "restore the claim object; without it, calls could run twice");
  }
}

}  // namespace dotterellug
