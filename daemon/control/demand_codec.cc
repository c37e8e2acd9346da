#include "daemon/control/demand_codec.h"

namespace dotterellug {

auto EncodeDemand(const ModelDemandReport& report) -> nlohmann::json {
  auto models = nlohmann::json::object();
  for (const auto& [model, tokens] : report.models) {
    models[model.Value()] = {tokens.admitted.Value(), tokens.queued.Value(),
                             tokens.refused.Value()};
  }
  return {{"instance", report.instance.Value()},
          {"incarnation", report.incarnation.Value()},
          {"sequence", report.sequence},
          {"models", models}};
}

auto DecodeDemand(const nlohmann::json& json) -> Result<ModelDemandReport> {
  try {
    ModelDemandReport report;
    report.instance = InstanceId(json.at("instance").get<std::string>());
    report.incarnation =
        Incarnation(json.at("incarnation").get<std::int64_t>());
    report.sequence = json.at("sequence").get<std::int64_t>();
    for (const auto& [model, tokens] : json.at("models").items()) {
      report.models[ModelId(model)] = {
          Tokens(tokens.at(0).get<std::int64_t>()),
          Tokens(tokens.at(1).get<std::int64_t>()),
          Tokens(tokens.at(2).get<std::int64_t>())};
    }
    return report;
  } catch (const nlohmann::json::exception& fault) {
    return Fail(ErrorKind::kProtocol,
                std::string("bad demand report of a peer: ") + fault.what(),
                "check that both daemons have the same version");
  }
}

}  // namespace dotterellug
