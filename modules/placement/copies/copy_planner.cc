#include "placement/copies/copy_planner.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace dotterellug {
namespace {

// Cost limit for a model without any copy: any eviction is cheap enough.
constexpr double kNoCostLimit = std::numeric_limits<double>::infinity();

// The state of one planning call.
class CopyPlanBuilder {
 public:
  CopyPlanBuilder(const CopyPlannerInput& input,
                  const CopyPlannerOptions& options)
      : input_(input),
        options_(options),
        store_loads_left_(input.max_weight_store_loads) {
    for (const auto& model : input.models) {
      models_[model.id] = &model;
      total_demand_ += model.demand;
    }
    mean_engine_demand_ =
        total_demand_ /
        static_cast<double>(std::max<std::size_t>(input.engines.size(), 1));
    min_demand_ =
        options_.additional_copy_demand_fraction * mean_engine_demand_;
    for (const auto& engine : input.engines) {
      unavailable_.push_back(engine.busy || !engine.usable);
      held_.push_back(engine.models);
      if (!engine.usable) continue;
      for (const auto& model : engine.models) ++copy_counts_[model];
    }
  }

  auto Build() -> std::vector<CopyOrder> {
    LoadModelsWithoutCopy();
    // Without demand, migrating copies has no benefit: at the start of a
    // deployment the copies stay where its operators put them.
    if (total_demand_ > 0) {
      FillFreeMemory();
      EvictForDemand();
    }
    LoadRemainingModels();
    return std::move(orders_);
  }

 private:
  using EngineIndex = std::size_t;

  // Copies of a model on usable engines, after the steps planned so far.
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
  // Demand per copy if the model had `added_copies` more copies than now.
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
  // Expected demand on the engine: its models' demand per copy, summed up.
  auto EngineDemand(EngineIndex index) const -> double {
    double demand = 0;
    for (const auto& model : held_[index]) demand += DemandPerCopy(model, 0);
    return demand;
  }
  auto IsCached(EngineIndex index, const ModelId& model) const -> bool {
    return input_.engines[index].cached.count(model) > 0;
  }

  // Models in descending order of their current demand per copy.
  auto ModelsByDemandPerCopy() const -> std::vector<const CopyPlannerModel*> {
    std::vector<const CopyPlannerModel*> ranked;
    for (const auto& model : input_.models) ranked.push_back(&model);
    std::stable_sort(ranked.begin(), ranked.end(),
                     [&](const auto* a, const auto* b) {
                       return DemandPerCopy(a->id, 0) > DemandPerCopy(b->id, 0);
                     });
    return ranked;
  }

  // Adds a load step; returns false if the limit of store loads is reached.
  auto AddLoad(EngineIndex index, const ModelId& model) -> bool {
    const bool from_weight_store = !IsCached(index, model);
    if (from_weight_store && store_loads_left_ <= 0) return false;
    if (from_weight_store) --store_loads_left_;
    orders_.push_back({CopyOrderKind::kLoad, input_.engines[index].id, model,
                       from_weight_store});
    unavailable_[index] = true;
    held_[index].insert(model);
    ++copy_counts_[model];
    return true;
  }

  // Adds an unload step. The model's memory counts as used until a later call.
  auto AddUnload(EngineIndex index, const ModelId& model) -> void {
    orders_.push_back(
        {CopyOrderKind::kUnload, input_.engines[index].id, model, false});
    unavailable_[index] = true;
    --copy_counts_[model];
  }

  // The available engine with enough free memory and the least demand. A cached
  // model counts like a demand that is lower by half of the total.
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

