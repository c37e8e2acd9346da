#include "placement/copies/copy_planner.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace dotterellug {
namespace {

// No loss is too large to give a model that callers ask for its only copy.
constexpr double kNoCostLimit = std::numeric_limits<double>::infinity();

// The state of one planning call.
class CopyPlanBuilder {
 public:
  CopyPlanBuilder(const CopyInput& input, const CopyPlannerOptions& options)
      : input_(input), options_(options), store_loads_left_(input.store_loads) {
    for (const auto& model : input.models) {
      models_[model.id] = &model;
      total_demand_ += model.demand;
    }
    mean_engine_demand_ =
        total_demand_ /
        static_cast<double>(std::max<std::size_t>(input.engines.size(), 1));
    min_demand_ = options_.min_demand_fraction * mean_engine_demand_;
    for (const auto& engine : input.engines) {
      unavailable_.push_back(engine.busy || !engine.usable);
      held_.push_back(engine.models);
      if (!engine.usable) continue;
      for (const auto& model : engine.models) ++copy_counts_[model];
    }
  }

  auto Build() -> std::vector<CopyStep> {
    LoadModelsWithoutCopy();
    // Without demand there is nothing to gain: at the start of a deployment the
    // copies are where its operators put them.
    if (total_demand_ > 0) {
      FillFreeMemory();
      EvictForDemand();
    }
    LoadRareModels();
    return std::move(steps_);
  }

 private:
  using EngineIndex = std::size_t;

  auto Copies(const ModelId& model) const -> int {
    const auto found = copy_counts_.find(model);
    return found == copy_counts_.end() ? 0 : found->second;
  }
  auto Demand(const ModelId& model) const -> double {
    const auto found = models_.find(model);
    return found == models_.end() ? 0 : found->second->demand;
  }
  auto WeightMb(const ModelId& model) const -> double {
    const auto found = models_.find(model);
    return found == models_.end() ? 0 : found->second->weight_mb;
  }
  auto DemandPerCopy(const ModelId& model, int added_copies) const -> double {
    const auto copies = std::max(Copies(model) + added_copies, 0);
    return Demand(model) / std::max(copies, 1);
  }
  auto FreeMemoryMb(EngineIndex index) const -> double {
    auto free_mb =
        input_.engines[index].capacity_mb - input_.engines[index].adapter_mb;
    for (const auto& model : held_[index]) free_mb -= WeightMb(model);
    return free_mb;
  }
  // Load that the engine's models bring, for choosing a calm one.
  auto EngineDemand(EngineIndex index) const -> double {
    double demand = 0;
    for (const auto& model : held_[index]) demand += DemandPerCopy(model, 0);
    return demand;
  }
  auto IsCached(EngineIndex index, const ModelId& model) const -> bool {
    return input_.engines[index].near.count(model) > 0;
  }

  // Models by falling demand per copy that one more copy would have.
  auto ModelsByDemandPerCopy() const -> std::vector<const CopyModel*> {
    std::vector<const CopyModel*> ranked;
    for (const auto& model : input_.models) ranked.push_back(&model);
    std::stable_sort(ranked.begin(), ranked.end(),
                     [&](const auto* a, const auto* b) {
                       return DemandPerCopy(a->id, 0) > DemandPerCopy(b->id, 0);
                     });
    return ranked;
  }

  auto AddLoad(EngineIndex index, const ModelId& model) -> bool {
    const bool from_store = !IsCached(index, model);
    if (from_store && store_loads_left_ <= 0) return false;
    if (from_store) --store_loads_left_;
    steps_.push_back(
        {CopyStepKind::kLoad, input_.engines[index].id, model, from_store});
    unavailable_[index] = true;
    held_[index].insert(model);
    ++copy_counts_[model];
    return true;
  }

  auto AddUnload(EngineIndex index, const ModelId& model) -> void {
    steps_.push_back(
        {CopyStepKind::kUnload, input_.engines[index].id, model, false});
    unavailable_[index] = true;
    --copy_counts_[model];
  }

  // The engine with room on which the model costs least.
  auto BestEngine(const ModelId& model) const -> std::optional<EngineIndex> {
    std::optional<EngineIndex> best;
    double best_score = 0;
    for (EngineIndex i = 0; i < held_.size(); ++i) {
      if (unavailable_[i] || held_[i].count(model) > 0) continue;
      if (FreeMemoryMb(i) < WeightMb(model)) continue;
      if (store_loads_left_ <= 0 && !IsCached(i, model)) continue;
      const auto score =
          EngineDemand(i) - (IsCached(i, model) ? 0.5 * total_demand_ : 0);
      if (best && score >= best_score) continue;
      best = i;
      best_score = score;
    }
    return best;
  }

