#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/ids/ids.h"
#include "placement/commands/command_log.h"
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

// An item that the stored record reserves memory for on an engine, marked
// kHold.
struct PlannerItem {
  ItemKey key;
  // Whether the engine has loaded the item, as last reported.
  bool resident = false;
};

// An engine as the planner sees it.
struct PlannerEngine {
  UpstreamId id;
  AvailabilityZoneId zone;
  Bytes memory;
  // Live, not draining, and in an availability zone that receives requests.
  bool usable = true;
  std::vector<PlannerItem> held;
};

// Input of one planning pass.
struct PlanInput {
  std::vector<PlannerModel> models;
  std::vector<PlannerAdapter> adapters;
  std::vector<PlannerEngine> engines;
  // False during an outage of the object store; the planner then neither starts
  // nor cancels loads.
  bool store_available = true;
};

// Result of one planning pass.
struct PlanResult {
  // Targets of the engines whose target changed or that have loads pending.
  std::map<UpstreamId, EngineTarget> changed;
  std::int64_t loads_started = 0;
  std::int64_t loads_cancelled = 0;
  // Models in use without a resident copy when the pass began.
  std::int64_t unreachable_models = 0;
  // Models in use and adapters that fit on no engine.
  std::int64_t unplaced_models = 0;
  std::int64_t unplaced_adapters = 0;
};

}  // namespace dotterellug
