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

// Kind of request that a route accepts. Determines the form of the response and
// whether a failed attempt may be retried.
enum class RequestKind {
  kIdempotent,
  // At most one attempt reaches an upstream.
  kNonIdempotent,
  // The response is an event stream. At most one attempt reaches an upstream
  // unless the route is resumable.
  kStream,
};

// A pool that receives a fraction of a route's requests, in proportion to its
// weight.
struct WeightedPool {
  PoolId pool;
  std::int64_t weight = 1;
};

// Routing rule for requests to one host and path prefix.
struct ServiceRoute {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kIdempotent;
  // Whether another upstream may continue a stream after the last event sent.
  bool resumable = false;
  // Whether requests are accepted without an API key.
  bool allows_anonymous = false;
  // Maximum time from the arrival of a request to the end of its response.
  Duration timeout = std::chrono::seconds(30);
  // Latency target: time from the arrival of a request to its response or, for
  // streams, to the first event.
  Duration latency_target = std::chrono::seconds(1);
  // Latency target for the pauses between the events of a stream; 0 if none is
  // configured.
  Duration inter_event_latency_target{0};
  // 0 is the most urgent.
  int priority = 5;
  // Maximum number of upstreams to which one request may be sent.
  int max_upstreams = 1;
  std::vector<WeightedPool> pools;
};

// Fleet-wide rate limit of a client account. A rate of 0 means no limit.
struct AccountLimit {
  std::int64_t per_second = 0;
  std::int64_t burst = 0;
  // Whether the limit counts tokens instead of requests.
  bool counts_tokens = false;
  // Tokens charged for a request that does not state its size.
  std::int64_t default_request_tokens = 1;
};

// A client account, which owns API keys and may override the priority of
// routes.
struct ServiceAccount {
  ClientAccountId id;
  // Overrides the priority of the route.
  std::optional<int> priority;
  AccountLimit limit;
};

// A model that a daemon may command the engines of a pool to load.
struct ServedModel {
  ModelId id;
  double weight_mb = 0;
  double adapter_mb = 0;
  int adapters = 0;
  // Load times from the weight store, from the engine's disk and from its host
  // memory.
  Duration store_load_time = std::chrono::seconds(3);
  Duration disk_load_time = std::chrono::seconds(3);
  Duration memory_load_time = std::chrono::seconds(3);
};

// Capacity of the engines of a pool.
struct EngineCapacity {
  std::int64_t slots = 1;
  // Capacity of the KV cache in tokens, for running requests and cached prompt
  // prefixes together.
  std::int64_t kv_tokens = 0;
  double weight_mb = 0;
  std::int64_t adapter_slots = 0;
  double store_loads_per_second = 0;
  std::vector<ServedModel> models;
};

// How many engines of a pool the platform may be asked to run in each zone.
struct PoolScaling {
  std::int64_t min_engines = 1;
  std::int64_t max_engines = 1;
  // Time from an order until a new engine serves.
  Duration boot_time = std::chrono::seconds(6);
};

// A group of upstreams that serve the same requests.
struct ServicePool {
  PoolId id;
  // Maximum number of connections that one upstream accepts from all daemons
  // together.
  std::int64_t max_connections = 0;
  // Requests per second that a cold (recently started) upstream can handle from
  // all daemons together; 0 if upstreams of the pool have no cold phase.
  double cold_requests_per_second = 0;
  std::optional<EngineCapacity> engine;
  // Nothing if the number of engines is not to be changed.
  std::optional<PoolScaling> scaling;
};

// Limits on the requests and connections of callers.
struct CallerLimits {
  std::size_t header_bytes = 16'384;
  std::uint64_t body_bytes = 4'194'304;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
};

// One version of the configuration. Must not be changed once it is active.
class ServingCatalog {
 public:
  // Versions increase; the active configuration is never replaced by one with a
  // lower version.
  std::int64_t version = 0;
  CallerLimits limits;
  bool requires_keys = false;

  auto AddRoute(ServiceRoute route) -> void;
  auto AddPool(ServicePool pool) -> void;
  // Adds an account with its API keys. A key of two accounts belongs to the one
  // that was added last.
  auto AddAccount(const ServiceAccount& account,
                  const std::vector<std::string>& keys) -> void;

  // Returns the route of `host` with the longest path prefix that matches
  // `path`; null if there is none.
  auto FindRoute(std::string_view host, std::string_view path) const
      -> const ServiceRoute*;
  // Returns the account that owns `key`; null if there is none.
  auto FindAccount(const std::string& key) const -> const ServiceAccount*;
  auto FindAccount(const ClientAccountId& id) const -> const ServiceAccount*;
  auto FindPool(const PoolId& id) const -> const ServicePool*;
  // Number of API keys of all accounts.
  auto KeyCount() const -> std::size_t { return keys_.size(); }
  auto Pools() const -> const std::map<PoolId, ServicePool>& { return pools_; }
  // Whether routes that use the pool differ in priority or latency target, so
  // that the order in which its requests are served matters.
  auto HasUnequalRoutes(const PoolId& pool) const -> bool;
  auto Accounts() const -> const std::map<ClientAccountId, ServiceAccount>& {
    return accounts_;
  }

 private:
  // Routes by host and path prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, ServiceRoute>>
      routes_;
  std::map<PoolId, ServicePool> pools_;
  std::map<ClientAccountId, ServiceAccount> accounts_;
  std::unordered_map<std::string, ClientAccountId> keys_;
};

}  // namespace dotterellug::serving