  // The larger of the recent and the long-term demand of a model.
  auto MaxDemand(const ModelId& model) const -> double {
    const auto found = models_.find(model);
    if (found == models_.end()) return 0;
    return std::max(found->second->demand, found->second->long_term_demand);
  }
  // Whether the last copy of `model` may be evicted from engine `index`. The
  // engine must be able to load it again without the weight store.
  auto MayEvict(EngineIndex index, const ModelId& model) const -> bool {
    return IsCached(index, model) && IsRare(model);
  }
  // Whether all usable engines with a copy of `model` are highly loaded; also
  // true if it has no copy.
  auto AllCopiesHighlyLoaded(const ModelId& model) const -> bool {
    for (EngineIndex i = 0; i < held_.size(); ++i) {
      const auto& engine = input_.engines[i];
      if (!engine.usable || held_[i].count(model) == 0) continue;
      if (engine.load < options_.high_load_threshold) return false;
    }
    return true;
  }
  // The cost of evicting one copy, in the unit of demand per copy.
  auto EvictionCost(const ModelId& victim) const -> double {
    if (Copies(victim) > 1) return DemandPerCopy(victim, -1);
    return MaxDemand(victim) * options_.last_copy_cost_factor;
  }

  // The engine and the copy whose eviction costs least and frees enough memory
  // for `model`; nullopt if there is none or if each costs more than
  // `max_cost`. Engines with little demand and those that have the weights of
  // `model` cached are preferred.
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
        if (input_.engines[i].recently_loaded.count(victim) > 0) continue;
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

  // Whether a model is rarely requested, both recently and in the long term.
  auto IsRare(const ModelId& model) const -> bool {
    return input_.demand_observed &&
           MaxDemand(model) <=
               options_.rare_demand_fraction * mean_engine_demand_;
  }

  // Places models without a copy first, unless they are rare.
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

  // Gives free memory to the models with the highest demand per copy. If such a
  // model can't be loaded now, for example because the limit of store loads is
  // reached, models with far less demand per copy don't get the memory.
  auto FillFreeMemory() -> void {
    for (EngineIndex round = 0; round < held_.size(); ++round) {
      bool loaded = false;
      const auto ranked = ModelsByDemandPerCopy();
      for (const auto* model : ranked) {
        if (model->demand < min_demand_) break;
        if (DemandPerCopy(model->id, 1) * options_.min_demand_per_copy_ratio <
            DemandPerCopy(ranked.front()->id, 1)) {
          defer_remaining_loads_ = true;
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

  // Evicts copies where the demand per copy of another model is higher by the
  // minimum ratio. The load of that model follows in a later call.
  auto EvictForDemand() -> void {
    for (const auto* model : ModelsByDemandPerCopy()) {
      if (model->demand < min_demand_) return;
      const auto demand_after = DemandPerCopy(model->id, 1);
      const auto victim = CheapestEviction(
          model->id, demand_after / options_.min_demand_per_copy_ratio);
      if (!victim) continue;
      AddUnload(victim->first, victim->second);
      // Counts the planned copy already, so that one call evicts no more than
      // needed.
      ++copy_counts_[model->id];
    }
  }

  // Loads the remaining models without a copy, mostly rare ones, unless free
  // memory is reserved for a model with more demand.
  auto LoadRemainingModels() -> void {
    if (defer_remaining_loads_) return;
    for (const auto& model : input_.models) {
      if (Copies(model.id) > 0) continue;
      if (const auto target = BestEngine(model.id)) AddLoad(*target, model.id);
    }
  }

  const CopyPlannerInput& input_;
  const CopyPlannerOptions& options_;
  std::int64_t store_loads_left_;
  std::map<ModelId, const CopyPlannerModel*> models_;
  double total_demand_ = 0;
  double mean_engine_demand_ = 0;
  double min_demand_ = 0;
  std::map<ModelId, int> copy_counts_;
  std::vector<std::set<ModelId>> held_;
  std::vector<bool> unavailable_;
  std::vector<CopyOrder> orders_;
  // Whether a model in higher demand could not be loaded yet, so that free
  // memory is reserved for it.
  bool defer_remaining_loads_ = false;
};

}  // namespace

auto CopyPlanner::Plan(const CopyPlannerInput& input) const
    -> std::vector<CopyOrder> {
  return CopyPlanBuilder(input, options_).Build();
}

}  // namespace dotterellug
