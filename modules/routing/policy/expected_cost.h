#pragma once

#include <optional>

#include "routing/policy/candidates.h"
#include "routing/policy/policy.h"
#include "routing/policy/router.h"

namespace dotterellug {

// The expected time until the first token of `request` on one candidate, of
// whose prompt `cached_blocks` blocks are believed to be cached there.
auto ScoreCandidate(const ExpectedCost& policy, const RoutingTable& table,
                    const RoutingRequest& request, std::uint32_t position,
                    std::size_t cached_blocks, Timestamp now)
    -> ScoredCandidate;

// The decision of ExpectedCost; nothing when no candidate is eligible.
auto ChooseByCost(const ExpectedCost& policy, const RoutingTable& table,
                  const Candidates& candidates, const PrefixIndex& prefixes,
                  const RoutingRequest& request, Random& random, Timestamp now)
    -> std::optional<RoutingDecision>;

}  // namespace dotterellug
