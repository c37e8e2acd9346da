#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "core/core.h"

namespace dotterellug {

// The planner's view of an engine.
struct AdapterPlannerEngine {
  UpstreamId id;
  // Whether the engine accepts a load or unload order now.
  bool available = true;
  // Adapters that the engine can hold at once, over all its models.
  std::int64_t slots = 0;
  // Models loaded on the engine, each with its loaded adapters.
  std::map<ModelId, std::set<AdapterId>> held;
};

// Input of one call of PlanAdapters for the engines of one pool.
struct AdapterPlannerInput {
  std::vector<AdapterPlannerEngine> engines;
  // All adapters of each model.
  std::map<ModelId, std::vector<AdapterId>> adapters;
  // Adapters with recent requests that no engine could serve.
  std::set<std::pair<ModelId, AdapterId>> requested;
  // Demand per model in tokens per second, 0 if absent. Adapters of models with
  // more demand get copies first.
  std::map<ModelId, double> demand;
};

// An order to one engine for one adapter.
struct AdapterOrder {
  // Whether to load the adapter; otherwise it is unloaded.
  bool load = true;
  UpstreamId engine;
  ModelId model;
  AdapterId adapter;
};

// Decides which adapters to load on or unload from the engines that hold their
// model. Slots are few and a load takes only milliseconds, so each adapter gets
// one copy before any gets a second one. When no slot is free, an adapter
// without a copy evicts one that has a second copy; a requested adapter may
// also evict the only copy of one that is not requested. Returns at most one
// step for each engine.
auto PlanAdapters(const AdapterPlannerInput& input)
    -> std::vector<AdapterOrder>;

}  // namespace dotterellug
