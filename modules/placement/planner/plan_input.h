#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/ids/ids.h"
#include "placement/commands/command_log.h"
#include "placement/reservation/item_key.h"

namespace dotterellug {

struct PlannerModel {
  ModelId id;
  // The version that the document wants.
  std::string version;
  Bytes weight_bytes;
  // KV memory kept free on an engine that serves the model.
  Bytes kv_bytes;
  std::int64_t min_copies = 1;
  // Demand in engines: the number of engines it would keep fully busy.
  double demand = 0;
};

struct PlannerAdapter {
  AdapterId id;
  ModelId base;
  Bytes bytes;
  double demand = 0;
};

// An item in an engine's reserved set (phase kHold).
struct PlannerItem {
  ItemKey key;
  bool resident = false;
};

struct PlannerEngine {
  UpstreamId id;
  AvailabilityZoneId zone;
  Bytes memory;
  // Live, not leaving and in a zone that gets work.
  bool usable = true;
  std::vector<PlannerItem> held;
};

struct PlanInput {
  std::vector<PlannerModel> models;
  std::vector<PlannerAdapter> adapters;
  std::vector<PlannerEngine> engines;
  // False during a store outage: no new moves start.
  bool store_available = true;
};

struct PlanResult {
  // Targets of the engines whose target changed.
  std::map<UpstreamId, EngineTarget> changed;
  std::int64_t loads_started = 0;
  std::int64_t loads_cancelled = 0;
  std::int64_t unreachable_models = 0;
  // Models and adapters for which there is no room.
  std::int64_t unplaced_models = 0;
  std::int64_t unplaced_adapters = 0;
};

}  // namespace dotterellug
