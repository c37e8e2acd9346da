// Measures the processor time of one planning call for copies of models and of
// adapters, by numbers of models and engines. Prints CSV.
// Usage: copy_plan_time MODELS ENGINES CALLS

#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "core/random/random.h"
#include "placement/placement.h"

namespace dotterellug {
namespace {

constexpr double kWeightMb = 70'000;
constexpr double kCapacityMb = 230'000;
constexpr int kModelsPerEngine = 3;
constexpr int kAdaptersPerModel = 3;
constexpr std::int64_t kAdapterSlots = 8;

struct Inputs {
  CopyPlannerInput copies;
  AdapterPlannerInput adapters;
};

// Engines that are full, with a demand of which a few models have most.
auto MakeInputs(int models, int engines) -> Inputs {
  Random random(1);
  Inputs inputs;
  for (int i = 0; i < models; ++i) {
    const ModelId id("model-" + std::to_string(i));
    const double demand = 1e6 / std::pow(1 + i, 0.8);
    inputs.copies.models.push_back({id, kWeightMb, demand, demand});
    for (int j = 0; j < kAdaptersPerModel; ++j) {
      inputs.adapters.adapters[id].push_back(
          AdapterId("a" + std::to_string(j)));
    }
    inputs.adapters.demand[id] = demand;
  }
  int next = 0;
  for (int i = 0; i < engines; ++i) {
    CopyPlannerEngine engine;
    engine.id = UpstreamId("engine-" + std::to_string(i));
    engine.capacity_mb = kCapacityMb;
    engine.load = random.Uniform();
    AdapterPlannerEngine adapters;
    adapters.id = engine.id;
    adapters.slots = kAdapterSlots;
    for (int j = 0; j < kModelsPerEngine; ++j) {
      const auto& id =
          inputs.copies.models[static_cast<std::size_t>(next++ % models)].id;
      engine.models.insert(id);
      engine.cached.insert(id);
      for (int k = 0; k < kAdaptersPerModel - (j == 0 ? 1 : 0); ++k) {
        adapters.held[id].insert(AdapterId("a" + std::to_string(k)));
      }
    }
    inputs.copies.engines.push_back(std::move(engine));
    inputs.adapters.engines.push_back(std::move(adapters));
  }
  inputs.copies.demand_observed = true;
  return inputs;
}

template <typename Call>
auto MicrosecondsPerCall(int calls, const Call& call) -> double {
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < calls; ++i) call();
  const std::chrono::duration<double, std::micro> spent =
      std::chrono::steady_clock::now() - began;
  return spent.count() / calls;
}

}  // namespace
}  // namespace dotterellug

auto main(int argc, char** argv) -> int {
  using namespace dotterellug;  // NOLINT
  if (argc != 4) {
    std::fprintf(stderr, "usage: copy_plan_time MODELS ENGINES CALLS\n");
    return 2;
  }
  const int models = std::atoi(argv[1]);
  const int engines = std::atoi(argv[2]);
  const int calls = std::atoi(argv[3]);
  const auto inputs = MakeInputs(models, engines);
  std::size_t orders = 0;
  const auto copies = MicrosecondsPerCall(
      calls, [&] { orders += CopyPlanner().Plan(inputs.copies).size(); });
  const auto adapters = MicrosecondsPerCall(
      calls, [&] { orders += PlanAdapters(inputs.adapters).size(); });
  std::printf("models,engines,copies_us,adapters_us,orders\n");
  std::printf("%d,%d,%.0f,%.0f,%zu\n", models, engines, copies, adapters,
              orders / static_cast<std::size_t>(calls));
  return 0;
}
