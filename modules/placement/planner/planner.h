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

// Decides what each engine should hold. Keeps its former plan and changes it in
// steps: models without a copy first, then new versions, then models whose
// engines are overloaded, then free memory. A copy is removed only to make room
// for one that gains more, so demand that falls moves nothing. Use its targets
// with CommandLog, which carries them out.
class Planner {
 public:
  explicit Planner(PlannerOptions options = {});

  auto Plan(Timestamp now, const PlanInput& input) -> PlanResult;

 private:
  using ModelIndex = std::unordered_map<ModelId, std::int32_t>;
  using AdapterIndex = std::unordered_map<AdapterId, std::int32_t>;
  struct EnginePlan {
    std::vector<PlannedCopy> copies;
    EngineTarget target;
  };
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
  std::int64_t pending_loads_ = 0;
  std::int64_t pending_surplus_ = 0;
  std::int64_t started_loads_ = 0;
};

}  // namespace dotterellug
