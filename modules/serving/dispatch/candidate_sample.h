#pragma once

#include "core/core.h"
#include "serving/dispatch/upstream_selector.h"

namespace dotterellug::serving {

// Puts a random quarter of the candidates before the others, both in their
// order, if the first candidate is busy. Daemons that hold the same report of
// the load would otherwise all choose the same few upstreams until the next
// one, which in overload makes their queues several times as long as intended.
// Suspected upstreams stay behind, and other pools keep the order by cost.
auto SpreadOverBusy(UpstreamSelector::Candidates candidates, Random& random,
                    Timestamp now) -> UpstreamSelector::Candidates;

}  // namespace dotterellug::serving
