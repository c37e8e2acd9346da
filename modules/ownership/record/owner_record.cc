#include "ownership/record/owner_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dotterellug {
namespace {

auto MemberToJson(const MemberId& member) -> nlohmann::json {
  return {{"instance", member.instance.Value()},
          {"incarnation", member.incarnation.Value()}};
}

auto MemberFromJson(const nlohmann::json& json) -> MemberId {
  return {InstanceId(json.at("instance").get<std::string>()),
          Incarnation(json.at("incarnation").get<std::int64_t>())};
}

auto MembersToJson(const std::vector<MemberId>& members) -> nlohmann::json {
  auto json = nlohmann::json::array();
  for (const auto& member : members) json.push_back(MemberToJson(member));
  return json;
}

auto MembersFromJson(const nlohmann::json& json) -> std::vector<MemberId> {
  std::vector<MemberId> members;
  members.reserve(json.size());
  for (const auto& member : json) members.push_back(MemberFromJson(member));
  return members;
}

}  // namespace

auto OwnerRecord::HasMember(const MemberId& member) const -> bool {
  return std::binary_search(members.begin(), members.end(), member);
}

auto OwnerRecord::AddMember(const MemberId& member) -> void {
  const auto is_predecessor = [&member](const MemberId& other) {
    return other.instance == member.instance &&
           other.incarnation < member.incarnation;
  };
  std::copy_if(members.begin(), members.end(), std::back_inserter(departed),
               is_predecessor);
  members.erase(std::remove_if(members.begin(), members.end(), is_predecessor),
                members.end());
  if (HasMember(member)) return;
  members.insert(std::lower_bound(members.begin(), members.end(), member),
                 member);
}

auto OwnerRecord::RemoveMember(const MemberId& member) -> void {
  if (!HasMember(member)) return;
  departed.push_back(member);
  members.erase(std::lower_bound(members.begin(), members.end(), member));
}

auto OwnerObjectName(const ShardId& shard) -> std::string {
  return "owner/" + shard.Value();
}

auto EncodeOwnerRecord(const OwnerRecord& record) -> std::string {
  nlohmann::json json{{"term", record.term.Value()},
                      {"members", MembersToJson(record.members)},
                      {"departed", MembersToJson(record.departed)}};
  if (record.owner) json["owner"] = MemberToJson(*record.owner);
  return json.dump();
}

auto ParseOwnerRecord(std::string_view text) -> Result<OwnerRecord> {
  try {
    const auto json = nlohmann::json::parse(text);
    OwnerRecord record;
    record.term = Term(json.at("term").get<std::int64_t>());
    record.members = MembersFromJson(json.at("members"));
    record.departed = MembersFromJson(json.at("departed"));
    if (json.contains("owner")) record.owner = MemberFromJson(json["owner"]);
    std::sort(record.members.begin(), record.members.end());
    return record;
  } catch (const nlohmann::json::exception& error) {
    return Fail(ErrorKind::kProtocol,
                std::string("owner record cannot be read: ") + error.what(),
                "restore the owner object or delete it while no daemon runs");
  }
}

}  // namespace dotterellug
