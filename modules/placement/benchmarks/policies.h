#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "placement/benchmarks/simulated_fleet.h"

namespace dotterellug {

// Loads initial copies by request rate: one copy of each model, then always one
// more of the model with the highest rate per copy, on the engine with enough
// free memory and the lowest rate.
inline auto FillByRate(Simulation& simulation, const std::vector<double>& rates)
    -> void {
  const auto& workload = simulation.GetWorkload();
  const auto count = static_cast<int>(rates.size());
  std::vector<double> copies(rates.size());
  std::vector<double> engine_rates(kEngines);
  std::vector<bool> unplaceable(rates.size());
  std::vector<int> order(rates.size());
  for (int i = 0; i < count; ++i) order[i] = i;
  std::sort(order.begin(), order.end(), [&](int a, int b) {
    return workload.weights_gb[a] > workload.weights_gb[b];
  });
  const auto place = [&](int model) {
    int best = -1;
    for (int engine = 0; engine < kEngines; ++engine) {
      auto& candidate = simulation.engines[engine];
      if (candidate.Find(model) != nullptr) continue;
      if (simulation.FreeMemory(engine) < workload.weights_gb[model]) continue;
      if (best < 0 || engine_rates[engine] < engine_rates[best]) best = engine;
    }
    if (best < 0) {
      unplaceable[model] = true;
      return;
    }
    simulation.Load(best, model, true);
    copies[model] += 1;
    engine_rates[best] += rates[model] / copies[model];
  };
  for (const auto model : order) {
    if (model != simulation.Options().initially_unloaded_model) place(model);
  }
  for (;;) {
    int next = -1;
    for (int model = 0; model < count; ++model) {
      if (unplaceable[model] || copies[model] == 0) continue;
      if (next < 0 ||
          rates[model] / copies[model] > rates[next] / copies[next]) {
        next = model;
      }
    }
    if (next < 0) return;
    place(next);
  }
}

// Mean request rate of each model over the simulated time.
inline auto MeanRates(const Workload& workload) -> std::vector<double> {
  std::vector<double> rates;
  for (std::size_t model = 0; model < workload.weights_gb.size(); ++model) {
    rates.push_back(workload.MeanRate(static_cast<int>(model)));
  }
  return rates;
}

// Baseline that never changes its placement; it knows the mean demand of the
// whole hour in advance.
inline auto StaticPolicy() -> PlacementPolicy {
  PlacementPolicy policy;
  policy.start = [](Simulation& simulation) {
    FillByRate(simulation, MeanRates(simulation.GetWorkload()));
  };
  return policy;
}

// Like StaticPolicy, but knows each model's peak demand in advance.
inline auto PeakPolicy() -> PlacementPolicy {
  PlacementPolicy policy;
  policy.start = [](Simulation& simulation) {
    const auto& workload = simulation.GetWorkload();
    std::vector<double> rates;
    for (std::size_t model = 0; model < workload.weights_gb.size(); ++model) {
      rates.push_back(workload.PeakRate(static_cast<int>(model)));
    }
    FillByRate(simulation, rates);
  };
  return policy;
}

// When no copy serves a request in time, loads a copy on the engine that is
// free earliest and evicts the least recently used copies there.
inline auto LeastRecentlyUsedPolicy() -> PlacementPolicy {
  PlacementPolicy policy = StaticPolicy();
  policy.on_miss = [](Simulation& simulation, int model) {
    int best = -1;
    for (int index = 0; index < kEngines; ++index) {
      auto& engine = simulation.engines[index];
      if (!engine.up) continue;
      if (auto* copy = engine.Find(model)) {
        if (!copy->resident) return;  // A copy is already loading.
        continue;
      }
      if (best < 0 ||
          engine.EarliestStart(simulation.now) <
              simulation.engines[best].EarliestStart(simulation.now)) {
        best = index;
      }
    }
    if (best < 0) return;
    auto& engine = simulation.engines[best];
    while (simulation.FreeMemory(best) <
           simulation.GetWorkload().weights_gb[model]) {
      const auto oldest =
          std::min_element(engine.copies.begin(), engine.copies.end(),
                           [](const auto& a, const auto& b) {
                             return a.last_used < b.last_used;
                           });
      if (oldest == engine.copies.end()) return;
      simulation.Unload(best, oldest->model);
    }
    simulation.Load(best, model, false);
  };
  return policy;
}

// Every model on every engine: the upper bound without a memory limit.
inline auto UnlimitedPolicy() -> PlacementPolicy {
  PlacementPolicy policy;
  policy.start = [](Simulation&) {};
  policy.unlimited_memory = true;
  return policy;
}

// The planner with the demand estimator. It observes demand only as requests
// arrive, and detects a zone outage after two seconds.
class PlannerPolicy {
 public:
  explicit PlannerPolicy(const PlannerOptions& options) : planner_(options) {
    policy.start = [](Simulation& simulation) {
      FillByRate(simulation, MeanRates(simulation.GetWorkload()));
    };
    policy.every_second = [this](Simulation& simulation) { Step(simulation); };
  }

