#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/ids/ids.h"
#include "core/time/time.h"
#include "placement/planner/plan_input.h"

namespace dotterellug {

struct PlannerOptions {
  // Load up to which an engine is planned; the rest absorbs bursts.
  double utilisation_limit = 0.85;
  // Weight of the choice that routing loses with a copy, in parts of the
  // model's demand.
  double routing_choice_fraction = 0.1;
  // A move has to pay within this time.
  Duration payback_period = std::chrono::seconds(300);
  // Engine-seconds that a move costs: loading, its part of the weight store's
  // rate and the lost prefix cache.
  double move_cost_engine_seconds = 12;
  // Overload in engines below which no copy is added.
  double min_overload_engines = 0.04;
  // A copy stays at least this long, so that alternating demand does not move
  // models back and forth.
  Duration min_residence = std::chrono::seconds(60);
  // A load that takes longer no longer counts as reaching its model.
  Duration load_timeout = std::chrono::seconds(20);
  // Least time between load and replacement when memory does not hold all
  // models.
  Duration time_slice = std::chrono::seconds(30);
  // Loads that may be outstanding; more would be decided on old demand.
  std::int64_t max_pending = 10;
  std::int64_t max_surplus_copies_per_plan = 2;
  // Demand in engines below which a model counts as idle.
  double idle_demand = 1e-4;
  // Preference for a zone without a copy, in engines.
  double new_zone_bonus = 0.1;
  std::int64_t load_estimate_rounds = 4;
};

// One copy of a model on one engine, in the plan.
struct PlannedCopy {
  std::int32_t model = 0;
  std::string version;
  bool current = true;
  bool resident = false;
  // Added to use free memory; the first to go.
  bool surplus = false;
  Timestamp placed_at;
  // Part of the model's demand that the engine is expected to serve.
  double expected_load = 0;
};

struct PlannedAdapter {
  std::int32_t adapter = 0;
  std::string version;
};

struct PlannedEngine {
  const PlannerEngine* input = nullptr;
  std::int32_t zone = 0;
  double load = 0;
  std::vector<PlannedCopy> copies;
  std::vector<PlannedAdapter> adapters;
};

struct PlannedModel {
  const PlannerModel* input = nullptr;
  // Usable engines with a copy, each once.
  std::vector<std::int32_t> hosts;
};

// Copies to remove from an engine to make room, and the demand in engines that
// is then unserved.
struct Eviction {
  std::vector<std::size_t> copies;
  double loss = 0;
};

// The fleet as the planner changes it within one plan, with dense indexes.
// Keeps the host lists of the models in step with the engines' copies.
class FleetPlan {
 public:
  FleetPlan(Timestamp now, const PlannerOptions& options)
      : now_(now), options_(options) {}

  std::vector<PlannedEngine> engines;
  std::vector<PlannedModel> models;

  auto AddCopy(std::int32_t engine, std::int32_t model, bool surplus) -> void;
  auto RemoveCopy(std::int32_t engine, std::size_t copy) -> void;
  // Removes an eviction's copies.
  auto Evict(std::int32_t engine, const Eviction& eviction) -> void;
  // Rebuilds host lists from the copies.
  auto RebuildHosts() -> void;
  // Estimates how routing divides each model's demand over its hosts.
  auto EstimateLoads() -> void;
  // Moves up to `amount` of the model's demand from overloaded hosts to
  // `engine`.
  auto ShiftExcessDemand(std::int32_t engine, std::int32_t model, double amount)
      -> void;

  // Demand of the model that would leave engines above the limit with another
  // copy.
  auto ExcessDemand(std::int32_t model) const -> double;
  auto HasCopy(std::int32_t engine, std::int32_t model, bool current_only) const
      -> bool;
  auto HasCopyInZone(std::int32_t model, std::int32_t zone) const -> bool;
  // Resident copies of the model on usable engines; of the wanted version only
  // if `current_only`.
  auto CountResidentHosts(std::int32_t model, bool current_only) const
      -> std::int64_t;
  // Whether a copy is resident or was placed recently enough to wait for.
  auto IsServedOrLoading(std::int32_t model, bool current_only) const -> bool;
  // Free memory after adding the model; negative if it does not fit. Adapters
  // do not count: they make room and are placed again elsewhere.
  auto FreeBytesAfter(std::int32_t engine, std::int32_t model) const
      -> std::int64_t;
  // The cheapest removals that make room, none when it fits already, nullopt
  // when no removable copies suffice. `must` ignores the minimum residence and
  // min_copies, but never removes the last copy of a model in use.
  auto PlanEviction(std::int32_t engine, std::int32_t model, bool force) const
      -> std::optional<Eviction>;
  // Demand left unserved when the copy is removed; nullopt if it must stay.
  auto RemovalLoss(std::int32_t engine, std::size_t copy, bool force) const
      -> std::optional<double>;

 private:
  auto CountCurrentHosts(std::int32_t model) const -> std::int64_t;
  auto LastCopyIsRemovable(const PlannedCopy& copy) const -> bool;

  Timestamp now_;
  const PlannerOptions& options_;
};

}  // namespace dotterellug
