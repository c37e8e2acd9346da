// Measures the time and memory of planning at growing fleet sizes: the first
// plan of an empty fleet, and incremental plans while demand changes. Prints
// CSV. One process measures one size, so that its peak memory is that of the
// size. Usage: plan_time MODELS ENGINES PLANS

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "core/random/random.h"
#include "placement/placement.h"

namespace dotterellug {
namespace {

// Peak resident memory of this process so far, in MB.
auto PeakMemoryMb() -> double {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) / 1024;
}

auto Percentile(std::vector<double> values, double fraction) -> double {
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(fraction * last)];
}

auto MakeInput(int models, int engines, Random& random) -> PlanInput {
  PlanInput input;
  for (int i = 0; i < models; ++i) {
    const auto weight = static_cast<std::int64_t>(14 + random.Below(30));
    const auto demand = 0.4 * engines / models * std::pow(10, random.Uniform());
    input.models.push_back({ModelId("model-" + std::to_string(i)), "1",
                            Bytes(weight), Bytes(20), 1, demand / 4});
  }
  for (int i = 0; i < engines; ++i) {
    // Memory sizes are in GB here, also as Bytes.
    input.engines.push_back({UpstreamId("engine-" + std::to_string(i)),
                             AvailabilityZoneId(std::to_string(i % 12)),
                             Bytes(160),
                             true,
                             {}});
  }
  for (int i = 0; i < 2 * models; ++i) {
    const auto base = random.Below(static_cast<std::uint64_t>(models));
    input.adapters.push_back({AdapterId("adapter-" + std::to_string(i)),
                              ModelId("model-" + std::to_string(base)),
                              Bytes(1), 0.01});
  }
  return input;
}

auto ApplyPlan(const PlanResult& result, PlanInput& input) -> void {
  for (auto& engine : input.engines) {
    const auto targets = result.targets.find(engine.id);
    if (targets == result.targets.end()) continue;
    engine.reserved.clear();
    for (const auto& item : targets->second.items) {
      engine.reserved.push_back({item.key, true});
    }
  }
}

// Changes the demand of a tenth of the models by a factor of up to ten.
auto ChangeDemand(PlanInput& input, int engines, Random& random) -> void {
  const auto models = static_cast<double>(input.models.size());
  for (auto& model : input.models) {
    if (random.Uniform() > 0.1) continue;
    model.demand = 0.1 * engines / models * std::pow(10, random.Uniform());
  }
}

auto Measure(int models, int engines, int plans) -> void {
  Random random(1);
  auto input = MakeInput(models, engines, random);
  PlannerOptions options;
  // A large fleet has the weight stores of three regions, which allow more
  // parallel loads.
  options.max_pending_loads = 200;
  Planner planner(options);
  auto now = Timestamp(std::chrono::seconds(1000));
  std::vector<double> plan_seconds;
  std::int64_t loads = 0;
  double first_plan_seconds = 0;
  for (int plan = 0; plan < plans; ++plan) {
    const auto begin = std::chrono::steady_clock::now();
    const auto result = planner.Plan(now, input);
    const std::chrono::duration<double> took =
        std::chrono::steady_clock::now() - begin;
    if (plan == 0) {
      first_plan_seconds = took.count();
    } else {
      plan_seconds.push_back(took.count());
      loads += result.loads_started;
    }
    ApplyPlan(result, input);
    now += std::chrono::seconds(10);
    ChangeDemand(input, engines, random);
  }
  std::printf("%d,%d,%.4f,%.4f,%.4f,%.1f,%.1f\n", models, engines,
              first_plan_seconds, Percentile(plan_seconds, 0.5),
              Percentile(plan_seconds, 1),
              static_cast<double>(loads) / (plans - 1), PeakMemoryMb());
}

}  // namespace
}  // namespace dotterellug

auto main(int argc, char** argv) -> int {
  if (argc != 4) {
    std::fprintf(stderr, "usage: plan_time MODELS ENGINES PLANS\n");
    return 2;
  }
  std::printf(
      "models,engines,first_plan_s,median_plan_s,longest_plan_s,"
      "loads_per_plan,peak_process_mb\n");
  dotterellug::Measure(std::atoi(argv[1]), std::atoi(argv[2]),
                       std::atoi(argv[3]));
  return 0;
}
