#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/ids/ids.h"
#include "core/priority/priority_class.h"
#include "core/time/time.h"

namespace dotterellug {

// Rate and burst of a client account, in tokens, over the whole fleet.
struct TokenLimit {
  Tokens per_second;
  Tokens burst;
};

struct ClientAccount {
  ClientAccountId id;
  TokenLimit limit;
  // Relative part of the capacity when accounts compete; at least 1.
  std::int64_t weight = 1;
  PriorityClass default_class = PriorityClass::kStandard;
};

// A caller's key without its secret.
struct CallerKey {
  KeyId id;
  ClientAccountId account;
  // Hexadecimal text of the salt and of the keyed digest of the secret.
  std::string salt;
  std::string digest;
  bool revoked = false;
};

struct Model {
  ModelId id;
  std::string version;
  Bytes weight_bytes;
  // Memory for the KV cache of one token.
  Bytes kv_bytes_per_token;
  std::int64_t context_tokens = 8192;
  // Copies that are kept also without demand; 0 loads the model on demand.
  std::int64_t min_copies = 1;
};

struct Adapter {
  AdapterId id;
  ModelId base;
  Bytes bytes;
};

struct AvailabilityZone {
  AvailabilityZoneId id;
  // Taken out by an operator: gets no new work.
  bool out = false;
};

enum class UpstreamKind { kEngine, kService };

struct Upstream {
  UpstreamId id;
  UpstreamKind kind = UpstreamKind::kEngine;
  PoolId pool;
  AvailabilityZoneId zone;
  // IP address and TCP port.
  std::string host;
  std::uint16_t port = 0;
  Bytes memory;
  std::int64_t accelerators = 1;
  // Whether the engine rejects commands with an old fencing number.
  bool checks_fencing = false;
  // Requests it bears at once when warm and when freshly started.
  std::int64_t warm_concurrency = 32;
  std::int64_t cold_concurrency = 2;
};

// A route to a plain service: requests under /services/NAME/ go to `pool`.
struct Route {
  std::string name;
  PoolId pool;
  // An open route needs no key.
  bool open = false;
  // Methods that may be repeated after a failure, such as GET.
  std::vector<std::string> idempotent_methods;
};

struct FleetLimits {
  std::int64_t weight_store_parallel_loads = 5;
  double weight_store_loads_per_second = 1.5;
  std::int64_t adapter_loads_in_flight = 40;
  std::int64_t max_body_bytes = 1'000'000;
  std::int64_t queue_length_per_class = 1000;
  Duration default_deadline = std::chrono::seconds(30);
  Duration batch_max_age = std::chrono::seconds(600);
};

// The serving document of one deployment. Ids are unique within their map,
// and every reference is resolved; Validate in validation/ checks both.
struct ServingDocument {
  std::map<ClientAccountId, ClientAccount> accounts;
  std::map<KeyId, CallerKey> keys;
  std::map<ModelId, Model> models;
  std::map<AdapterId, Adapter> adapters;
  std::map<AvailabilityZoneId, AvailabilityZone> zones;
  std::map<UpstreamId, Upstream> upstreams;
  std::map<std::string, Route> routes;
  FleetLimits limits;
};

}  // namespace dotterellug
