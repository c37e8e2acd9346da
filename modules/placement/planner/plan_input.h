#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/ids/ids.h"
#include "placement/commands/placement_reconciler.h"
#include "placement/reservation/item_key.h"

namespace dotterellug {

// A model to place, with its memory requirements and its demand.
struct PlannerModel {
  ModelId id;
  // Version required by the serving document.
  std::string version;
  Bytes weight_bytes;
  // Memory left free for the KV cache on each engine that serves the model.
  Bytes kv_bytes;
  std::int64_t min_copies = 1;
  // Demand in engine equivalents: the number of engines that it would keep
  // fully utilised.
  double demand = 0;
};

// An adapter to place on engines that hold its base model. `demand` is in
// engine equivalents.
struct PlannerAdapter {
  AdapterId id;
  ModelId base;
  Bytes bytes;
  double demand = 0;
};

// An item of the engine's stored record that is marked kKeep.
struct PlannerItem {
  ItemKey key;
  // Whether the engine has loaded the item, as last reported.
  bool resident = false;
};

// An engine with its memory, its state and its reserved items.
struct PlannerEngine {
  UpstreamId id;
  AvailabilityZoneId zone;
  Bytes memory;
  // Whether the engine is eligible for copies: live, not draining, and in an
  // availability zone that receives requests.
  bool usable = true;
  std::vector<PlannerItem> reserved;
};

// Input of one planning pass.
struct PlanInput {
  std::vector<PlannerModel> models;
  std::vector<PlannerAdapter> adapters;
  std::vector<PlannerEngine> engines;
  // False during an outage of the object store; the planner then neither starts
  // nor cancels loads, and counts no unserved or unplaced items.
  bool store_available = true;
};

// Result of one planning pass.
struct PlanResult {
  // Targets of the engines whose target changed or that have loads pending.
  std::map<UpstreamId, EngineTarget> targets;
  std::int64_t loads_started = 0;
  std::int64_t loads_cancelled = 0;
  // Required models without a resident copy when the pass began. A model is
  // required if min_copies is above 0 or its demand reaches idle_demand.
  std::int64_t unserved_models = 0;
  // Required models without a copy, and adapters, that this pass could not
  // place.
  std::int64_t unplaced_models = 0;
  std::int64_t unplaced_adapters = 0;
};

}  // namespace dotterellug
