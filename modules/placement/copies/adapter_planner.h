#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "core/core.h"

namespace dotterellug {

// Adapters on one engine.
struct AdapterEngine {
  UpstreamId id;
  // Takes orders now.
  bool available = true;
  std::int64_t slots = 0;
  // Models that it holds, with their adapters.
  std::map<ModelId, std::set<AdapterId>> held;
};

struct AdapterInput {
  std::vector<AdapterEngine> engines;
  // All adapters of each model.
  std::map<ModelId, std::vector<AdapterId>> adapters;
  // Adapters that callers wait for.
  std::set<std::pair<ModelId, AdapterId>> wanted;
  // Demand for each model; adapters of models in demand get copies first.
  std::map<ModelId, double> demand;
};

struct AdapterStep {
  bool load = true;
  UpstreamId engine;
  ModelId model;
  AdapterId adapter;
};

// Spreads adapters over the engines that hold their model. Loading one takes
// milliseconds and slots are few: each adapter gets a copy before any gets a
// second one, and one that callers wait for takes the place of a second copy or
// of one that nobody waits for. At most one step for each engine.
auto PlanAdapters(const AdapterInput& input) -> std::vector<AdapterStep>;

}  // namespace dotterellug
