#pragma once

#include <optional>

#include "routing/policy/candidates.h"
#include "routing/policy/policy.h"
#include "routing/policy/router.h"

namespace dotterellug {

// Returns the expected time to first token of `request` on the candidate at
// `position`, given that its prefix cache has the first `cached_blocks` blocks
// of the prompt.
auto EvaluateCandidate(const ExpectedCost& policy, const RoutingTable& table,
                       const RoutingRequest& request, std::uint32_t position,
                       std::size_t cached_blocks, Timestamp now)
    -> EvaluatedCandidate;

// Selects an upstream by the ExpectedCost policy; nullopt if no candidate is
// eligible.
auto ChooseByCost(const ExpectedCost& policy, const RoutingTable& table,
                  const Candidates& candidates, const PrefixIndex& prefixes,
                  const RoutingRequest& request, Random& random, Timestamp now)
    -> std::optional<RoutingDecision>;

}  // namespace dotterellug
