#include "placement/copies/copy_planner.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <optional>
#include <unordered_map>
#include <utility>

namespace dotterellug {
namespace {

// Cost limit for a model without any copy: any eviction is cheap enough.
constexpr double kNoCostLimit = std::numeric_limits<double>::infinity();

// The state of one planning call. Models are numbered, and sums are kept for
// each engine, because a call searches all engines for each of hundreds of
// models.
class CopyPlanBuilder {
 public:
  CopyPlanBuilder(const CopyPlannerInput& input,
                  const CopyPlannerOptions& options)
      : input_(input),
        options_(options),
        store_loads_left_(input.max_weight_store_loads) {
    for (const auto& model : input.models) AddModel(model);
    requested_count_ = models_.size();
    for (const auto& model : input.models) total_demand_ += model.demand;
    mean_engine_demand_ =
        total_demand_ /
        static_cast<double>(std::max<std::size_t>(input.engines.size(), 1));
    min_demand_ =
        options_.additional_copy_demand_fraction * mean_engine_demand_;
    SetMeanWorkFactor();
    for (const auto& engine : input.engines) AddEngine(engine);
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
  using ModelIndex = std::size_t;

  struct Model {
    CopyPlannerModel spec;
    // Copies on usable engines, after the steps planned so far.
    int copies = 0;
    // Sum of the speeds of these engines, without steps planned so far.
    double speed = 0;
    int engines_with_speed = 0;
    // Engines that hold it.
    std::vector<EngineIndex> engines;
  };
  struct Engine {
    bool unavailable = false;
    // Time that work takes, relative to the mean of the pool's engines.
    double slowness = 1;
    double free_memory_mb = 0;
    // Models in the order of their ids.
    std::vector<ModelIndex> held;
    std::set<ModelIndex> cached;
    std::set<ModelIndex> recently_loaded;
  };

  // Numbers a model. Models that an engine holds although they are not in the
  // input have no demand and no size.
  auto AddModel(const CopyPlannerModel& spec) -> ModelIndex {
    const auto [entry, added] =
        model_indexes_.try_emplace(spec.id, models_.size());
    if (added) models_.push_back({spec, 0, {}});
    return entry->second;
  }
  auto IndexesOf(const std::set<ModelId>& ids) -> std::set<ModelIndex> {
    std::set<ModelIndex> indexes;
    for (const auto& id : ids) indexes.insert(AddModel({id}));
    return indexes;
  }
  // Engines whose factor is not known are taken to be average ones.
  auto SetMeanWorkFactor() -> void {
    double sum = 0;
    int known = 0;
    for (const auto& engine : input_.engines) {
      if (!engine.work_factor) continue;
      sum += *engine.work_factor;
      ++known;
    }
    if (known > 0) mean_work_factor_ = sum / known;
  }
  auto AddEngine(const CopyPlannerEngine& input) -> void {
    const EngineIndex index = engines_.size();
    Engine engine;
    engine.unavailable = input.busy || !input.usable;
    if (input.work_factor && mean_work_factor_ > 0) {
      engine.slowness = *input.work_factor / mean_work_factor_;
    }
    engine.free_memory_mb = input.capacity_mb - input.adapter_mb;
    for (const auto& id : input.models) {
      const auto model = AddModel({id});
      engine.held.push_back(model);
      engine.free_memory_mb -= models_[model].spec.weight_mb;
      models_[model].engines.push_back(index);
      if (!input.usable) continue;
      ++models_[model].copies;
      ++models_[model].engines_with_speed;
      models_[model].speed += 1 / engine.slowness;
    }
    engine.cached = IndexesOf(input.cached);
    engine.recently_loaded = IndexesOf(input.recently_loaded);
    engines_.push_back(std::move(engine));
  }

  // Demand per copy if the model had `added_copies` more copies than now.
  auto DemandPerCopy(ModelIndex model, int added_copies) const -> double {
    const auto& held = models_[model];
    const auto copies = std::max(held.copies + added_copies, 0);
    // Copies gained or lost are taken to be as fast as the others.
    const auto speed =
        held.engines_with_speed > 0 ? held.speed / held.engines_with_speed : 1;
    return held.spec.demand / (std::max(copies, 1) * speed);
  }
  // Expected demand on the engine: its models' demand per copy, summed up, and
  // `added`, relative to the engine's speed.
  auto EngineDemand(EngineIndex index, double added) const -> double {
    double demand = added;
    for (const auto model : engines_[index].held) {
      demand += DemandPerCopy(model, 0);
    }
    return demand * engines_[index].slowness;
  }
  auto IsCached(EngineIndex index, ModelIndex model) const -> bool {
    return engines_[index].cached.count(model) > 0;
  }
  auto Holds(EngineIndex index, ModelIndex model) const -> bool {
    const auto& held = engines_[index].held;
    return std::find(held.begin(), held.end(), model) != held.end();
  }

  // Models of the input in descending order of their current demand per copy.
  auto ModelsByDemandPerCopy() const -> std::vector<ModelIndex> {
    std::vector<ModelIndex> ranked(requested_count_);
    std::iota(ranked.begin(), ranked.end(), ModelIndex{0});
    std::stable_sort(ranked.begin(), ranked.end(),
                     [&](ModelIndex a, ModelIndex b) {
                       return DemandPerCopy(a, 0) > DemandPerCopy(b, 0);
                     });
    return ranked;
  }

  // Adds a load step; returns false if the limit of store loads is reached.
  auto AddLoad(EngineIndex index, ModelIndex model) -> bool {
    const bool from_weight_store = !IsCached(index, model);
    if (from_weight_store && store_loads_left_ <= 0) return false;
    if (from_weight_store) --store_loads_left_;
    const auto& id = models_[model].spec.id;
    orders_.push_back({CopyOrderKind::kLoad, input_.engines[index].id, id,
                       from_weight_store});
    auto& engine = engines_[index];
    engine.unavailable = true;
    engine.held.insert(
        std::upper_bound(engine.held.begin(), engine.held.end(), model,
                         [&](ModelIndex a, ModelIndex b) {
                           return models_[a].spec.id < models_[b].spec.id;
                         }),
        model);
    engine.free_memory_mb -= models_[model].spec.weight_mb;
    models_[model].engines.push_back(index);
    ++models_[model].copies;
    return true;
  }

  // Adds an unload step. The model's memory counts as used until a later call.
  auto AddUnload(EngineIndex index, ModelIndex model) -> void {
    orders_.push_back({CopyOrderKind::kUnload, input_.engines[index].id,
                       models_[model].spec.id, false});
    engines_[index].unavailable = true;
    --models_[model].copies;
  }

  // The available engine with enough free memory and the least demand. A cached
  // model counts like a demand that is lower by half of the total.
  auto BestEngine(ModelIndex model) const -> std::optional<EngineIndex> {
    std::optional<EngineIndex> best;
    double best_score = 0;
    for (EngineIndex i = 0; i < engines_.size(); ++i) {
      const auto& engine = engines_[i];
      if (engine.unavailable ||
          engine.free_memory_mb < models_[model].spec.weight_mb ||
          Holds(i, model)) {
        continue;
      }
      const bool is_cached = IsCached(i, model);
      if (store_loads_left_ <= 0 && !is_cached) continue;
      const auto score = EngineDemand(i, DemandPerCopy(model, 1)) -
                         (is_cached ? 0.5 * total_demand_ : 0);
      if (best && score >= best_score) continue;
      best = i;
      best_score = score;
    }
    return best;
  }

  // The larger of the recent and the long-term demand of a model.
  auto MaxDemand(ModelIndex model) const -> double {
    const auto& spec = models_[model].spec;
    return std::max(spec.demand, spec.long_term_demand);
  }
  // Whether the last copy of `model` may be evicted from engine `index`. The
  // engine must be able to load it again without the weight store.
  auto MayEvict(EngineIndex index, ModelIndex model) const -> bool {
    return IsCached(index, model) && IsRare(model);
  }
  // Whether all usable engines with a copy of `model` are highly loaded; also
  // true if it has no copy.
  auto AllCopiesHighlyLoaded(ModelIndex model) const -> bool {
    const auto& engines = models_[model].engines;
    return std::all_of(engines.begin(), engines.end(), [&](EngineIndex index) {
      const auto& engine = input_.engines[index];
      return !engine.usable || engine.load >= options_.high_load_threshold;
    });
  }
  // The cost of evicting one copy, in the unit of demand per copy.
  auto EvictionCost(ModelIndex victim) const -> double {
    if (models_[victim].copies > 1) return DemandPerCopy(victim, -1);
    return MaxDemand(victim) * options_.last_copy_cost_factor;
  }

  // The engine and the copy whose eviction costs least and frees enough memory
  // for `model`; nullopt if there is none or if each costs more than
  // `max_cost`. Engines with little demand and those that have the weights of
  // `model` cached are preferred.
  auto CheapestEviction(ModelIndex model, double max_cost) const
      -> std::optional<std::pair<EngineIndex, ModelIndex>> {
    std::optional<std::pair<EngineIndex, ModelIndex>> best;
    double best_score = 0;
    const bool high_load = AllCopiesHighlyLoaded(model);
    const auto weight_mb = models_[model].spec.weight_mb;
    for (EngineIndex i = 0; i < engines_.size(); ++i) {
      const auto& engine = engines_[i];
      if (engine.unavailable || Holds(i, model)) continue;
      const bool is_cached = IsCached(i, model);
      if (store_loads_left_ <= 0 && !is_cached) continue;
      for (const auto victim : engine.held) {
        const auto cost = EvictionCost(victim);
        if (cost > max_cost) continue;
        if (engine.free_memory_mb + models_[victim].spec.weight_mb <
            weight_mb) {
          continue;
        }
        if (models_[victim].copies < 2 && !(high_load && MayEvict(i, victim))) {
          continue;
        }
        if (engine.recently_loaded.count(victim) > 0) continue;
        const auto score = cost +
                           0.3 * EngineDemand(i, DemandPerCopy(model, 1)) -
                           (is_cached ? 0.2 * total_demand_ : 0);
        if (best && score >= best_score) continue;
        best = std::pair(i, victim);
        best_score = score;
      }
    }
    return best;
  }

  // Whether a model is rarely requested, both recently and in the long term.
  auto IsRare(ModelIndex model) const -> bool {
    return input_.demand_observed &&
           MaxDemand(model) <=
               options_.rare_demand_fraction * mean_engine_demand_;
  }

  // Places models without a copy first, unless they are rare.
  auto LoadModelsWithoutCopy() -> void {
    for (const auto model : ModelsByDemandPerCopy()) {
      if (models_[model].copies > 0 || IsRare(model)) continue;
      if (const auto target = BestEngine(model)) {
        AddLoad(*target, model);
      } else if (const auto victim = CheapestEviction(model, kNoCostLimit)) {
        AddUnload(victim->first, victim->second);
      }
    }
  }

  // Gives free memory to the models with the highest demand per copy. If such a
  // model can't be loaded now, for example because the limit of store loads is
  // reached, models with far less demand per copy don't get the memory.
  auto FillFreeMemory() -> void {
    for (EngineIndex round = 0; round < engines_.size(); ++round) {
      bool loaded = false;
      const auto ranked = ModelsByDemandPerCopy();
      for (const auto model : ranked) {
        if (models_[model].spec.demand < min_demand_) break;
        if (DemandPerCopy(model, 1) * options_.min_demand_per_copy_ratio <
            DemandPerCopy(ranked.front(), 1)) {
          defer_remaining_loads_ = true;
          break;
        }
        const auto target = BestEngine(model);
        if (target && AddLoad(*target, model)) {
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
    for (const auto model : ModelsByDemandPerCopy()) {
      if (models_[model].spec.demand < min_demand_) return;
      const auto demand_after = DemandPerCopy(model, 1);
      const auto victim = CheapestEviction(
          model, demand_after / options_.min_demand_per_copy_ratio);
      if (!victim) continue;
      AddUnload(victim->first, victim->second);
      // Counts the planned copy already, so that one call evicts no more than
      // needed.
      ++models_[model].copies;
    }
  }

  // Loads the remaining models without a copy, mostly rare ones, unless free
  // memory is reserved for a model with more demand.
  auto LoadRemainingModels() -> void {
    if (defer_remaining_loads_) return;
    for (ModelIndex model = 0; model < requested_count_; ++model) {
      if (models_[model].copies > 0) continue;
      if (const auto target = BestEngine(model)) AddLoad(*target, model);
    }
  }

  const CopyPlannerInput& input_;
  const CopyPlannerOptions& options_;
  std::int64_t store_loads_left_;
  std::unordered_map<ModelId, ModelIndex> model_indexes_;
  std::vector<Model> models_;
  // The first models are those of the input.
  std::size_t requested_count_ = 0;
  double total_demand_ = 0;
  double mean_engine_demand_ = 0;
  double mean_work_factor_ = 0;
  double min_demand_ = 0;
  std::vector<Engine> engines_;
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
