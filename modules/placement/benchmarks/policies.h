#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "placement/benchmarks/simulated_fleet.h"

namespace dotterellug {

// Fills memory by `rate`: each model once, then always the model with most
// demand per copy, on the engine with least demand that has room.
inline auto FillByRate(Simulation& simulation, const std::vector<double>& rates)
    -> void {
  const auto& workload = simulation.Traffic();
  const auto count = static_cast<int>(rates.size());
  std::vector<double> copies(rates.size());
  std::vector<double> loads(kEngines);
  std::vector<bool> full(rates.size());
  std::vector<int> order(rates.size());
  for (int i = 0; i < count; ++i) order[i] = i;
  std::sort(order.begin(), order.end(), [&](int a, int b) {
    return workload.weights[a] > workload.weights[b];
  });
  const auto place = [&](int model) {
    int best = -1;
    for (int engine = 0; engine < kEngines; ++engine) {
      auto& candidate = simulation.engines[engine];
      if (candidate.Find(model) != nullptr) continue;
      if (simulation.FreeMemory(engine) < workload.weights[model]) continue;
      if (best < 0 || loads[engine] < loads[best]) best = engine;
    }
    if (best < 0) {
      full[model] = true;
      return;
    }
    simulation.Load(best, model, true);
    copies[model] += 1;
    loads[best] += rates[model] / copies[model];
  };
  for (const auto model : order) {
    if (model != simulation.Options().unloaded_model) place(model);
  }
  for (;;) {
    int next = -1;
    for (int model = 0; model < count; ++model) {
      if (full[model] || copies[model] == 0) continue;
      if (next < 0 ||
          rates[model] / copies[model] > rates[next] / copies[next]) {
        next = model;
      }
    }
    if (next < 0) return;
    place(next);
  }
}

inline auto MeanRates(const Workload& workload) -> std::vector<double> {
  std::vector<double> rates;
  for (std::size_t model = 0; model < workload.weights.size(); ++model) {
    rates.push_back(workload.Mean(static_cast<int>(model)));
  }
  return rates;
}

// Knows the mean demand of the hour in advance.
inline auto StaticPolicy() -> PlacementPolicy {
  PlacementPolicy policy;
  policy.start = [](Simulation& simulation) {
    FillByRate(simulation, MeanRates(simulation.Traffic()));
  };
  return policy;
}

// Knows the peak demand of each model in advance.
inline auto PeakPolicy() -> PlacementPolicy {
  PlacementPolicy policy;
  policy.start = [](Simulation& simulation) {
    const auto& workload = simulation.Traffic();
    std::vector<double> rates;
    for (std::size_t model = 0; model < workload.weights.size(); ++model) {
      rates.push_back(workload.Peak(static_cast<int>(model)));
    }
    FillByRate(simulation, rates);
  };
  return policy;
}

// On a request that no copy serves in time, loads a copy on the least busy
// engine and removes the copies used least recently.
inline auto LeastRecentlyUsedPolicy() -> PlacementPolicy {
  PlacementPolicy policy = StaticPolicy();
  policy.on_miss = [](Simulation& simulation, int model) {
    int best = -1;
    for (int index = 0; index < kEngines; ++index) {
      auto& engine = simulation.engines[index];
      if (!engine.up) continue;
      if (auto* copy = engine.Find(model)) {
        if (!copy->resident) return;  // is being loaded
        continue;
      }
      if (best < 0 || engine.Start(simulation.now) <
                          simulation.engines[best].Start(simulation.now)) {
        best = index;
      }
    }
    if (best < 0) return;
    auto& engine = simulation.engines[best];
    while (simulation.FreeMemory(best) < simulation.Traffic().weights[model]) {
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

// Every model on every engine: what the capacity allows without memory limits.
inline auto UnlimitedPolicy() -> PlacementPolicy {
  PlacementPolicy policy;
  policy.start = [](Simulation&) {};
  policy.unlimited_memory = true;
  return policy;
}

// The planner with the demand estimator; sees demand only as it arrives, and a
// lost zone after two seconds.
class PlannerPolicy {
 public:
  explicit PlannerPolicy(const PlannerOptions& options) : planner_(options) {
    policy.start = [](Simulation& simulation) {
      FillByRate(simulation, MeanRates(simulation.Traffic()));
    };
    policy.every_second = [this](Simulation& simulation) { Step(simulation); };
  }

  PlacementPolicy policy;

 private:
  auto Step(Simulation& simulation) -> void {
    const auto now = Timestamp(FromSeconds(simulation.now + 1000));
    const auto count = static_cast<int>(simulation.Traffic().weights.size());
    ModelDemandReport report{
        InstanceId("one"), Incarnation(1), ++sequence_, {}};
    for (int model = 0; model < count; ++model) {
      // A thousand tokens per request keep the fractions.
      report.models[Id(model)].admitted =
          Tokens(static_cast<std::int64_t>(simulation.arrived[model] * 1000));
    }
    demand_.Apply(now, report);
    PlanInput input;
    for (int model = 0; model < count; ++model) {
      const auto rate = demand_.Rate(now, Id(model)).Planned() / 1000;
      const bool unloaded = model == simulation.Options().unloaded_model;
      input.models.push_back(
          {Id(model), "1", Bytes(simulation.Traffic().weights[model]),
           Bytes(kKvMemory), unloaded ? 0 : 1, rate * kMeanService / kSlots});
    }
    for (int engine = 0; engine < kEngines; ++engine) {
      input.engines.push_back(Describe(simulation, engine));
    }
    for (const auto& [id, target] : planner_.Plan(now, input).changed) {
      Apply(simulation, std::stoi(id.Value()), target);
    }
  }

  auto Describe(Simulation& simulation, int index) -> PlannerEngine {
    auto& engine = simulation.engines[index];
    down_for_[index] = engine.up ? 0 : down_for_[index] + 1;
    PlannerEngine described{UpstreamId(std::to_string(index)),
                            AvailabilityZoneId(std::to_string(engine.zone)),
                            Bytes(simulation.Options().engine_memory),
                            down_for_[index] < 2,
                            {}};
    for (const auto& copy : engine.copies) {
      described.held.push_back(
          {{Id(copy.model), "1", AdapterId()}, copy.resident});
    }
    return described;
  }

  static auto Apply(Simulation& simulation, int index,
                    const EngineTarget& target) -> void {
    std::vector<int> wanted;
    for (const auto& item : target.items) {
      wanted.push_back(std::stoi(item.key.model.Value()));
    }
    const auto copies = simulation.engines[index].copies;
    for (const auto& copy : copies) {
      if (std::find(wanted.begin(), wanted.end(), copy.model) == wanted.end()) {
        simulation.Unload(index, copy.model);
      }
    }
    for (const auto model : wanted) {
      if (simulation.engines[index].Find(model) == nullptr) {
        simulation.Load(index, model, false);
      }
    }
  }

  static auto Id(int model) -> ModelId {
    return ModelId(std::to_string(model));
  }

  Planner planner_;
  DemandEstimator demand_;
  std::int64_t sequence_ = 0;
  std::array<int, kEngines> down_for_{};
};

}  // namespace dotterellug
