#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "core/errors/error.h"
#include "core/random/random.h"
#include "routing/policy/policy.h"
#include "routing/prefix/prefix_index.h"
#include "routing/table/in_flight_guard.h"
#include "routing/table/routing_table.h"

namespace dotterellug {

// The properties of a request that its routing depends on.
struct RoutingRequest {
  ModelId model;
  // Empty if the request uses no adapter.
  AdapterId adapter;
  RequestPhase phase = RequestPhase::kPrefillAndDecode;
  Tokens prompt_tokens;
  BlockHashes blocks;
  // Estimated size of a block of the prompt. The default corresponds to the
  // default BlockHashing::block_bytes at 4 bytes per token.
  Tokens tokens_per_block{64};
  // Upstreams on which an earlier attempt of this request failed.
  std::vector<UpstreamId> excluded;
};

// Components of the expected time to first token on one candidate, in
// milliseconds.
struct CostComponents {
  // Prefill of the prompts queued ahead of this request.
  double queue_ms = 0;
  // Expected delay by prompts that arrived after the last report was measured;
  // proportional to the number of requests in the engine.
  double contention_ms = 0;
  // Prefill of the uncached prompt tokens of this request.
  double prefill_ms = 0;
  // Load of an adapter that is not resident.
  double adapter_ms = 0;
  // Network round trip to the upstream's availability zone.
  double network_ms = 0;

  auto Total() const -> double {
    return queue_ms + contention_ms + prefill_ms + adapter_ms + network_ms;
  }
};

// A candidate with its expected cost.
struct EvaluatedCandidate {
  // Index in RoutingTable::Entries().
  std::uint32_t position = 0;
  CostComponents cost;
  Tokens cached_tokens;
};

// The selected upstream and the candidates that were compared, for
// `dotterellugctl explain`. The baseline policies compute no costs and list no
// compared candidates.
struct RoutingDecision {
  static constexpr std::size_t kMaxCompared = 12;
  EvaluatedCandidate chosen;
  std::array<EvaluatedCandidate, kMaxCompared> compared{};
  std::size_t compared_count = 0;
};

// Why no upstream can be selected for a request.
enum class NoUpstreamReason {
  // No live upstream in an enabled zone has the model or belongs to the pool.
  kNoCandidate,
  // The request excludes all candidates.
  kAllExcluded,
  // This daemon has reached its concurrency limit on all candidates that are
  // not excluded.
  kConcurrencyLimitReached,
};

// Returns the name of the reason in responses and metric labels, such as
// "no_allowance".
auto NoUpstreamReasonName(NoUpstreamReason reason) -> std::string_view;

// Random generator and round-robin index of one traffic thread. The index
// starts at a random value so that threads and daemons do not start at the same
// upstream. Not thread-safe.
struct RoutingThreadState {
  explicit RoutingThreadState(std::uint64_t seed)
      : random(seed), round_robin_index(random.Next()) {}
  Random random;
  std::uint64_t round_robin_index;
};

// Selects the upstream for a request to a model. Changes no counters: the
// caller begins an InFlightGuard on the selected upstream, and routes the
// request again if that fails because another thread has used up the
// concurrency limit in the meantime.
auto ChooseEngine(const RoutingPolicy& policy, const RoutingTable& table,
                  const PrefixIndex& prefixes, const RoutingRequest& request,
                  RoutingThreadState& state, Timestamp now)
    -> tl::expected<RoutingDecision, NoUpstreamReason>;

// Selects an instance of a plain service (a pool whose upstreams serve no
// models): of two random candidates, the one with fewer requests in flight.
auto ChooseServiceInstance(const RoutingTable& table, const PoolId& pool,
                           const std::vector<UpstreamId>& excluded,
                           RoutingThreadState& state)
    -> tl::expected<RoutingDecision, NoUpstreamReason>;

}  // namespace dotterellug
