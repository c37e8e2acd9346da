#include "routing/policy/router.h"

#include "core/hash/hash.h"
#include "core/variant/overloaded.h"
#include "routing/policy/candidates.h"
#include "routing/policy/expected_cost.h"

namespace dotterellug {
namespace {

using Position = std::optional<std::uint32_t>;

auto InFlight(const Candidates& candidates, std::uint32_t position)
    -> std::int64_t {
  return candidates.Entry(position).load->InFlight();
}

auto ChooseByPowerOfTwoChoices(const Candidates& candidates, Random& random)
    -> Position {
  const auto first = candidates.DrawEligible(random);
  if (!first) return std::nullopt;
  const auto second = candidates.DrawEligible(random);
  if (!second) return first;
  return InFlight(candidates, *second) < InFlight(candidates, *first) ? second
                                                                      : first;
}

auto ChooseLeastOutstanding(const Candidates& candidates, Random& random)
    -> Position {
  Position best;
  // A random start index breaks ties evenly.
  const auto start = random.Below(candidates.Size());
  for (std::size_t i = 0; i < candidates.Size(); ++i) {
    const auto position = candidates.Position((start + i) % candidates.Size());
    if (!candidates.Eligible(position)) continue;
    if (!best || InFlight(candidates, position) < InFlight(candidates, *best)) {
      best = position;
    }
  }
  return best;
}

// Uses rendezvous hashing, so that the upstream that replaces an overloaded one
// differs from key to key.
auto ChooseByHash(const Candidates& candidates, std::uint64_t key,
                  double load_factor) -> Position {
  double total = 1;
  for (std::size_t i = 0; i < candidates.Size(); ++i) {
    total += static_cast<double>(InFlight(candidates, candidates.Position(i)));
  }
  const auto limit =
      load_factor * total / static_cast<double>(candidates.Size());
  Position best;
  Position best_over_limit;
  std::uint64_t best_weight = 0;
  std::uint64_t best_over_limit_weight = 0;
  for (std::size_t i = 0; i < candidates.Size(); ++i) {
    const auto position = candidates.Position(i);
    if (!candidates.Eligible(position)) continue;
    const auto weight = Random(key ^ candidates.Entry(position).id_hash).Next();
    const bool over =
        static_cast<double>(InFlight(candidates, position)) + 1 > limit;
    auto& chosen = over ? best_over_limit : best;
    auto& chosen_weight = over ? best_over_limit_weight : best_weight;
    if (chosen && weight <= chosen_weight) continue;
    chosen = position;
    chosen_weight = weight;
  }
  return best ? best : best_over_limit;
}

// Key of the bounded hash policy: the first prompt block or, without blocks,
// the model.
auto HashKey(const RoutingRequest& request) -> std::uint64_t {
  if (!request.blocks.empty()) return request.blocks.front();
  return Hash64(request.model.Value());
}

auto DecisionWithoutCost(Position position) -> std::optional<RoutingDecision> {
  if (!position) return std::nullopt;
  RoutingDecision decision;
  decision.chosen.position = *position;
  return decision;
}

}  // namespace

auto NoUpstreamReasonName(NoUpstreamReason reason) -> std::string_view {
  switch (reason) {
    case NoUpstreamReason::kNoCandidate:
      return "no_candidate";
    case NoUpstreamReason::kAllExcluded:
      return "all_excluded";
    case NoUpstreamReason::kConcurrencyLimitReached:
      return "no_allowance";
  }
  return "no_candidate";
}

auto ChooseEngine(const RoutingPolicy& policy, const RoutingTable& table,
                  const PrefixIndex& prefixes, const RoutingRequest& request,
                  RoutingThreadState& state, Timestamp now)
    -> tl::expected<RoutingDecision, NoUpstreamReason> {
  const auto* list = table.ForModel(request.model, request.phase);
  if (!list) return tl::unexpected(NoUpstreamReason::kNoCandidate);
  const Candidates candidates(table, *list, request.excluded);
  auto decision = std::visit(
      Overloaded{[&](const ExpectedCost& cost) {
                   return ChooseByCost(cost, table, candidates, prefixes,
                                       request, state.random, now);
                 },
                 [&](const RandomChoice&) {
                   return DecisionWithoutCost(
                       candidates.DrawEligible(state.random));
                 },
                 [&](const RoundRobin&) {
                   return DecisionWithoutCost(
                       candidates.NextEligible(state.round_robin_index++));
                 },
                 [&](const PowerOfTwoChoices&) {
                   return DecisionWithoutCost(
                       ChooseByPowerOfTwoChoices(candidates, state.random));
                 },
                 [&](const LeastOutstanding&) {
                   return DecisionWithoutCost(
                       ChooseLeastOutstanding(candidates, state.random));
                 },
                 [&](const BoundedLoadHash& hash) {
                   return DecisionWithoutCost(ChooseByHash(
                       candidates, HashKey(request), hash.load_factor));
                 }},
      policy);
  if (!decision) return tl::unexpected(candidates.NoneEligibleReason());
  return *decision;
}

auto ChooseServiceInstance(const RoutingTable& table, const PoolId& pool,
                           const std::vector<UpstreamId>& excluded,
                           RoutingThreadState& state)
    -> tl::expected<RoutingDecision, NoUpstreamReason> {
  const auto* list = table.ForPool(pool);
  if (!list) return tl::unexpected(NoUpstreamReason::kNoCandidate);
  const Candidates candidates(table, *list, excluded);
  auto decision =
      DecisionWithoutCost(ChooseByPowerOfTwoChoices(candidates, state.random));
  if (!decision) return tl::unexpected(candidates.NoneEligibleReason());
  return *decision;
}

}  // namespace dotterellug
