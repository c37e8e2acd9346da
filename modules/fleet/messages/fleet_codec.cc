#include "fleet/messages/fleet_codec.h"

#include <nlohmann/json.hpp>

#include "core/variant/overloaded.h"

namespace dotterellug::fleet {
namespace {

using Json = nlohmann::json;

// The first element of each message; changes with its layout.
constexpr int kReportTag = 1;
constexpr int kSummaryTag = 2;

auto EncodeUses(const std::vector<UpstreamUse>& uses) -> Json {
  auto list = Json::array();
  for (const auto& use : uses) {
    list.push_back(use.upstream.Value());
    list.push_back(use.requests);
    list.push_back(use.tokens);
  }
  return list;
}

auto DecodeUses(const Json& list) -> std::vector<UpstreamUse> {
  std::vector<UpstreamUse> uses;
  for (std::size_t i = 0; i + 2 < list.size(); i += 3) {
    uses.push_back({UpstreamId(list[i].get<std::string>()),
                    list[i + 1].get<std::int64_t>(),
                    list[i + 2].get<std::int64_t>()});
  }
  return uses;
}

auto Encode(const FleetReport& report) -> Json {
  auto models = Json::array();
  for (const auto& use : report.models) {
    models.push_back(use.model.Value());
    models.push_back(use.requests);
    models.push_back(use.tokens);
  }
  auto missing = Json::array();
  for (const auto& adapter : report.missing) {
    missing.push_back(adapter.model.Value());
    missing.push_back(adapter.adapter.Value());
  }
  auto wants = Json::array();
  for (const auto& want : report.wants) {
    wants.push_back(want.account.Value());
    wants.push_back(want.tokens);
  }
  return Json::array({kReportTag, report.from.Value(),
                      report.incarnation.Value(), report.sequence,
                      EncodeUses(report.upstreams), std::move(models),
                      std::move(missing), std::move(wants)});
}

auto Encode(const FleetSummary& summary) -> Json {
  auto grants = Json::array();
  for (const auto& grant : summary.grants) {
    grants.push_back(grant.account.Value());
    grants.push_back(grant.tokens);
    grants.push_back(grant.wait.count());
  }
  auto closing = Json::array();
  for (const auto& model : summary.closing) {
    closing.push_back(model.upstream.Value());
    closing.push_back(model.model.Value());
  }
  auto opened = Json::array();
  for (const auto& model : summary.opened) {
    opened.push_back(model.upstream.Value());
    opened.push_back(model.model.Value());
    opened.push_back(model.adapter.Value());
  }
  return Json::array({kSummaryTag, summary.from.Value(), summary.sequence,
                      summary.leader.Value(), EncodeUses(summary.others),
                      std::move(grants), std::move(closing),
                      std::move(opened)});
}

auto DecodeReport(const Json& list) -> FleetReport {
  FleetReport report;
  report.from = InstanceId(list.at(1).get<std::string>());
  report.incarnation = Incarnation(list.at(2).get<std::int64_t>());
  report.sequence = list.at(3).get<std::int64_t>();
  report.upstreams = DecodeUses(list.at(4));
  const auto& models = list.at(5);
  for (std::size_t i = 0; i + 2 < models.size(); i += 3) {
    report.models.push_back({ModelId(models[i].get<std::string>()),
                             models[i + 1].get<std::int64_t>(),
                             models[i + 2].get<std::int64_t>()});
  }
  const auto& missing = list.at(6);
  for (std::size_t i = 0; i + 1 < missing.size(); i += 2) {
    report.missing.push_back({ModelId(missing[i].get<std::string>()),
                              AdapterId(missing[i + 1].get<std::string>())});
  }
  const auto& wants = list.at(7);
  for (std::size_t i = 0; i + 1 < wants.size(); i += 2) {
    report.wants.push_back({ClientAccountId(wants[i].get<std::string>()),
                            wants[i + 1].get<std::int64_t>()});
  }
  return report;
}

auto DecodeSummary(const Json& list) -> FleetSummary {
  FleetSummary summary;
  summary.from = InstanceId(list.at(1).get<std::string>());
  summary.sequence = list.at(2).get<std::int64_t>();
  summary.leader = InstanceId(list.at(3).get<std::string>());
  summary.others = DecodeUses(list.at(4));
  const auto& grants = list.at(5);
  for (std::size_t i = 0; i + 2 < grants.size(); i += 3) {
    summary.grants.push_back({ClientAccountId(grants[i].get<std::string>()),
                              grants[i + 1].get<std::int64_t>(),
                              Duration(grants[i + 2].get<std::int64_t>())});
  }
  const auto& closing = list.at(6);
  for (std::size_t i = 0; i + 1 < closing.size(); i += 2) {
    summary.closing.push_back({UpstreamId(closing[i].get<std::string>()),
                               ModelId(closing[i + 1].get<std::string>())});
  }
  const auto& opened = list.at(7);
  for (std::size_t i = 0; i + 2 < opened.size(); i += 3) {
    summary.opened.push_back({UpstreamId(opened[i].get<std::string>()),
                              ModelId(opened[i + 1].get<std::string>()),
                              AdapterId(opened[i + 2].get<std::string>())});
  }
  return summary;
}

}  // namespace

auto EncodeFleetMessage(const FleetMessage& message) -> std::string {
  const auto json = std::visit(
      [](const auto& typed) -> Json { return Encode(typed); }, message);
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

auto DecodeFleetMessage(std::string_view bytes) -> Result<FleetMessage> {
  const auto json = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
  const auto malformed = [] {
    return Fail(ErrorKind::kProtocol, "a datagram is no fleet message",
                "run the same version of dotterellugd on all instances");
  };
  if (!json.is_array() || json.empty()) return malformed();
  // The library reports wrong types and missing elements by exceptions.
  try {
    switch (json[0].get<int>()) {
      case kReportTag:
        return DecodeReport(json);
      case kSummaryTag:
        return DecodeSummary(json);
      default:
        return malformed();
    }
  } catch (const Json::exception&) {
    return malformed();
  }
}

}  // namespace dotterellug::fleet