  PlacementPolicy policy;

 private:
  auto Step(Simulation& simulation) -> void {
    const auto now = Timestamp(FromSeconds(simulation.now + 1000));
    const auto count =
        static_cast<int>(simulation.GetWorkload().weights_gb.size());
    ModelDemandReport report{
        InstanceId("one"), Incarnation(1), ++sequence_, {}};
    for (int model = 0; model < count; ++model) {
      // Counts each request as a thousand tokens; the rate is divided by it
      // below.
      report.models[ToModelId(model)].admitted =
          Tokens(static_cast<std::int64_t>(simulation.arrivals[model] * 1000));
    }
    demand_.Apply(now, report);
    PlanInput input;
    for (int model = 0; model < count; ++model) {
      const auto rate =
          demand_.Rate(now, ToModelId(model)).PlanningRate() / 1000;
      const bool unloaded =
          model == simulation.Options().initially_unloaded_model;
      input.models.push_back({ToModelId(model), "1",
                              Bytes(simulation.GetWorkload().weights_gb[model]),
                              Bytes(kKvMemoryGb), unloaded ? 0 : 1,
                              rate * kMeanServiceSeconds / kSlotsPerEngine});
    }
    for (int engine = 0; engine < kEngines; ++engine) {
      input.engines.push_back(MakePlannerEngine(simulation, engine));
    }
    for (const auto& [id, target] : planner_.Plan(now, input).targets) {
      Apply(simulation, std::stoi(id.Value()), target);
    }
  }

  auto MakePlannerEngine(Simulation& simulation, int index) -> PlannerEngine {
    auto& engine = simulation.engines[index];
    down_seconds_[index] = engine.up ? 0 : down_seconds_[index] + 1;
    // Memory sizes are in GB here, also as Bytes.
    PlannerEngine result{UpstreamId(std::to_string(index)),
                         AvailabilityZoneId(std::to_string(engine.zone)),
                         Bytes(simulation.Options().engine_memory_gb),
                         down_seconds_[index] < 2,
                         {}};
    for (const auto& copy : engine.copies) {
      result.reserved.push_back(
          {{ToModelId(copy.model), "1", AdapterId()}, copy.resident});
    }
    return result;
  }

  static auto Apply(Simulation& simulation, int index,
                    const EngineTarget& target) -> void {
    std::vector<int> target_models;
    for (const auto& item : target.items) {
      target_models.push_back(std::stoi(item.key.model.Value()));
    }
    const auto copies = simulation.engines[index].copies;
    for (const auto& copy : copies) {
      if (std::find(target_models.begin(), target_models.end(), copy.model) ==
          target_models.end()) {
        simulation.Unload(index, copy.model);
      }
    }
    for (const auto model : target_models) {
      if (simulation.engines[index].Find(model) == nullptr) {
        simulation.Load(index, model, false);
      }
    }
  }

  static auto ToModelId(int model) -> ModelId {
    return ModelId(std::to_string(model));
  }

  Planner planner_;
  DemandEstimator demand_;
  std::int64_t sequence_ = 0;
  std::array<int, kEngines> down_seconds_{};
};

}  // namespace dotterellug
