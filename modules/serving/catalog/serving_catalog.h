#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace dotterellug::serving {

// What an answer looks like and what may be done again after a failure.
enum class RequestKind {
  kIdempotent,
  // At most one attempt reaches an upstream.
  kNonIdempotent,
  // A stream of events; at most once unless the route is resumable.
  kStream,
};

struct WeightedPool {
  PoolId pool;
  std::int64_t weight = 1;
};

// Where requests of one host and path prefix go.
struct ServiceRoute {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kIdempotent;
  // Whether another upstream may go on with a stream after its last event.
  bool resumable = false;
  // Whether requests are accepted without a key.
  bool open = false;
  // Longest time until the final answer.
  Duration timeout = std::chrono::seconds(30);
  // Time within which an answer (for streams: the first event) has its full
  // value to the caller.
  Duration goal = std::chrono::seconds(1);
  // Longest pause between the events of a stream that callers find in time.
  Duration event_gap{0};
  // 0 is the most urgent.
  int priority = 5;
  // Upstreams to which one request may be sent.
  int max_upstreams = 1;
  std::vector<WeightedPool> pools;
};

// Rate and burst of an account over the whole fleet. A rate of 0 is no limit.
struct AccountLimit {
  std::int64_t per_second = 0;
  std::int64_t burst = 0;
  // Whether the limit counts tokens; it counts requests otherwise.
  bool in_tokens = false;
  // Tokens of a request that does not state its size.
  std::int64_t tokens_without_size = 1;
};

struct ServiceAccount {
  ClientAccountId id;
  // Takes the place of the route's priority.
  std::optional<int> priority;
  AccountLimit limit;
};

// A model that engines of a pool can be ordered to load.
struct ServedModel {
  ModelId id;
  double weight_mb = 0;
  double adapter_mb = 0;
  int adapters = 0;
  // Load times from the weight store, the engine's disk and its host memory.
  Duration store_load = std::chrono::seconds(3);
  Duration disk_load = std::chrono::seconds(3);
  Duration memory_load = std::chrono::seconds(3);
};

// What the engines of a pool can do.
struct EngineClass {
  std::int64_t slots = 1;
  // Tokens of all running requests and kept prompt parts together.
  std::int64_t kv_tokens = 0;
  double weight_mb = 0;
  std::int64_t adapter_slots = 0;
  double store_loads_per_second = 0;
  std::vector<ServedModel> models;
};

struct ServicePool {
  PoolId id;
  // Connections that one upstream accepts from all daemons together.
  std::int64_t max_connections = 0;
  // Requests a second that a cold upstream bears from all daemons together; 0
  // if its upstreams have no cold phase.
  double cold_per_second = 0;
  std::optional<EngineClass> engine;
};

// Bounds on what callers may send.
struct CallerLimits {
  std::size_t header_bytes = 16'384;
  std::uint64_t body_bytes = 4'194'304;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
};

// One version of the configuration, immutable once it is in force.
class ServingCatalog {
 public:
  // Versions increase; a catalog never gives way to one with a lower version.
  std::int64_t version = 0;
  CallerLimits limits;
  bool requires_keys = false;

  auto AddRoute(ServiceRoute route) -> void;
  auto AddPool(ServicePool pool) -> void;
  // A key that two accounts claim belongs to the last one added.
  auto AddAccount(const ServiceAccount& account,
                  const std::vector<std::string>& keys) -> void;

  // The route of `host` with the longest prefix that begins `path`; null when
  // there is none.
  auto FindRoute(std::string_view host, std::string_view path) const
      -> const ServiceRoute*;
  // The account that holds `key`; null when no account does.
  auto FindAccount(const std::string& key) const -> const ServiceAccount*;
  auto FindAccount(const ClientAccountId& id) const -> const ServiceAccount*;
  auto FindPool(const PoolId& id) const -> const ServicePool*;
  // Keys of all accounts together.
  auto KeyCount() const -> std::size_t { return keys_.size(); }
  auto Pools() const -> const std::map<PoolId, ServicePool>& { return pools_; }
  auto Accounts() const -> const std::map<ClientAccountId, ServiceAccount>& {
    return accounts_;
  }

 private:
  // Routes of each host by prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, ServiceRoute>>
      routes_;
  std::map<PoolId, ServicePool> pools_;
  std::map<ClientAccountId, ServiceAccount> accounts_;
  std::unordered_map<std::string, ClientAccountId> keys_;
};

}  // namespace dotterellug::serving
