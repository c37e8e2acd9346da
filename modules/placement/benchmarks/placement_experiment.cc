// Compares the planner with static placement, least-recently-used swapping and
// replication by peak demand in one run, and with unlimited memory as the upper
// bound. Prints CSV with medians over the seeds. Usage: placement_experiment
// [SEEDS [short]]; `short` runs one deployment at fewer loads, for trials.

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "placement/benchmarks/policies.h"

namespace dotterellug {
namespace {

// A variant of the simulation, possibly with a zone outage in the given period
// (seconds, -1 for none) or with a model that is unloaded and not requested at
// first (-1 for none).
struct Scenario {
  std::string name;
  double zone_outage_start = -1;
  double zone_outage_end = -1;
  int initially_unloaded_model = -1;
};

auto Median(std::vector<double> values) -> double {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

auto RunPolicy(const std::string& name, const SimulationOptions& options,
               const Workload& workload) -> SimulationResult {
  if (name == "planner") {
    PlannerPolicy planner((PlannerOptions()));
    return Simulation(options, workload, planner.policy).Run();
  }
  auto policy = name == "static" ? StaticPolicy()
                : name == "peak" ? PeakPolicy()
                : name == "lru"  ? LeastRecentlyUsedPolicy()
                                 : UnlimitedPolicy();
  return Simulation(options, workload, policy).Run();
}

// Requests served in time between two seconds, as a fraction of those of
// `best`.
auto AttainmentRatio(const SimulationResult& result,
                     const SimulationResult& best, int from, int to) -> double {
  double policy_attained = 0;
  double best_attained = 0;
  for (int second = from; second < to; ++second) {
    policy_attained += result.attained_by_second[second];
    best_attained += best.attained_by_second[second];
  }
  return best_attained > 0 ? policy_attained / best_attained : 1;
}

// The results of one policy, one element per seed.
struct PolicySamples {
  std::vector<double> attained;
  std::vector<double> worst_account_attained;
  std::vector<double> weight_loads;
  std::vector<double> first_response_seconds;
  std::vector<double> unreachable;
  std::vector<double> outage_ratio;
  std::vector<double> recovery_ratio;
};

auto PrintRow(const Deployment& deployment, const Scenario& scenario,
              std::int64_t memory, double load, const std::string& policy,
              const PolicySamples& samples) -> void {
  std::printf("%s,%s,%lld,%.2f,%s,%.4f,%.4f,%.0f,%.2f,%.0f,%.4f,%.4f\n",
              deployment.name.c_str(), scenario.name.c_str(),
              static_cast<long long>(memory), load, policy.c_str(),
              Median(samples.attained), Median(samples.worst_account_attained),
              Median(samples.weight_loads),
              Median(samples.first_response_seconds),
              Median(samples.unreachable), Median(samples.outage_ratio),
              Median(samples.recovery_ratio));
}

const std::vector<std::string> kPolicies{"static", "peak", "lru", "planner",
                                         "unlimited"};

// Runs all policies on the scenario, prints a row for each and returns the
// median attainment per policy.
auto RunScenario(const Deployment& deployment, const Scenario& scenario,
                 std::int64_t memory, double load, int seeds)
    -> std::vector<double> {
  std::vector<PolicySamples> samples(kPolicies.size());
  for (int seed = 1; seed <= seeds; ++seed) {
    const Workload workload(deployment, load, static_cast<std::uint64_t>(seed));
    SimulationOptions options{deployment,
                              load,
                              static_cast<std::uint64_t>(seed),
                              memory,
                              scenario.zone_outage_start,
                              scenario.zone_outage_end,
                              scenario.initially_unloaded_model,
                              1200};
    const auto best = RunPolicy("unlimited", options, workload);
    for (std::size_t i = 0; i < kPolicies.size(); ++i) {
      const auto result = RunPolicy(kPolicies[i], options, workload);
      samples[i].attained.push_back(result.attained);
      samples[i].worst_account_attained.push_back(result.min_account_attained);
      samples[i].weight_loads.push_back(result.weight_loads);
      samples[i].first_response_seconds.push_back(
          result.first_response_seconds);
      samples[i].unreachable.push_back(result.unreachable_seconds);
      // The outage lasts from 1200 s to 1800 s. Both ratios start 30 s after a
      // change.
      const bool zone = scenario.zone_outage_start > 0;
      samples[i].outage_ratio.push_back(
          zone ? AttainmentRatio(result, best, 1230, 1800) : 1);
      samples[i].recovery_ratio.push_back(
          zone ? AttainmentRatio(result, best, 1830, 2400) : 1);
    }
  }
  std::vector<double> attained;
  for (std::size_t i = 0; i < kPolicies.size(); ++i) {
    PrintRow(deployment, scenario, memory, load, kPolicies[i], samples[i]);
    attained.push_back(Median(samples[i].attained));
  }
  return attained;
}

// Prints the load up to which each policy attains `goal`, by linear
// interpolation between the measured loads, and the requests served in time per
// second and accelerator at that load.
auto PrintCapacity(const Deployment& deployment, std::int64_t memory,
                   const std::vector<double>& loads,
                   const std::vector<std::vector<double>>& attained,
                   double goal) -> void {
  for (std::size_t policy = 0; policy < kPolicies.size(); ++policy) {
    double capacity = 0;
    for (std::size_t i = 0; i < loads.size(); ++i) {
      if (attained[i][policy] >= goal) {
        capacity = loads[i];
        continue;
      }
      if (i > 0) {
        const auto drop = attained[i - 1][policy] - attained[i][policy];
        capacity +=
            (loads[i] - loads[i - 1]) * (attained[i - 1][policy] - goal) / drop;
      }
      break;
    }
    std::printf("%s,capacity_at_%.2f,%lld,%.3f,%s,%.4f,,,,,,\n",
                deployment.name.c_str(), goal, static_cast<long long>(memory),
                capacity, kPolicies[policy].c_str(),
                capacity * kEngines * kSlotsPerEngine / kMeanServiceSeconds /
                    (kEngines * kAcceleratorsPerEngine));
  }
}

}  // namespace
}  // namespace dotterellug

auto main(int argc, char** argv) -> int {
  using namespace dotterellug;  // NOLINT(google-build-using-namespace)
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 5;
  std::printf(
      "# seeds 1..%d, medians; ratios are to unlimited memory on the "
      "same arrivals, from 30 s after the change\n",
      seeds);
  std::printf(
      "deployment,scenario,memory_gb,load,policy,attainment,worst_account,"
      "moves,"
      "first_answer_s,unreachable_s,zone_away_ratio,zone_back_ratio\n");
  std::vector<Deployment> deployments{{"chujio-hub", 18, 42, 1.6},
                                      {"kestrelfield", 17, 58, 1.5}};
  const std::vector<Scenario> scenarios{
      {"moving", -1, -1, -1},
      {"zone", 1200, 1800, -1},
      {"unloaded", -1, -1, 10},
  };
  std::vector<double> loads{0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9};
  const std::vector<std::int64_t> memories{96, 110, 160};
  if (argc > 2) {
    deployments.resize(1);
    loads = {0.3, 0.5, 0.7};
  }
  for (const auto& deployment : deployments) {
    for (const auto memory : memories) {
      std::vector<std::vector<double>> attained;
      attained.reserve(loads.size());
      for (const auto load : loads) {
        attained.push_back(
            RunScenario(deployment, scenarios[0], memory, load, seeds));
      }
      PrintCapacity(deployment, memory, loads, attained, 0.95);
      PrintCapacity(deployment, memory, loads, attained, 0.99);
      RunScenario(deployment, scenarios[1], memory, 0.5, seeds);
      RunScenario(deployment, scenarios[2], memory, 0.5, seeds);
    }
  }
  return 0;
}