  // The longer of the two views of a model's demand.
  auto MaxDemand(const ModelId& model) const -> double {
    const auto found = models_.find(model);
    if (found == models_.end()) return 0;
    return std::max(found->second->demand, found->second->lasting_demand);
  }
  // Whether the only copy of `model` may leave engine `index`. The engine must
  // be able to load it again without the weight store.
  auto MayEvict(EngineIndex index, const ModelId& model) const -> bool {
    return IsCached(index, model) && IsRare(model);
  }
  // Whether all engines that hold a copy of `model` are well filled.
  auto AllCopiesHighlyLoaded(const ModelId& model) const -> bool {
    for (EngineIndex i = 0; i < held_.size(); ++i) {
      const auto& engine = input_.engines[i];
      if (!engine.usable || held_[i].count(model) == 0) continue;
      if (engine.load < options_.high_load_threshold) return false;
    }
    return true;
  }
  // What the loss of one copy costs, comparable with demand per copy.
  auto EvictionCost(const ModelId& victim) const -> double {
    if (Copies(victim) > 1) return DemandPerCopy(victim, -1);
    return MaxDemand(victim) * options_.last_copy_cost_factor;
  }

  // The engine and the copy whose loss costs least, if room for `model` can be
  // made there by one unload.
  auto CheapestEviction(const ModelId& model, double max_cost) const
      -> std::optional<std::pair<EngineIndex, ModelId>> {
    std::optional<std::pair<EngineIndex, ModelId>> best;
    double best_score = 0;
    const bool high_load = AllCopiesHighlyLoaded(model);
    for (EngineIndex i = 0; i < held_.size(); ++i) {
      if (unavailable_[i] || held_[i].count(model) > 0) continue;
      const bool is_cached = IsCached(i, model);
      if (store_loads_left_ <= 0 && !is_cached) continue;
      for (const auto& victim : held_[i]) {
        if (Copies(victim) < 2 && !(high_load && MayEvict(i, victim))) continue;
        if (input_.engines[i].settling.count(victim) > 0) continue;
        if (FreeMemoryMb(i) + WeightMb(victim) < WeightMb(model)) continue;
        const auto cost = EvictionCost(victim);
        if (cost > max_cost) continue;
        const auto score = cost + 0.3 * EngineDemand(i) -
                           (is_cached ? 0.2 * total_demand_ : 0);
        if (best && score >= best_score) continue;
        best = std::pair(i, victim);
        best_score = score;
      }
    }
    return best;
  }

  // Whether callers hardly ask for a model, and did not within the last
  // moments.
  auto IsRare(const ModelId& model) const -> bool {
    return input_.observed &&
           MaxDemand(model) <=
               options_.rare_demand_fraction * mean_engine_demand_;
  }

  // Models without a copy come first, unless they are rare.
  auto LoadModelsWithoutCopy() -> void {
    for (const auto* model : ModelsByDemandPerCopy()) {
      if (Copies(model->id) > 0 || IsRare(model->id)) continue;
      if (const auto target = BestEngine(model->id)) {
        AddLoad(*target, model->id);
      } else if (const auto victim =
                     CheapestEviction(model->id, kNoCostLimit)) {
        AddUnload(victim->first, victim->second);
      }
    }
  }

  // Room goes to the models that need it most. What cannot be loaded now for
  // want of store loads keeps the room for itself against models that need it
  // far less.
  auto FillFreeMemory() -> void {
    for (EngineIndex round = 0; round < held_.size(); ++round) {
      bool loaded = false;
      const auto ranked = ModelsByDemandPerCopy();
      for (const auto* model : ranked) {
        if (model->demand < min_demand_) break;
        if (DemandPerCopy(model->id, 1) * options_.min_demand_ratio <
            DemandPerCopy(ranked.front()->id, 1)) {
          memory_is_reserved_ = true;
          break;
        }
        const auto target = BestEngine(model->id);
        if (target && AddLoad(*target, model->id)) {
          loaded = true;
          break;
        }
      }
      if (!loaded) return;
    }
  }

  auto EvictForDemand() -> void {
    for (const auto* model : ModelsByDemandPerCopy()) {
      if (model->demand < min_demand_) return;
      const auto demand_after = DemandPerCopy(model->id, 1);
      const auto victim =
          CheapestEviction(model->id, demand_after / options_.min_demand_ratio);
      if (!victim) continue;
      AddUnload(victim->first, victim->second);
      // Counted as gained, so that one call moves no more than it needs.
      ++copy_counts_[model->id];
    }
  }

  // Rare models without a copy get one where there is room that nothing else
  // needs.
  auto LoadRareModels() -> void {
    if (memory_is_reserved_) return;
    for (const auto& model : input_.models) {
      if (Copies(model.id) > 0) continue;
      if (const auto target = BestEngine(model.id)) AddLoad(*target, model.id);
    }
  }

  const CopyInput& input_;
  const CopyPlannerOptions& options_;
  std::int64_t store_loads_left_;
  std::map<ModelId, const CopyModel*> models_;
  double total_demand_ = 0;
  double mean_engine_demand_ = 0;
  double min_demand_ = 0;
  std::map<ModelId, int> copy_counts_;
  std::vector<std::set<ModelId>> held_;
  std::vector<bool> unavailable_;
  std::vector<CopyStep> steps_;
  // Room is kept for a model that cannot be loaded yet.
  bool memory_is_reserved_ = false;
};

}  // namespace

auto CopyPlanner::Plan(const CopyInput& input) const -> std::vector<CopyStep> {
  return CopyPlanBuilder(input, options_).Build();
}

}  // namespace dotterellug
