#include "placement/copies/adapter_planner.h"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace dotterellug {
namespace {

using Adapter = std::pair<ModelId, AdapterId>;

// Target number of copies per adapter while slots are free.
constexpr int kTargetCopies = 2;

// The state of one PlanAdapters call.
class AdapterPlanBuilder {
 public:
  explicit AdapterPlanBuilder(const AdapterPlannerInput& input)
      : input_(input) {
    for (std::size_t i = 0; i < input.engines.size(); ++i) {
      const auto& engine = input.engines[i];
      std::int64_t used = 0;
      for (const auto& [model, adapters] : engine.held) {
        engines_with_model_[model].push_back(i);
        used += static_cast<std::int64_t>(adapters.size());
        for (const auto& adapter : adapters) ++copy_counts_[{model, adapter}];
      }
      free_slots_.push_back(engine.slots - used);
      available_.push_back(engine.available);
    }
  }

  auto Build() -> std::vector<AdapterOrder> {
    for (const auto& adapter : input_.requested) {
      if (Copies(adapter) == 0) Place(adapter, true);
    }
    for (int copies = 0; copies < kTargetCopies; ++copies) {
      for (const auto& model : ModelsByDemand()) {
        for (const auto& adapter : input_.adapters.at(model)) {
          if (Copies({model, adapter}) <= copies) {
            Place({model, adapter}, copies == 0);
          }
        }
      }
    }
    return std::move(orders_);
  }

 private:
  auto Copies(const Adapter& adapter) const -> int {
    const auto found = copy_counts_.find(adapter);
    return found == copy_counts_.end() ? 0 : found->second;
  }

  auto ModelsByDemand() const -> std::vector<ModelId> {
    std::vector<ModelId> models;
    for (const auto& [model, adapters] : input_.adapters) {
      models.push_back(model);
    }
    const auto demand = [&](const ModelId& model) {
      const auto found = input_.demand.find(model);
      return found == input_.demand.end() ? 0.0 : found->second;
    };
    std::stable_sort(
        models.begin(), models.end(),
        [&](const auto& a, const auto& b) { return demand(a) > demand(b); });
    return models;
  }

  auto Place(const Adapter& adapter, bool may_evict) -> void {
    std::optional<std::size_t> best;
    for (const auto i : EnginesWith(adapter.first)) {
      if (!CanLoad(i, adapter) || free_slots_[i] <= 0) continue;
      if (!best || free_slots_[i] > free_slots_[*best]) best = i;
    }
    if (best) {
      orders_.push_back(
          {true, input_.engines[*best].id, adapter.first, adapter.second});
      available_[*best] = false;
      ++copy_counts_[adapter];
      return;
    }
    if (may_evict) UnloadToFreeSlot(adapter);
  }

  // Engines on which the model is loaded, in the order of the input.
  auto EnginesWith(const ModelId& model) const
      -> const std::vector<std::size_t>& {
    static const std::vector<std::size_t> none;
    const auto found = engines_with_model_.find(model);
    return found == engines_with_model_.end() ? none : found->second;
  }

  auto CanLoad(std::size_t index, const Adapter& adapter) const -> bool {
    if (!available_[index]) return false;
    const auto held = input_.engines[index].held.find(adapter.first);
    return held != input_.engines[index].held.end() &&
           held->second.count(adapter.second) == 0;
  }

  // Adds a step that frees a slot for `adapter`: it unloads an adapter that has
  // another copy or, if `adapter` is requested, any adapter that is not
  // requested. The load follows in a later call, when the slot is free.
  auto UnloadToFreeSlot(const Adapter& adapter) -> void {
    const bool is_requested = input_.requested.count(adapter) > 0;
    for (const auto i : EnginesWith(adapter.first)) {
      if (!CanLoad(i, adapter)) continue;
      std::optional<Adapter> victim;
      for (const auto& [model, adapters] : input_.engines[i].held) {
        for (const auto& held : adapters) {
          const Adapter candidate(model, held);
          if (input_.requested.count(candidate) > 0) continue;
          if (Copies(candidate) < 2 && !is_requested) continue;
          if (!victim || Copies(candidate) > Copies(*victim)) {
            victim = candidate;
          }
        }
      }
      if (!victim) continue;
      orders_.push_back(
          {false, input_.engines[i].id, victim->first, victim->second});
      available_[i] = false;
      // Counts the adapter as loaded already, so that one call frees only one
      // slot for it.
      --copy_counts_[*victim];
      ++copy_counts_[adapter];
      return;
    }
  }

  const AdapterPlannerInput& input_;
  std::unordered_map<ModelId, std::vector<std::size_t>> engines_with_model_;
  std::map<Adapter, int> copy_counts_;
  std::vector<std::int64_t> free_slots_;
  std::vector<bool> available_;
  std::vector<AdapterOrder> orders_;
};

}  // namespace

auto PlanAdapters(const AdapterPlannerInput& input)
    -> std::vector<AdapterOrder> {
  return AdapterPlanBuilder(input).Build();
}

}  // namespace dotterellug
