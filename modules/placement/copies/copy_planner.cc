#include "placement/copies/copy_planner.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace dotterellug {
namespace {

// No loss is too large to give a model that callers ask for its only copy.
constexpr double kAnyLoss = std::numeric_limits<double>::infinity();

// The state of one planning call.
class Work {
 public:
  Work(const CopyInput& input, const CopyPlannerOptions& options)
      : input_(input), options_(options), store_loads_(input.store_loads) {
    for (const auto& model : input.models) {
      models_[model.id] = &model;
      total_demand_ += model.demand;
    }
    even_share_ = total_demand_ / static_cast<double>(std::max<std::size_t>(
                                      input.engines.size(), 1));
    least_demand_ = options_.least_part * even_share_;
    for (const auto& engine : input.engines) {
      busy_.push_back(engine.busy || !engine.usable);
      held_.push_back(engine.models);
      if (!engine.usable) continue;
      for (const auto& model : engine.models) ++copies_[model];
    }
  }

  auto Run() -> std::vector<CopyStep> {
    LoadMissing();
    // Without demand there is nothing to gain: at the start of a deployment the
    // copies are where its operators put them.
    if (total_demand_ > 0) {
      FillFreeRoom();
      MoveToDemand();
    }
    LoadRare();
    return std::move(steps_);
  }

 private:
  using Index = std::size_t;

  auto Copies(const ModelId& model) const -> int {
    const auto found = copies_.find(model);
    return found == copies_.end() ? 0 : found->second;
  }
  auto Demand(const ModelId& model) const -> double {
    const auto found = models_.find(model);
    return found == models_.end() ? 0 : found->second->demand;
  }
  auto Weight(const ModelId& model) const -> double {
    const auto found = models_.find(model);
    return found == models_.end() ? 0 : found->second->weight_mb;
  }
  auto DemandPerCopy(const ModelId& model, int change) const -> double {
    const auto copies = std::max(Copies(model) + change, 0);
    return Demand(model) / std::max(copies, 1);
  }
  auto Room(Index index) const -> double {
    auto room =
        input_.engines[index].capacity_mb - input_.engines[index].adapter_mb;
    for (const auto& model : held_[index]) room -= Weight(model);
    return room;
  }
  // Load that the engine's models bring, for choosing a calm one.
  auto EngineDemand(Index index) const -> double {
    double demand = 0;
    for (const auto& model : held_[index]) demand += DemandPerCopy(model, 0);
    return demand;
  }
  auto Near(Index index, const ModelId& model) const -> bool {
    return input_.engines[index].near.count(model) > 0;
  }

  // Models by falling demand per copy that one more copy would have.
  auto ByNeed() const -> std::vector<const CopyModel*> {
    std::vector<const CopyModel*> order;
    for (const auto& model : input_.models) order.push_back(&model);
    std::stable_sort(order.begin(), order.end(),
                     [&](const auto* a, const auto* b) {
                       return DemandPerCopy(a->id, 0) > DemandPerCopy(b->id, 0);
                     });
    return order;
  }

  auto Load(Index index, const ModelId& model) -> bool {
    const bool from_store = !Near(index, model);
    if (from_store && store_loads_ <= 0) return false;
    if (from_store) --store_loads_;
    steps_.push_back(
        {CopyStepKind::kLoad, input_.engines[index].id, model, from_store});
    busy_[index] = true;
    held_[index].insert(model);
    ++copies_[model];
    return true;
  }

  auto Unload(Index index, const ModelId& model) -> void {
    steps_.push_back(
        {CopyStepKind::kUnload, input_.engines[index].id, model, false});
    busy_[index] = true;
    --copies_[model];
  }

  // The engine with room on which the model costs least.
  auto BestFree(const ModelId& model) const -> std::optional<Index> {
    std::optional<Index> best;
    double best_score = 0;
    for (Index i = 0; i < held_.size(); ++i) {
      if (busy_[i] || held_[i].count(model) > 0) continue;
      if (Room(i) < Weight(model)) continue;
      if (store_loads_ <= 0 && !Near(i, model)) continue;
      const auto score =
          EngineDemand(i) - (Near(i, model) ? 0.5 * total_demand_ : 0);
      if (best && score >= best_score) continue;
      best = i;
      best_score = score;
    }
    return best;
  }

