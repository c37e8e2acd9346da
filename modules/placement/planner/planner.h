#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/ids/ids.h"
#include "core/time/time.h"
#include "placement/planner/plan_input.h"
#include "placement/planner/planning_state.h"

namespace dotterellug {

// Plans which models and adapters each engine holds in memory. Each pass starts
// from the previous plan and performs these steps in order: cancel loads that
// are no longer needed, place models without a copy and the copies that
// min_copies requires, advance rolling updates, relieve overloaded engines, add
// second copies in free memory, and place adapters. To relieve overload, a copy
// is evicted only if the gain exceeds the loss and the cost; falling demand
// alone evicts no resident copy. The reconciler in placement/commands carries
// out the targets.
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
  // The best engine found for a new copy, or -1, and the eviction that the copy
  // needs there. `gain` is the demand that the copy takes over, in engine
  // equivalents.
  struct PlacementChoice {
    std::int32_t engine = -1;
    Eviction eviction;
    double score = 0;
    double gain = 0;
  };

  auto BuildPlanningState(Timestamp now, const PlanInput& input,
                          PlanningState& fleet) -> void;
  auto CarryOverCopies(const PlanInput& input, const ModelIndex& index,
                       EnginePlan& plan, PlannedEngine& engine) -> void;
  static auto CarryOverAdapters(const PlanInput& input,
                                const AdapterIndex& index,
                                const EnginePlan& plan, PlannedEngine& engine)
      -> void;
  auto InitializePlan(Timestamp now, const PlannerEngine& engine,
                      EnginePlan& plan) const -> void;
  auto PlaceRequiredCopies(Timestamp now, PlanningState& fleet,
                           PlanResult& result) -> void;
  auto PlaceCopy(std::int32_t model, PlanningState& fleet) -> bool;
  auto RelocateBlockingModel(std::int32_t model, PlanningState& fleet) -> bool;
  auto PlaceByTimeSharing(Timestamp now, std::int32_t model,
                          PlanningState& fleet) -> bool;
  auto RollOutVersions(PlanningState& fleet) -> void;
  auto RollOutModel(std::int32_t model, PlanningState& fleet) -> void;
  auto CancelUnneededLoads(PlanningState& fleet, PlanResult& result) -> void;
  auto RelieveOverload(PlanningState& fleet) -> void;
  auto ChooseEngineForExcess(std::int32_t model,
                             const PlanningState& fleet) const
      -> std::optional<PlacementChoice>;
  auto AddSurplusCopies(PlanningState& fleet) -> void;
  auto PlaceAdapters(const PlanInput& input, PlanningState& fleet,
                     PlanResult& result) -> void;
  static auto TrimAdapters(const PlanInput& input, const PlanningState& fleet,
                           PlannedEngine& engine) -> Bytes;
  static auto PlaceAdapter(const PlanInput& input, PlanningState& fleet,
                           std::int32_t adapter, std::int32_t base,
                           bool first_copy_only, std::vector<Bytes>& free)
      -> std::int64_t;
  auto CommitPlan(const PlanInput& input, PlanningState& fleet,
                  PlanResult& result) -> void;
  auto MakeTarget(const PlanInput& input, const PlanningState& fleet,
                  const PlannedEngine& engine) const -> EngineTarget;

  PlannerOptions options_;
  std::unordered_map<UpstreamId, EnginePlan> plans_;
  // Loads that earlier passes started and that are not complete; those
  // cancelled in this pass are subtracted.
  std::int64_t pending_loads_ = 0;
  // Surplus copies whose load is not complete, including those that
  // RelocateBlockingModel added in this pass.
  std::int64_t pending_surplus_loads_ = 0;
  // Loads started in this pass.
  std::int64_t new_loads_ = 0;
};

}  // namespace dotterellug
