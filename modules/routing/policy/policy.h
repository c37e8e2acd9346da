#pragma once

#include <cstddef>
#include <variant>

namespace dotterellug {

// Chooses the candidate with the lowest expected time until the first token,
// among `sample` random candidates and those with the longest cached prefixes.
// Sampling keeps many daemons that read the same stale report from sending
// everything to one upstream.
struct ExpectedCost {
  std::size_t sample_size = 3;
  // Candidates from the prefix index that join the sample; at most
  // PrefixMatches::kMax. 0 ignores prefixes.
  std::size_t prefix_candidates = 2;
  // Time to load an adapter that is not resident.
  double adapter_load_ms = 7.0;
  // Expected wait that each request in the engine stands for. Queues change
  // faster than reports arrive, but the number of requests in the engine does
  // not, and it is proportional to the rate at which prompts arrive there.
  double contention_ms_per_request = 3.0;
};

// Baselines. They use only this daemon's own requests in flight.
struct RandomChoice {};
struct RoundRobin {};
struct TwoChoices {};
struct LeastOutstanding {};
// Consistent hashing of the first prompt block (or the model); an upstream with
// more than `bound` times the mean requests in flight passes the request on to
// the next.
struct BoundedHash {
  double load_factor = 1.25;
};

using RoutingPolicy = std::variant<ExpectedCost, RandomChoice, RoundRobin,
                                   TwoChoices, LeastOutstanding, BoundedHash>;

}  // namespace dotterellug
