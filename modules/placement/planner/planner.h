#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/ids/ids.h"
#include "core/time/time.h"
#include "placement/planner/plan_input.h"
#include "placement/planner/plan_work.h"

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
    std::vector<WorkCopy> copies;
    EngineTarget target;
  };
  struct Choice {
    std::int32_t engine = -1;
    Eviction eviction;
    double score = 0;
    double gain = 0;
  };

  auto Build(Timestamp now, const PlanInput& input, PlanWork& work) -> void;
  auto KeepCopies(const PlanInput& input, const ModelIndex& index,
                  EnginePlan& plan, WorkEngine& engine) -> void;
  static auto KeepAdapters(const PlanInput& input, const AdapterIndex& index,
                           const EnginePlan& plan, WorkEngine& engine) -> void;
  auto FirstPlan(Timestamp now, const PlannerEngine& engine,
                 EnginePlan& plan) const -> void;
  auto PlaceMissing(Timestamp now, PlanWork& work, PlanResult& result) -> void;
  auto PlaceOne(std::int32_t model, PlanWork& work) -> bool;
  auto Repack(std::int32_t model, PlanWork& work) -> bool;
  auto TakeTurn(Timestamp now, std::int32_t model, PlanWork& work) -> bool;
  auto RollVersions(PlanWork& work) -> void;
  auto RollModel(std::int32_t model, PlanWork& work) -> void;
  auto CancelUnneeded(PlanWork& work, PlanResult& result) -> void;
  auto RelieveOverload(PlanWork& work) -> void;
  auto BestRelief(std::int32_t model, const PlanWork& work) const
      -> std::optional<Choice>;
  auto UseFreeMemory(PlanWork& work) -> void;
  auto PlaceAdapters(const PlanInput& input, PlanWork& work, PlanResult& result)
      -> void;
  static auto TrimAdapters(const PlanInput& input, const PlanWork& work,
                           WorkEngine& engine) -> Bytes;
  static auto PlaceAdapter(const PlanInput& input, PlanWork& work,
                           std::int32_t adapter, std::int32_t base, bool once,
                           std::vector<Bytes>& free) -> std::int64_t;
  auto Publish(const PlanInput& input, PlanWork& work, PlanResult& result)
      -> void;
  auto TargetOf(const PlanInput& input, const PlanWork& work,
                const WorkEngine& engine) const -> EngineTarget;

  PlannerOptions options_;
  std::unordered_map<UpstreamId, EnginePlan> plans_;
  std::int64_t pending_ = 0;
  std::int64_t pending_spare_ = 0;
  std::int64_t added_ = 0;
};

}  // namespace dotterellug
