#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/core.h"

namespace dotterellug {

// A model served by the engines of one pool.
struct CopyPlannerModel {
  ModelId id;
  // Size of the weights in MB.
  double weight_mb = 0;
  // Requested tokens per second, averaged over a short window (the gateway's
  // demand meter: 2 s).
  double demand = 0;
  // The same over a longer window (15 s), to identify rarely requested models.
  double long_term_demand = 0;
};

// An engine and the models loaded on it. Includes models whose load order has
// not been confirmed yet.
struct CopyPlannerEngine {
  UpstreamId id;
  // Not used by the planner.
  AvailabilityZoneId zone;
  // Whether the engine receives requests and accepts orders.
  bool usable = true;
  // Whether an order is in progress; no further one is planned.
  bool busy = false;
  // Requests in flight as a fraction of the engine's request slots.
  double load = 0;
  // How long work usually takes on its machine, relative to a usual machine;
  // not set if it is not known.
  std::optional<double> work_factor;
  // Memory for weights and adapters in MB.
  double capacity_mb = 0;
  // Memory reserved for adapters in MB.
  double adapter_mb = 0;
  std::set<ModelId> models;
  // Recently loaded models, which are not evicted yet.
  std::set<ModelId> recently_loaded;
  // Models whose weights are cached in the engine's memory or on its disk,
  // loaded or not, so that a load doesn't need the weight store.
  std::set<ModelId> cached;
};

// Input of one planning call for the engines of one pool.
struct CopyPlannerInput {
  std::vector<CopyPlannerModel> models;
  std::vector<CopyPlannerEngine> engines;
  // Maximum number of loads from the weight store that may start now.
  std::int64_t max_weight_store_loads = 0;
  // Whether demand has been observed for long enough to identify rarely
  // requested models.
  bool demand_observed = false;
};

enum class CopyOrderKind { kLoad, kUnload };

// An order to one engine: load or unload a model.
struct CopyOrder {
  CopyOrderKind kind = CopyOrderKind::kLoad;
  UpstreamId engine;
  ModelId model;
  // Whether the weights come from the weight store.
  bool from_weight_store = false;
};

struct CopyPlannerOptions {
  // A copy is evicted for another model only if the demand per copy of that
  // model is at least this multiple of the evicted model's, both after the
  // change. Free memory is reserved against a model by the same ratio.
  double min_demand_per_copy_ratio = 1.6;
  // A model with less demand than this fraction of the mean demand per engine
  // gets no copy beyond its first.
  double additional_copy_demand_fraction = 0.25;
  // A model is rare if its demand is at most this fraction of the mean demand
  // per engine. Only a rare model may lose its last copy.
  double rare_demand_fraction = 0.02;
  // Cost of evicting a rare model's last copy, as a multiple of its demand.
  double last_copy_cost_factor = 12;
  // The last copy of a rare model is evicted only if every engine with a copy
  // of the model that needs the memory has at least this load (the field `load`
  // of the engine), because demand for the rare model may rise next.
  double high_load_threshold = 0.5;
};

// Decides which models gain or lose a copy on the engines of a pool. A copy is
// a model's weights loaded on one engine. The gateway plans with this class and
// sends orders under the order lease; the placement service plans with Planner
// and sends commands through PlacementReconciler.
// Designed for this pattern of requests: a few models receive most of them, and
// which models these are changes within seconds. Most models are requested once
// in ten seconds or less often, yet one copy of each takes most of the memory.
// Memory goes to the models with the highest demand per copy, where a copy on a
// fast engine counts as more than one on a slow engine. Every model keeps
// one copy as long as the engines of the models in high demand are not highly
// loaded. A rare model without a copy is loaded when it is requested, from the
// memory or disk of an engine that has it cached, or before that if memory is
// free. Each call plans from the current state of the engines, so lost or late
// orders, crashes and recoveries need no special handling.
class CopyPlanner {
 public:
  explicit CopyPlanner(CopyPlannerOptions options = {}) : options_(options) {}

  // The orders to send now, at most one for each engine.
  auto Plan(const CopyPlannerInput& input) const -> std::vector<CopyOrder>;

 private:
  CopyPlannerOptions options_;
};

}  // namespace dotterellug
