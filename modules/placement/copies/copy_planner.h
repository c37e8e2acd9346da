#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/core.h"

namespace dotterellug {

// A model served by the engines of one pool.
struct CopyModel {
  ModelId id;
  // Size of the weights in MB.
  double weight_mb = 0;
  // Requested tokens per second, over the last seconds.
  double demand = 0;
  // The same over a longer time, to identify rarely requested models.
  double lasting_demand = 0;
};

// An engine and the models on it. Models that an earlier order may have loaded
// are included.
struct CopyEngine {
  UpstreamId id;
  AvailabilityZoneId zone;
  // Whether the engine receives requests and accepts orders.
  bool usable = true;
  // Whether an order is in progress; no further one is planned.
  bool busy = false;
  // Requests in flight as a fraction of the engine's slots.
  double load = 0;
  // Memory for weights and adapters in MB.
  double capacity_mb = 0;
  // Memory reserved for adapters in MB.
  double adapter_mb = 0;
  std::set<ModelId> models;
  // Recently loaded models, which are not evicted yet.
  std::set<ModelId> settling;
  // Models whose weights are in the engine's own memory or on its disk, so that
  // it loads them without the weight store.
  std::set<ModelId> near;
};

// Input of one planning call for the engines of one pool.
struct CopyInput {
  std::vector<CopyModel> models;
  std::vector<CopyEngine> engines;
  // Maximum number of loads from the weight store that may start now.
  std::int64_t store_loads = 0;
  // Whether demand has been observed for long enough to identify rarely
  // requested models.
  bool observed = false;
};

enum class CopyStepKind { kLoad, kUnload };

// An order to one engine: load or unload a model.
struct CopyStep {
  CopyStepKind kind = CopyStepKind::kLoad;
  UpstreamId engine;
  ModelId model;
  // Whether the weights come from the weight store.
  bool from_store = false;
};

struct CopyPlannerOptions {
  // Minimum ratio between the demand per copy of a model that gains a copy and
  // of the model that loses one for it, both after the change.
  double min_demand_ratio = 1.6;
  // Demand below this fraction of the mean demand per engine justifies no
  // second copy.
  double min_demand_fraction = 0.25;
  // A model is rare if its demand is at most this fraction of the mean demand
  // per engine. Only a rare model may lose its last copy.
  double rare_demand_fraction = 0.02;
  // Factor on a rare model's demand in the cost of evicting its last copy: the
  // model that takes its place needs many times that demand.
  double last_copy_cost_factor = 12;
  // The last copy of a rare model is evicted only if every engine with a copy
  // of the gaining model has at least this load (CopyEngine::load): the rare
  // model may be the next one with high demand.
  double high_load_threshold = 0.5;
};

// Decides which models gain or lose a copy on the engines of a pool. A copy is
// a model's weights loaded on one engine. Designed for this pattern of
// requests: a few models receive most of them, which models these are changes
// within seconds, and a long tail of models is requested once in ten seconds or
// less often, so that one copy of each takes most of the memory. Memory goes to
// the models with the highest demand per copy. Every model keeps one copy as
// long as the engines of the models in high demand are not highly loaded; a
// rare model without a copy is loaded from an engine's own memory or disk when
// it is requested. Each call plans from the current state of the engines, so
// lost or late orders, crashes and recoveries need no special handling.
class CopyPlanner {
 public:
  explicit CopyPlanner(CopyPlannerOptions options = {}) : options_(options) {}

  // The orders to send now, at most one for each engine.
  auto Plan(const CopyInput& input) const -> std::vector<CopyStep>;

 private:
  CopyPlannerOptions options_;
};

}  // namespace dotterellug