  // The longer of the two views of a model's demand.
  auto LastingDemand(const ModelId& model) const -> double {
    const auto found = models_.find(model);
    if (found == models_.end()) return 0;
    return std::max(found->second->demand, found->second->lasting_demand);
  }
  // Whether the only copy of `model` may leave engine `index`. The engine must
  // be able to load it again without the weight store.
  auto MayLeave(Index index, const ModelId& model) const -> bool {
    return Near(index, model) && Rare(model);
  }
  // Whether all engines that hold a copy of `model` are well filled.
  auto Crowded(const ModelId& model) const -> bool {
    for (Index i = 0; i < held_.size(); ++i) {
      const auto& engine = input_.engines[i];
      if (!engine.usable || held_[i].count(model) == 0) continue;
      if (engine.load < options_.crowded_load) return false;
    }
    return true;
  }
  // What the loss of one copy costs, comparable with demand per copy.
  auto Loss(const ModelId& victim) const -> double {
    if (Copies(victim) > 1) return DemandPerCopy(victim, -1);
    return LastingDemand(victim) * options_.rare_gain;
  }

  // The engine and the copy whose loss costs least, if room for `model` can be
  // made there by one unload.
  auto BestVictim(const ModelId& model, double most_demand) const
      -> std::optional<std::pair<Index, ModelId>> {
    std::optional<std::pair<Index, ModelId>> best;
    double best_score = 0;
    const bool crowded = Crowded(model);
    for (Index i = 0; i < held_.size(); ++i) {
      if (busy_[i] || held_[i].count(model) > 0) continue;
      const bool near = Near(i, model);
      if (store_loads_ <= 0 && !near) continue;
      for (const auto& victim : held_[i]) {
        if (Copies(victim) < 2 && !(crowded && MayLeave(i, victim))) continue;
        if (input_.engines[i].settling.count(victim) > 0) continue;
        if (Room(i) + Weight(victim) < Weight(model)) continue;
        const auto loss = Loss(victim);
        if (loss > most_demand) continue;
        const auto score =
            loss + 0.3 * EngineDemand(i) - (near ? 0.2 * total_demand_ : 0);
        if (best && score >= best_score) continue;
        best = std::pair(i, victim);
        best_score = score;
      }
    }
    return best;
  }

  // Whether callers hardly ask for a model, and did not within the last
  // moments.
  auto Rare(const ModelId& model) const -> bool {
    return input_.observed &&
           LastingDemand(model) <= options_.rare_part * even_share_;
  }

  // Models without a copy come first, unless they are rare.
  auto LoadMissing() -> void {
    for (const auto* model : ByNeed()) {
      if (Copies(model->id) > 0 || Rare(model->id)) continue;
      if (const auto free = BestFree(model->id)) {
        Load(*free, model->id);
      } else if (const auto victim = BestVictim(model->id, kAnyLoss)) {
        Unload(victim->first, victim->second);
      }
    }
  }

  // Room goes to the models that need it most. What cannot be loaded now for
  // want of store loads keeps the room for itself against models that need it
  // far less.
  auto FillFreeRoom() -> void {
    for (Index round = 0; round < held_.size(); ++round) {
      bool loaded = false;
      const auto order = ByNeed();
      for (const auto* model : order) {
        if (model->demand < least_demand_) break;
        if (DemandPerCopy(model->id, 1) * options_.gain <
            DemandPerCopy(order.front()->id, 1)) {
          room_is_awaited_ = true;
          break;
        }
        const auto free = BestFree(model->id);
        if (free && Load(*free, model->id)) {
          loaded = true;
          break;
        }
      }
      if (!loaded) return;
    }
  }

  auto MoveToDemand() -> void {
    for (const auto* model : ByNeed()) {
      if (model->demand < least_demand_) return;
      const auto after = DemandPerCopy(model->id, 1);
      const auto victim = BestVictim(model->id, after / options_.gain);
      if (!victim) continue;
      Unload(victim->first, victim->second);
      // Counted as gained, so that one call moves no more than it needs.
      ++copies_[model->id];
    }
  }

  // Rare models without a copy get one where there is room that nothing else
  // needs.
  auto LoadRare() -> void {
    if (room_is_awaited_) return;
    for (const auto& model : input_.models) {
      if (Copies(model.id) > 0) continue;
      if (const auto free = BestFree(model.id)) Load(*free, model.id);
    }
  }

  const CopyInput& input_;
  const CopyPlannerOptions& options_;
  std::int64_t store_loads_;
  std::map<ModelId, const CopyModel*> models_;
  double total_demand_ = 0;
  double even_share_ = 0;
  double least_demand_ = 0;
  std::map<ModelId, int> copies_;
  std::vector<std::set<ModelId>> held_;
  std::vector<bool> busy_;
  std::vector<CopyStep> steps_;
  // Room is kept for a model that cannot be loaded yet.
  bool room_is_awaited_ = false;
};

}  // namespace

auto CopyPlanner::Plan(const CopyInput& input) const -> std::vector<CopyStep> {
  return Work(input, options_).Run();
}

}  // namespace dotterellug
