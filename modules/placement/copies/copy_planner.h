#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/core.h"

namespace dotterellug {

// A model that the engines of one pool share.
struct CopyModel {
  ModelId id;
  double weight_mb = 0;
  // Tokens per second that callers ask for, over the last seconds.
  double demand = 0;
  // The same over a longer time, for telling models that are asked for rarely.
  double lasting_demand = 0;
};

// An engine and what it holds, including what has been ordered and may have
// taken effect.
struct CopyEngine {
  UpstreamId id;
  AvailabilityZoneId zone;
  // Gets work and takes orders.
  bool usable = true;
  // An order is under way; nothing new is ordered.
  bool busy = false;
  // Requests in flight as a part of its slots.
  double load = 0;
  double capacity_mb = 0;
  // Memory of adapters.
  double adapter_mb = 0;
  std::set<ModelId> models;
  // Models that were just loaded; they do not make room for others.
  std::set<ModelId> settling;
  // Models that it can load without the weight store.
  std::set<ModelId> near;
};

struct CopyInput {
  std::vector<CopyModel> models;
  std::vector<CopyEngine> engines;
  // Loads from the weight store that may begin now.
  std::int64_t store_loads = 0;
  // Whether demand has been observed for long enough to tell which models are
  // hardly asked for.
  bool observed = false;
};

enum class CopyStepKind { kLoad, kUnload };

struct CopyStep {
  CopyStepKind kind = CopyStepKind::kLoad;
  UpstreamId engine;
  ModelId model;
  // Whether the weights come from the weight store.
  bool from_store = false;
};

struct CopyPlannerOptions {
  // A copy moves only if the model that gains has this many times the demand
  // per copy of the model that loses one.
  double min_demand_ratio = 1.6;
  // Demand below this part of an engine's even share of all demand justifies no
  // second copy.
  double min_demand_fraction = 0.25;
  // The only copy of a model may go if its lasting demand is below this part of
  // an engine's even share of all demand,
  double rare_demand_fraction = 0.02;
  // if the model that takes its place has this many times its demand,
  double last_copy_cost_factor = 12;
  // and if all copies of that model are at engines with at least this load: a
  // rare model may be the next busy one, so its copy goes only for need.
  double high_load_threshold = 0.5;
};

// Decides which model gets or loses a copy next. Pattern: a few models get most
// requests, which ones moves within seconds, and a long tail of models is asked
// for every ten seconds or less, so that a copy for each of them takes most of
// the memory. The memory goes to the models with the most demand per copy, and
// every model keeps one copy as long as the engines of the busy ones are not
// crowded; a rare model without a copy is loaded from an engine's own memory or
// disk when somebody asks for it. Each call
// looks at the engines anew, so lost or late orders, crashes and returns need
// no special treatment.
class CopyPlanner {
 public:
  explicit CopyPlanner(CopyPlannerOptions options = {}) : options_(options) {}

  // The steps to order now, at most one for each engine.
  auto Plan(const CopyInput& input) const -> std::vector<CopyStep>;

 private:
  CopyPlannerOptions options_;
};

}  // namespace dotterellug
