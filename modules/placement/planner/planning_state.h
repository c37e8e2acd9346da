#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/ids/ids.h"
#include "core/time/time.h"
#include "placement/planner/plan_input.h"

namespace dotterellug {

// Parameters of the planner. One engine equivalent of demand keeps one engine
// fully utilised.
struct PlannerOptions {
  // Highest planned load of an engine; the rest absorbs bursts.
  double utilisation_limit = 0.85;
  // Penalty for removing one of n copies, as a fraction of the model's demand
  // divided by n(n - 1): routing then has fewer engines to choose from.
  double removal_penalty_fraction = 0.1;
  // Time within which the gain of a new copy must recover its cost.
  Duration payback_period = std::chrono::seconds(300);
  // Cost of adding a copy: load time, use of the weight store's limited load
  // rate, and the lost prefix cache.
  double copy_cost_engine_seconds = 12;
  // Overload, in engine equivalents, below which no copy is added.
  double min_overload = 0.04;
  // Minimum time before a copy can be evicted to relieve overload, so that
  // alternating demand does not move models back and forth. Does not protect
  // surplus copies.
  Duration min_residence = std::chrono::seconds(60);
  // Time after which a copy whose load is still pending is ignored when
  // deciding whether its model is served or loading, so that another engine is
  // tried.
  Duration load_timeout = std::chrono::seconds(20);
  // Minimum time from placement to replacement when memory does not hold all
  // models; four times as long for a copy with more demand than its
  // replacement.
  Duration time_slice = std::chrono::seconds(30);
  // Maximum number of pending loads when overload is relieved; half of it for
  // surplus copies. With more, decisions would rest on outdated demand.
  std::int64_t max_pending_loads = 10;
  // Maximum number of surplus copies added per planning pass.
  std::int64_t max_surplus_copies_per_pass = 2;
  // Demand, in engine equivalents, below which a model is idle.
  double idle_demand = 1e-4;
  // Score bonus for an availability zone without a copy of the model, in engine
  // equivalents.
  double new_zone_bonus = 0.1;
  // Iterations of the load estimate (PlanningState::EstimateLoads).
  std::int64_t load_estimate_rounds = 4;
};

// A planned copy of a model on one engine. `model` is an index into
// PlanningState::models.
struct PlannedCopy {
  std::int32_t model = 0;
  std::string version;
  // Whether `version` is the version that the document requires; otherwise the
  // copy is outdated.
  bool current = true;
  bool resident = false;
  // Added to use free memory or to relocate a model. Exempt from min_residence,
  // so that it can be evicted first.
  bool surplus = false;
  Timestamp placed_at;
  // Demand that routing is expected to send to the copy, in engine equivalents.
  double expected_load = 0;
};

// A planned adapter on one engine. `adapter` is an index into
// PlanInput::adapters; `version` is that of the base model's copy.
struct PlannedAdapter {
  std::int32_t adapter = 0;
  std::string version;
};

// An engine with its planned contents and load. `zone` is a dense index of its
// availability zone.
struct PlannedEngine {
  const PlannerEngine* input = nullptr;
  std::int32_t zone = 0;
  double load = 0;
  std::vector<PlannedCopy> copies;
  std::vector<PlannedAdapter> adapters;
};

// A model with the engines that are planned to hold it.
struct PlannedModel {
  const PlannerModel* input = nullptr;
  // Indexes of the usable engines with a copy, without duplicates.
  std::vector<std::int32_t> hosts;
};

// Copies to evict from an engine, as positions in its `copies`. `loss` is the
// sum of their RemovalLoss.
struct Eviction {
  std::vector<std::size_t> copies;
  double loss = 0;
};

// Working state of one planning pass: the planned contents of all engines.
// Engines and models are identified by their index. Keeps the models' host
// lists consistent with the engines' copies.
class PlanningState {
 public:
  PlanningState(Timestamp now, const PlannerOptions& options)
      : now_(now), options_(options) {}

  std::vector<PlannedEngine> engines;
  std::vector<PlannedModel> models;

  // Adds a copy of the model's required version.
  auto AddCopy(std::int32_t engine, std::int32_t model, bool surplus) -> void;
  // Removes the copy at position `copy` in the engine's `copies`.
  auto RemoveCopy(std::int32_t engine, std::size_t copy) -> void;
  // Removes the copies listed in `eviction`.
  auto Evict(std::int32_t engine, const Eviction& eviction) -> void;
  // Rebuilds the models' host lists from the engines' copies.
  auto RebuildHosts() -> void;
  // Estimates how routing divides each model's demand among its hosts, and sets
  // the expected load of copies and engines.
  auto EstimateLoads() -> void;
  // Shifts up to `amount` of the model's demand from overloaded hosts to its
  // copy on `engine`.
  auto ShiftExcessDemand(std::int32_t engine, std::int32_t model, double amount)
      -> void;

  // Demand of the model above the utilisation limit of its hosts, which another
  // copy could serve.
  auto ExcessDemand(std::int32_t model) const -> double;
  // Whether the engine has a copy of the model; of the required version only if
  // `current_only`.
  auto HasCopy(std::int32_t engine, std::int32_t model, bool current_only) const
      -> bool;
  // Whether a usable engine in the zone has a copy of the model.
  auto HasCopyInZone(std::int32_t model, std::int32_t zone) const -> bool;
  // Number of usable engines with a resident copy of the model; of the required
  // version only if `current_only`.
  auto ResidentHostCount(std::int32_t model, bool current_only) const
      -> std::int64_t;
  // Whether a copy is resident or was placed less than load_timeout ago; of the
  // required version only if `current_only`.
  auto IsServedOrLoading(std::int32_t model, bool current_only) const -> bool;
  // Free memory in bytes after the model is added; negative if it does not fit.
  // Adapters are not counted: they are evicted to free memory for models and
  // placed again elsewhere.
  auto FreeBytesAfter(std::int32_t engine, std::int32_t model) const
      -> std::int64_t;
  // Selects copies to evict, in ascending order of loss, until the model fits:
  // none if it fits already, nullopt if all removable copies do not suffice.
  // `force` ignores min_residence and min_copies, but still keeps the last copy
  // of a required model.
  auto PlanEviction(std::int32_t engine, std::int32_t model, bool force) const
      -> std::optional<Eviction>;
  // Loss from removing a copy, in engine equivalents: demand that the other
  // hosts cannot serve, plus small terms that rank equal copies; nullopt if the
  // copy must stay. `force` is as in PlanEviction.
  auto RemovalLoss(std::int32_t engine, std::size_t copy, bool force) const
      -> std::optional<double>;

 private:
  auto CurrentHostCount(std::int32_t model) const -> std::int64_t;
  auto LastCopyIsRemovable(const PlannedCopy& copy) const -> bool;

  Timestamp now_;
  const PlannerOptions& options_;
};

}  // namespace dotterellug
