#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"

namespace dotterellug::experiment {

enum class CallKind { kChat, kService };

// One stream of requests of a client account.
struct TrafficClass {
  std::string name;
  std::string account;
  std::string key;
  CallKind kind = CallKind::kChat;
  // Models or adapters, chosen evenly.
  std::vector<std::string> models;
  // Method and path of a service call.
  std::string method = "GET";
  std::string path;
  std::string priority = "standard";
  double per_second = 1;
  // Mean sizes in tokens; each request draws from a heavy-tailed distribution.
  double prompt_tokens = 100;
  double output_tokens = 40;
  // Part of the prompt that all requests of the class share.
  double shared_prefix = 0;
  // Whether the class stays within its account's rate, so that each refusal
  // for its budget counts against the system.
  bool within_rate = true;
};

struct Workload {
  std::string name;
  double seconds = 10;
  // Target for the first token.
  double first_token_seconds = 0.57;
  std::vector<TrafficClass> classes;
};

// Reads a workload from YAML; keys come from the file that `keys_path` names,
// one per account.
auto LoadWorkload(const std::string& path, const std::string& keys_path)
    -> Result<Workload>;

// One request to be sent, drawn from a class.
struct PlannedRequest {
  // Intended time since the start of the run.
  Duration at{0};
  std::size_t traffic_class = 0;
  std::string model;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;
  std::uint64_t id = 0;
};

// All requests of a run in order of time, with open-loop Poisson arrivals.
auto PlanRequests(const Workload& workload, std::uint64_t seed)
    -> std::vector<PlannedRequest>;

}  // namespace dotterellug::experiment
