#include "experiment/workload.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <map>

namespace dotterellug::experiment {
namespace {

constexpr double kMaxTokens = 2000;

auto ReadClass(const YAML::Node& node,
               const std::map<std::string, std::string>& keys) -> TrafficClass {
  TrafficClass traffic;
  traffic.name = node["name"].as<std::string>();
  traffic.account = node["account"].as<std::string>();
  traffic.key = keys.at(traffic.account);
  traffic.per_second = node["per_second"].as<double>();
  traffic.priority = node["priority"].as<std::string>("standard");
  traffic.within_rate = node["within_rate"].as<bool>(true);
  if (node["path"]) {
    traffic.kind = CallKind::kService;
    traffic.path = node["path"].as<std::string>();
    traffic.method = node["method"].as<std::string>("GET");
    return traffic;
  }
  traffic.models = node["models"].as<std::vector<std::string>>();
  traffic.prompt_tokens = node["prompt_tokens"].as<double>(100);
  traffic.output_tokens = node["output_tokens"].as<double>(40);
  traffic.shared_prefix = node["shared_prefix"].as<double>(0);
  return traffic;
}

// Log-normal with sigma 0.8, whose mean is `mean`.
auto HeavyTailed(double mean, Random& random) -> std::int64_t {
  constexpr double kSigma = 0.8;
  constexpr double kTwoPi = 6.283185307179586;
  const double normal = std::sqrt(-2 * std::log1p(-random.Uniform())) *
                        std::cos(kTwoPi * random.Uniform());
  const double value = mean * std::exp(kSigma * normal - kSigma * kSigma / 2);
  return static_cast<std::int64_t>(std::clamp(value, 1.0, kMaxTokens));
}

}  // namespace

auto LoadWorkload(const std::string& path, const std::string& keys_path)
    -> Result<Workload> {
  try {
    std::map<std::string, std::string> keys;
    for (const auto& entry : YAML::LoadFile(keys_path)) {
      if (entry["revoked"].as<bool>(false)) continue;
      keys.emplace(entry["account"].as<std::string>(),
                   entry["key"].as<std::string>());
    }
    const auto root = YAML::LoadFile(path);
    Workload workload;
    workload.name = root["name"].as<std::string>();
    workload.seconds = root["seconds"].as<double>(10);
    workload.first_token_seconds = root["first_token_seconds"].as<double>(0.57);
    for (const auto& node : root["classes"]) {
      workload.classes.push_back(ReadClass(node, keys));
    }
    return workload;
  } catch (const std::exception& fault) {
    return Fail(ErrorKind::kInvalidArgument,
                "workload '" + path + "' with keys '" + keys_path +
                    "' cannot be read: " + fault.what(),
                "see extras/experiment/workloads for examples");
  }
}

auto PlanRequests(const Workload& workload, std::uint64_t seed)
    -> std::vector<PlannedRequest> {
  std::vector<PlannedRequest> requests;
  for (std::size_t i = 0; i < workload.classes.size(); ++i) {
    const auto& traffic = workload.classes[i];
    Random random(Hash64(traffic.name, seed));
    double at = random.Exponential(1 / traffic.per_second);
    while (at < workload.seconds) {
      PlannedRequest request;
      request.at = FromSeconds(at);
      request.traffic_class = i;
      request.id = random.Next();
      if (!traffic.models.empty()) {
        request.model = traffic.models[random.Below(traffic.models.size())];
      }
      request.prompt_tokens = HeavyTailed(traffic.prompt_tokens, random);
      request.output_tokens = HeavyTailed(traffic.output_tokens, random);
      requests.push_back(std::move(request));
      at += random.Exponential(1 / traffic.per_second);
    }
  }
  std::sort(requests.begin(), requests.end(),
            [](const auto& a, const auto& b) { return a.at < b.at; });
  return requests;
}

}  // namespace dotterellug::experiment
