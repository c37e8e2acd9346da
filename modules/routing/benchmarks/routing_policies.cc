// Compares the routing policies in a queueing simulation of 9 engines and 8
// daemons. Prints CSV with one row for each workload, arrival rate and policy:
// the medians over the seeds given as arguments (default 1 to 5).

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "routing/benchmarks/routing_simulation.h"

namespace dotterellug::simulation {
namespace {

struct NamedPolicy {
  const char* name;
  RoutingPolicy policy;
  double event_loss_fraction = 0.1;
};

auto Policies() -> std::vector<NamedPolicy> {
  return {{"random", RandomChoice{}},
          {"round_robin", RoundRobin{}},
          {"two_choices", PowerOfTwoChoices{}},
          {"least_outstanding", LeastOutstanding{}},
          {"bounded_hash", BoundedLoadHash{}},
          {"cost_sample3_no_prefix", ExpectedCost{3, 0}},
          {"cost_sample8_no_prefix", ExpectedCost{8, 0}},
          {"cost_no_contention", ExpectedCost{3, 2, 7.0, 0}},
          {"cost_sample1_prefix2", ExpectedCost{1, 2}},
          {"cost_sample3_prefix2", ExpectedCost{3, 2}},
          {"cost_sample8_prefix4", ExpectedCost{8, 4}},
          {"cost_without_events", ExpectedCost{3, 2}, 1.0}};
}

auto Median(std::vector<double> values) -> double {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

auto MedianOf(const std::vector<SimulationResult>& results,
              double SimulationResult::*field) -> double {
  std::vector<double> values;
  values.reserve(results.size());
  for (const auto& result : results) values.push_back(result.*field);
  return Median(values);
}

auto RunSeeds(const SimulationOptions& base,
              const std::vector<std::uint64_t>& seeds, const char* name)
    -> void {
  std::vector<SimulationResult> results;
  for (const auto seed : seeds) {
    auto options = base;
    options.seed = seed;
    results.push_back(RoutingSimulation(options).Run());
  }
  std::printf("%s,%.0f,%s,%.0f,%.0f,%.3f,%.3f,%.2f\n",
              base.workload.name.c_str(), base.requests_per_second, name,
              MedianOf(results, &SimulationResult::first_token_median_ms),
              MedianOf(results, &SimulationResult::first_token_p95_ms),
              MedianOf(results, &SimulationResult::slo_attainment),
              MedianOf(results, &SimulationResult::hit_rate),
              MedianOf(results, &SimulationResult::imbalance));
  std::fflush(stdout);
}

auto ComparePolicies(const std::vector<std::uint64_t>& seeds) -> void {
  std::printf("# seeds:");
  for (const auto seed : seeds) {
    std::printf(" %llu", static_cast<unsigned long long>(seed));
  }
  std::printf(
      "\nworkload,requests_per_second,policy,first_token_median_ms,"
      "first_token_p95_ms,attainment,hit_rate,imbalance\n");
  for (const auto& workload : {RetailWorkload(), RulingsWorkload()}) {
    for (const double rate : {45.0, 60.0, 75.0}) {
      for (const auto& named_policy : Policies()) {
        SimulationOptions options;
        options.policy = named_policy.policy;
        options.event_loss_fraction = named_policy.event_loss_fraction;
        options.workload = workload;
        options.requests_per_second = rate;
        RunSeeds(options, seeds, named_policy.name);
      }
    }
  }
}

}  // namespace
}  // namespace dotterellug::simulation

auto main(int argc, char** argv) -> int {
  std::vector<std::uint64_t> seeds;
  for (int i = 1; i < argc; ++i) {
    seeds.push_back(std::strtoull(argv[i], nullptr, 10));
  }
  if (seeds.empty()) seeds = {1, 2, 3, 4, 5};
  dotterellug::simulation::ComparePolicies(seeds);
  return 0;
}
