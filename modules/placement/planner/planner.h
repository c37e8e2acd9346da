#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/ids/ids.h"
#include "core/time/time.h"
#include "placement/planner/fleet_plan.h"
#include "placement/planner/plan_input.h"

namespace dotterellug {

// Plans which models and adapters each engine holds in memory. Each pass starts
// from the previous plan and changes it in order of urgency: models without a
// copy, new versions, models whose engines are overloaded, and second copies in
// free memory. A copy is evicted only to make memory available for a copy with
// a larger gain, so falling demand alone moves nothing. The reconciler in
// placement/commands carries out the targets.
class Planner {
 public:
  explicit Planner(PlannerOptions options = {});

  // Runs one planning pass. `input` describes the whole fleet; engines that it
  // omits are dropped from the plan.
  auto Plan(Timestamp now, const PlanInput& input) -> PlanResult;

 private:
  using ModelIndex = std::unordered_map<ModelId, std::int32_t>;
  using AdapterIndex = std::unordered_map<AdapterId, std::int32_t>;
  // The plan of one engine between passes. A copy's `model` is the position of
  // its item in `target.items`, because the indexes of an input are valid for
  // one pass only.
  struct EnginePlan {
    std::vector<PlannedCopy> copies;
    EngineTarget target;
  };
  // An engine chosen for a new copy, or -1 for none, and the eviction that the
  // copy needs there. `gain` is the demand that the copy takes over, in engine
  // equivalents.
  struct PlacementChoice {
    std::int32_t engine = -1;
    Eviction eviction;
    double score = 0;
    double gain = 0;
  };

  auto BuildFleetPlan(Timestamp now, const PlanInput& input, FleetPlan& fleet)
      -> void;
  auto CarryOverCopies(const PlanInput& input, const ModelIndex& index,
                       EnginePlan& plan, PlannedEngine& engine) -> void;
  static auto CarryOverAdapters(const PlanInput& input,
                                const AdapterIndex& index,
                                const EnginePlan& plan, PlannedEngine& engine)
      -> void;
  auto InitializePlan(Timestamp now, const PlannerEngine& engine,
                      EnginePlan& plan) const -> void;
  auto PlaceRequiredCopies(Timestamp now, FleetPlan& fleet, PlanResult& result)
      -> void;
  auto PlaceCopy(std::int32_t model, FleetPlan& fleet) -> bool;
  auto CopyBlockingModel(std::int32_t model, FleetPlan& fleet) -> bool;
  auto PlaceByTimeSharing(Timestamp now, std::int32_t model, FleetPlan& fleet)
      -> bool;
  auto RollOutVersions(FleetPlan& fleet) -> void;
  auto RollOutModel(std::int32_t model, FleetPlan& fleet) -> void;
  auto CancelUnneededLoads(FleetPlan& fleet, PlanResult& result) -> void;
  auto RelieveOverload(FleetPlan& fleet) -> void;
  auto ChooseEngineForExcess(std::int32_t model, const FleetPlan& fleet) const
      -> std::optional<PlacementChoice>;
  auto AddSurplusCopies(FleetPlan& fleet) -> void;
  auto PlaceAdapters(const PlanInput& input, FleetPlan& fleet,
                     PlanResult& result) -> void;
  static auto TrimAdapters(const PlanInput& input, const FleetPlan& fleet,
                           PlannedEngine& engine) -> Bytes;
  static auto PlaceAdapter(const PlanInput& input, FleetPlan& fleet,
                           std::int32_t adapter, std::int32_t base,
                           bool first_copy_only, std::vector<Bytes>& free)
      -> std::int64_t;
  auto CommitPlan(const PlanInput& input, FleetPlan& fleet, PlanResult& result)
      -> void;
  auto MakeTarget(const PlanInput& input, const FleetPlan& fleet,
                  const PlannedEngine& engine) const -> EngineTarget;

  PlannerOptions options_;
  std::unordered_map<UpstreamId, EnginePlan> plans_;
  // Loads that earlier passes started and that are not complete; those
  // cancelled in this pass are subtracted.
  std::int64_t pending_loads_ = 0;
  // Surplus copies whose load is not complete, including those of this pass.
  std::int64_t pending_surplus_ = 0;
  // Loads started in this pass.
  std::int64_t new_loads_ = 0;
};

}  // namespace dotterellug
