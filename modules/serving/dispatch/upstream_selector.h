#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/core.h"
#include "serving/fleet/upstream_table.h"
#include "serving/load/work_times.h"

namespace dotterellug::serving {

// The properties of a request that the selection of an upstream depends on.
struct SelectionRequest {
  PoolId pool;
  ModelId model;
  AdapterId adapter;
  std::int64_t tokens = 0;
  // Prompt tokens that an engine must read.
  std::int64_t prefill_tokens = 0;
  // Hash of the shared prompt parts; 0 if there are none.
  std::uint64_t shared_prefix_hash = 0;
  AvailabilityZoneId zone;
  // Target for the time to the first event or the response; 0 if there is none.
  Duration latency_target{0};
  // Upstreams to which this request has already been sent.
  std::vector<UpstreamId> excluded;
};

// The properties of a pool that the selection of an upstream depends on.
struct PoolCapacity {
  // Capacity of an engine's KV cache in tokens; 0 for plain services.
  std::int64_t kv_tokens = 0;
  // Requests that may queue at an upstream in addition to its slots, as a
  // fraction of the slots.
  double queue_fraction = 1.0;
  // How long the work of its requests takes.
  WorkTimes times;
};

// Why no upstream can be selected.
enum class SelectionFailure {
  kNoUpstream,    // the pool has no upstream that accepts new requests
  kNoModel,       // none of them has the model or the adapter
  kNoneEligible,  // those that have it are full, not admitted or excluded
  kPaused,        // those that are not excluded asked to be left alone
};

// Orders the upstreams that may receive a request by their cost. Daemons select
// independently, on load reports that arrive late; a random addition to each
// cost keeps them from all preferring the same upstream after the same report.
// In a pool whose upstreams state their work factors, the cost is an expected
// time; in other pools it depends on the load alone.
class UpstreamSelector {
 public:
  struct Candidate {
    UpstreamTable::Entry upstream;
    // Expected time from sending the request to its first event or response;
    // nullopt if too little is known of the upstream.
    std::optional<Duration> first_event;
  };
  using Candidates = std::vector<Candidate>;

  // Returns the upstreams that may receive the request, at least one, in order
  // of their cost.
  auto Rank(const UpstreamTable& table, const SelectionRequest& request,
            const PoolCapacity& pool, Random& random, Timestamp now) const
      -> tl::expected<Candidates, SelectionFailure>;

  // Returns the dimensionless cost of one upstream: its load, where 1 is a full
  // batch, plus additions for failures and for another zone, minus a discount
  // for prefix affinity.
  static auto Cost(const UpstreamView& upstream,
                   const SelectionRequest& request, const PoolCapacity& pool)
      -> double;

 private:
  struct CostedUpstream {
    UpstreamTable::Entry entry;
    double cost = 0;
    std::optional<Duration> first_event;
    // Its responses said that requests were misdirected.
    bool misdirected = false;
  };

  // Sets the costs of candidates to expected times in milliseconds.
  static auto SetExpectedTimes(std::vector<CostedUpstream>& candidates,
                               const SelectionRequest& request,
                               const PoolCapacity& pool, Random& random,
                               Timestamp now) -> void;
};

}  // namespace dotterellug::serving
