#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "core/errors/error.h"
#include "core/random/random.h"
#include "routing/policy/policy.h"
#include "routing/prefix/prefix_index.h"
#include "routing/table/dispatch_ticket.h"
#include "routing/table/routing_table.h"

namespace dotterellug {

// What is known about a request when it is routed.
struct RoutingRequest {
  ModelId model;
  // Empty without an adapter.
  AdapterId adapter;
  RequestStage stage = RequestStage::kWhole;
  Tokens prompt_tokens;
  BlockHashes blocks;
  Tokens tokens_per_block{64};
  // Upstreams that failed this request already.
  std::vector<UpstreamId> excluded;
};

// Expected milliseconds until the first token on one candidate, by part.
struct CostComponents {
  // Prefill of the requests ahead.
  double queue_ms = 0;
  // Expected wait for the prompts that arrive before it at the engine's rate.
  double contention_ms = 0;
  // Prefill of this request's tokens that are not cached.
  double prefill_ms = 0;
  double adapter_ms = 0;
  // To the upstream and back.
  double network_ms = 0;

  auto Total() const -> double {
    return queue_ms + contention_ms + prefill_ms + adapter_ms + network_ms;
  }
};

struct ScoredCandidate {
  // Position in RoutingTable::Entries().
  std::uint32_t position = 0;
  CostComponents cost;
  Tokens cached_tokens;
};

// A chosen upstream with the candidates that were compared, for
// `dotterellugctl explain`. Baselines compare without scores.
struct RoutingDecision {
  static constexpr std::size_t kMaxCompared = 12;
  ScoredCandidate chosen;
  std::array<ScoredCandidate, kMaxCompared> compared{};
  std::size_t compared_count = 0;
};

enum class NoUpstreamReason {
  // No live upstream in a usable zone has the model or belongs to the pool.
  kNoCandidate,
  // All candidates are excluded by the request.
  kAllExcluded,
  // All remaining candidates have used up their allowance.
  kNoAllowance,
};

// The reason's name in answers and metric labels, such as "no_allowance".
auto NoUpstreamReasonName(NoUpstreamReason reason) -> std::string_view;

// State of one traffic thread; not shared.
struct RoutingThreadState {
  explicit RoutingThreadState(std::uint64_t seed)
      : random(seed), cursor(random.Next()) {}
  Random random;
  std::uint64_t cursor;
};

// Names the upstream for a request to a model. Pure: counts nothing, so the
// caller begins a DispatchTicket on the chosen upstream, and decides again if
// that fails because another thread took the last place.
auto ChooseEngine(const RoutingPolicy& policy, const RoutingTable& table,
                  const PrefixIndex& prefixes, const RoutingRequest& request,
                  RoutingThreadState& state, Timestamp now)
    -> tl::expected<RoutingDecision, NoUpstreamReason>;

// Names the instance of a plain service: of two random ones the one with fewer
// requests in flight.
auto ChooseServiceInstance(const RoutingTable& table, const PoolId& pool,
                           const std::vector<UpstreamId>& excluded,
                           RoutingThreadState& state)
    -> tl::expected<RoutingDecision, NoUpstreamReason>;

}  // namespace dotterellug
