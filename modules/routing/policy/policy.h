#pragma once

#include <cstddef>
#include <variant>

namespace dotterellug {

// Selects the candidate with the lowest expected time to first token among a
// few random candidates and those with the longest cached prefixes. Random
// sampling prevents a thundering herd: without it, many daemons that act on the
// same stale report would all send to the same upstream.
struct ExpectedCost {
  // Number of random candidates to compare.
  std::size_t sample_size = 3;
  // Number of candidates from the prefix index that are compared in addition to
  // the random ones, at most PrefixMatches::kMax. 0 ignores cached prefixes.
  std::size_t prefix_candidates = 2;
  // Time to load an adapter that is not resident in the engine.
  double adapter_load_ms = 7.0;
  // Cost of each request in the engine, a proxy for prompts that arrived after
  // the last report was measured. Queue lengths change faster than reports
  // arrive, but the number of requests in the engine does not, and it is
  // proportional to the rate at which prompts arrive there.
  double contention_ms_per_request = 3.0;
};

// Baseline policies. The only load they consider is this daemon's own requests
// in flight.
struct RandomChoice {};
struct RoundRobin {};
struct PowerOfTwoChoices {};
struct LeastOutstanding {};
// Rendezvous hashing with bounded loads, keyed by the first prompt block or,
// without blocks, by the model. An upstream that would exceed `load_factor`
// times the mean number of requests in flight is selected only if all would.
struct BoundedLoadHash {
  double load_factor = 1.25;
};

using RoutingPolicy =
    std::variant<ExpectedCost, RandomChoice, RoundRobin, PowerOfTwoChoices,
                 LeastOutstanding, BoundedLoadHash>;

}  // namespace dotterellug
