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
  // Tokens per second that callers ask for.
  double demand = 0;
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
  double capacity_mb = 0;
  // Memory of adapters.
  double adapter_mb = 0;
  std::set<ModelId> models;
  // Models that it can load without the weight store.
  std::set<ModelId> near;
};

struct CopyInput {
  std::vector<CopyModel> models;
  std::vector<CopyEngine> engines;
  // Loads from the weight store that may begin now.
  std::int64_t store_loads = 0;
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
  double gain = 1.6;
  // Demand below this part of an engine's even share of all demand justifies no
  // second copy.
  double least_part = 0.25;
};

// Decides which model gets or loses a copy next. Demand for a few models moves
// within seconds while most models are asked for rarely: every model keeps one
// copy, and the rest of the memory goes to the models with the most demand per
// copy. Each call looks at the engines anew, so lost or late orders, crashes
// and returns need no special treatment.
class CopyPlanner {
 public:
  explicit CopyPlanner(CopyPlannerOptions options = {}) : options_(options) {}

  // The steps to order now, at most one for each engine.
  auto Plan(const CopyInput& input) const -> std::vector<CopyStep>;

 private:
  CopyPlannerOptions options_;
};

}  // namespace dotterellug
