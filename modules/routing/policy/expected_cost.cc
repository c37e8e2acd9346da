#include "routing/policy/expected_cost.h"

#include <algorithm>

namespace dotterellug {
namespace {

auto Contains(const std::vector<std::uint32_t>& sorted, std::uint32_t value)
    -> bool {
  return std::binary_search(sorted.begin(), sorted.end(), value);
}

auto AdapterResident(const RoutingTable& table, const RoutingEntry& entry,
                     const AdapterId& adapter) -> bool {
  if (adapter.Empty()) return true;
  const auto index = table.AdapterIndex(adapter);
  return index && Contains(entry.adapters, *index);
}

auto BlocksCachedOn(const PrefixMatches& matches, UpstreamSlot slot)
    -> std::size_t {
  for (std::size_t i = 0; i < matches.count; ++i) {
    if (matches.matches[i].slot == slot) return matches.matches[i].blocks;
  }
  return 0;
}

auto WasCompared(const RoutingDecision& decision, std::uint32_t position)
    -> bool {
  for (std::size_t i = 0; i < decision.compared_count; ++i) {
    if (decision.compared[i].position == position) return true;
  }
  return false;
}

// Adds a candidate to the comparison and selects it if its cost is the lowest
// so far.
auto Compare(RoutingDecision& decision, const EvaluatedCandidate& candidate)
    -> void {
  if (decision.compared_count == 0 ||
      candidate.cost.Total() < decision.chosen.cost.Total()) {
    decision.chosen = candidate;
  }
  decision.compared[decision.compared_count++] = candidate;
}

}  // namespace

auto EvaluateCandidate(const ExpectedCost& policy, const RoutingTable& table,
                       const RoutingRequest& request, std::uint32_t position,
                       std::size_t cached_blocks, Timestamp now)
    -> EvaluatedCandidate {
  const auto& entry = table.Entries()[position];
  const auto load = entry.load->Estimate(now);
  EvaluatedCandidate evaluated;
  evaluated.position = position;
  evaluated.cached_tokens = Tokens(std::min(
      request.prompt_tokens.Value(), static_cast<std::int64_t>(cached_blocks) *
                                         request.tokens_per_block.Value()));
  const auto uncached = request.prompt_tokens - evaluated.cached_tokens;
  evaluated.cost.queue_ms = load.queued_tokens / load.prefill_tokens_per_ms;
  evaluated.cost.contention_ms =
      load.total_requests * policy.contention_ms_per_request;
  // A decode engine receives the KV cache from the prefill engine and runs no
  // prefill.
  if (request.phase != RequestPhase::kDecode) {
    evaluated.cost.prefill_ms =
        static_cast<double>(uncached.Value()) / load.prefill_tokens_per_ms;
  }
  if (!AdapterResident(table, entry, request.adapter)) {
    evaluated.cost.adapter_ms = policy.adapter_load_ms;
  }
  evaluated.cost.network_ms = 2 * entry.zone_latency_ms;
  return evaluated;
}

auto ChooseByCost(const ExpectedCost& policy, const RoutingTable& table,
                  const Candidates& candidates, const PrefixIndex& prefixes,
                  const RoutingRequest& request, Random& random, Timestamp now)
    -> std::optional<RoutingDecision> {
  RoutingDecision decision;
  PrefixMatches matches;
  if (policy.prefix_candidates > 0) {
    matches = prefixes.Lookup(request.blocks, now);
  }
  const auto sample_size = std::clamp<std::size_t>(
      policy.sample_size, 1,
      RoutingDecision::kMaxCompared - PrefixMatches::kMax);
  for (std::size_t i = 0; i < sample_size; ++i) {
    const auto position = candidates.DrawEligible(random);
    if (!position) return std::nullopt;
    if (WasCompared(decision, *position)) continue;
    const auto cached =
        BlocksCachedOn(matches, candidates.Entry(*position).slot);
    Compare(decision,
            EvaluateCandidate(policy, table, request, *position, cached, now));
  }
  const auto model = table.ModelIndex(request.model);
  std::size_t added = 0;
  for (std::size_t i = 0; i < matches.count && added < policy.prefix_candidates;
       ++i) {
    const auto position = table.PositionOfSlot(matches.matches[i].slot);
    if (!position || WasCompared(decision, *position)) continue;
    const auto& entry = candidates.Entry(*position);
    // The index may still have entries of an engine that has unloaded the
    // model.
    if (!Contains(entry.models, *model)) continue;
    if (!RoleSupportsPhase(entry.role, request.phase)) continue;
    if (!candidates.Eligible(*position)) continue;
    ++added;
    Compare(decision, EvaluateCandidate(policy, table, request, *position,
                                        matches.matches[i].blocks, now));
  }
  return decision;
}

}  // namespace dotterellug
