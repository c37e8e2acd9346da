#include "placement/planner/planner.h"

#include <algorithm>
#include <map>
#include <utility>

namespace dotterellug {

namespace {

// Added to load priorities: an unreachable model precedes a missing version,
// which precedes any other copy.
constexpr double kUnreachablePriority = 1e6;
constexpr double kMissingVersionPriority = 1e3;

template <typename Item>
auto IndexById(const std::vector<Item>& items)
    -> std::unordered_map<decltype(Item::id), std::int32_t> {
  std::unordered_map<decltype(Item::id), std::int32_t> index;
  for (const auto& item : items) {
    index.emplace(item.id, static_cast<std::int32_t>(index.size()));
  }
  return index;
}

auto IsResident(const PlannerEngine& engine, const ModelId& model,
                const std::string& version) -> bool {
  return std::any_of(engine.reserved.begin(), engine.reserved.end(),
                     [&](const PlannerItem& item) {
                       return item.resident && item.key.model == model &&
                              item.key.version == version &&
                              !item.key.IsAdapter();
                     });
}

auto HasOutdatedCopy(const PlannedEngine& engine, std::int32_t model) -> bool {
  return std::any_of(engine.copies.begin(), engine.copies.end(),
                     [&](const PlannedCopy& copy) {
                       return copy.model == model && !copy.current;
                     });
}

auto ModelsByDemand(const PlanningState& fleet) -> std::vector<std::int32_t> {
  std::vector<std::int32_t> order(fleet.models.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    order[i] = static_cast<std::int32_t>(i);
  }
  std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) {
    return fleet.models[a].input->demand > fleet.models[b].input->demand;
  });
  return order;
}

auto SameItems(const EngineTarget& a, const EngineTarget& b) -> bool {
  return a.kv_bytes == b.kv_bytes &&
         std::equal(a.items.begin(), a.items.end(), b.items.begin(),
                    b.items.end(), [](const auto& x, const auto& y) {
                      return x.key == y.key && x.bytes == y.bytes;
                    });
}

}  // namespace

Planner::Planner(PlannerOptions options) : options_(options) {}

auto Planner::Plan(Timestamp now, const PlanInput& input) -> PlanResult {
  PlanResult result;
  PlanningState fleet(now, options_);
  new_loads_ = 0;
  BuildPlanningState(now, input, fleet);
  fleet.EstimateLoads();
  if (input.store_available) {
    CancelUnneededLoads(fleet, result);
    PlaceRequiredCopies(now, fleet, result);
    RollOutVersions(fleet);
    fleet.EstimateLoads();
    RelieveOverload(fleet);
    AddSurplusCopies(fleet);
    PlaceAdapters(input, fleet, result);
  }
  result.loads_started = new_loads_;
  CommitPlan(input, fleet, result);
  return result;
}

auto Planner::BuildPlanningState(Timestamp now, const PlanInput& input,
                                 PlanningState& fleet) -> void {
  const auto index = IndexById(input.models);
  const auto adapters = IndexById(input.adapters);
  std::map<AvailabilityZoneId, std::int32_t> zones;
  for (const auto& model : input.models) fleet.models.push_back({&model, {}});
  fleet.engines.reserve(input.engines.size());
  pending_loads_ = 0;
  pending_surplus_loads_ = 0;
  std::unordered_map<UpstreamId, EnginePlan> kept;
  for (const auto& engine : input.engines) {
    const auto zone =
        zones.emplace(engine.zone, static_cast<std::int32_t>(zones.size()));
    auto found = plans_.find(engine.id);
    EnginePlan plan;
    if (found == plans_.end()) {
      InitializePlan(now, engine, plan);
    } else {
      plan = std::move(found->second);
    }
    PlannedEngine planned_engine{&engine, zone.first->second, 0, {}, {}};
    CarryOverCopies(input, index, plan, planned_engine);
    CarryOverAdapters(input, adapters, plan, planned_engine);
    fleet.engines.push_back(std::move(planned_engine));
    kept.emplace(engine.id, std::move(plan));
  }
  plans_ = std::move(kept);
  fleet.RebuildHosts();
}

// Copies of the previous plan refer to their model by the position of its item
// in the plan's target; this converts them to indexes into the new input.
auto Planner::CarryOverCopies(const PlanInput& input, const ModelIndex& index,
                              EnginePlan& plan, PlannedEngine& engine) -> void {
  for (auto& copy : plan.copies) {
    const auto model = index.find(plan.target.items[copy.model].key.model);
    if (model == index.end()) continue;
    copy.model = model->second;
    const auto& required = input.models[copy.model];
    copy.current = copy.version == required.version;
    copy.resident = IsResident(*engine.input, required.id, copy.version);
    if (!copy.resident && engine.input->usable) {
      ++pending_loads_;
      pending_surplus_loads_ += copy.surplus ? 1 : 0;
    }
    engine.copies.push_back(std::move(copy));
  }
}

auto Planner::CarryOverAdapters(const PlanInput& input,
                                const AdapterIndex& index,
                                const EnginePlan& plan, PlannedEngine& engine)
    -> void {
  for (const auto& item : plan.target.items) {
    if (!item.key.IsAdapter()) continue;
    const auto adapter = index.find(item.key.adapter);
    if (adapter == index.end()) continue;
    const bool has_base = std::any_of(
        engine.copies.begin(), engine.copies.end(), [&](const auto& copy) {
          return input.models[copy.model].id == item.key.model &&
                 copy.version == item.key.version;
        });
    if (!has_base) continue;
    engine.adapters.push_back({adapter->second, item.key.version});
  }
}

// Starts an engine's plan from its reserved items. They are recorded as placed
// min_residence ago, so that it does not protect them.
auto Planner::InitializePlan(Timestamp now, const PlannerEngine& engine,
                             EnginePlan& plan) const -> void {
  for (const auto& item : engine.reserved) {
    if (!item.key.IsAdapter()) {
      PlannedCopy copy;
      copy.model = static_cast<std::int32_t>(plan.target.items.size());
      copy.version = item.key.version;
      copy.placed_at = now - options_.min_residence;
      plan.copies.push_back(std::move(copy));
    }
    plan.target.items.push_back({item.key, Bytes(0), 0});
  }
}

// Places models without a copy, then the copies that min_copies requires.
auto Planner::PlaceRequiredCopies(Timestamp now, PlanningState& fleet,
                                  PlanResult& result) -> void {
  for (const auto model : ModelsByDemand(fleet)) {
    const auto& required = *fleet.models[model].input;
    const bool needed =
        required.min_copies > 0 || required.demand >= options_.idle_demand;
    if (!needed) continue;
    if (fleet.ResidentHostCount(model, false) == 0) ++result.unserved_models;
    if (fleet.IsServedOrLoading(model, false)) continue;
    if (PlaceCopy(model, fleet)) continue;
    if (RelocateBlockingModel(model, fleet)) continue;
    if (PlaceByTimeSharing(now, model, fleet)) continue;
    ++result.unplaced_models;
  }
  for (const auto model : ModelsByDemand(fleet)) {
    const auto required = fleet.models[model].input->min_copies;
    const auto hosts =
        static_cast<std::int64_t>(fleet.models[model].hosts.size());
    if (hosts >= 1 && hosts < required) PlaceCopy(model, fleet);
  }
}

// Adds a copy on the engine with the best score among those without a copy of
// the required version. The score favours new zones and low load over
// evictions. Returns whether a copy was added.
auto Planner::PlaceCopy(std::int32_t model, PlanningState& fleet) -> bool {
  PlacementChoice best;
  for (std::size_t i = 0; i < fleet.engines.size(); ++i) {
    const auto engine = static_cast<std::int32_t>(i);
    const auto& planned = fleet.engines[i];
    if (!planned.input->usable || fleet.HasCopy(engine, model, true)) continue;
    const auto eviction = fleet.PlanEviction(engine, model, true);
    if (!eviction) continue;
    const auto bonus =
        fleet.HasCopyInZone(model, planned.zone) ? 0 : options_.new_zone_bonus;
    const auto score = bonus - planned.load - 4 * eviction->loss -
                       0.1 * static_cast<double>(eviction->copies.size());
    if (best.engine < 0 || score > best.score) {
      best = PlacementChoice{engine, *eviction, score, 0};
    }
  }
  if (best.engine < 0) return false;
  fleet.Evict(best.engine, best.eviction);
  fleet.AddCopy(best.engine, model, false);
  ++new_loads_;
  return true;
}

// Relocates another model to free memory for this one: adds a copy of it on an
// engine where it fits. A later pass evicts the original once the new copy is
// resident. Returns whether such a copy was added or is pending.
auto Planner::RelocateBlockingModel(std::int32_t model, PlanningState& fleet)
    -> bool {
  // Only one at a time: the memory that an earlier one frees may suffice.
  if (pending_surplus_loads_ > 0) return true;
  for (std::size_t i = 0; i < fleet.engines.size(); ++i) {
    const auto engine = static_cast<std::int32_t>(i);
    if (!fleet.engines[i].input->usable) continue;
    const auto deficit = -fleet.FreeBytesAfter(engine, model);
    for (const auto& copy : fleet.engines[i].copies) {
      const auto blocker = copy.model;
      if (fleet.models[blocker].input->weight_bytes.Value() < deficit) continue;
      if (fleet.models[blocker].hosts.size() > 1) continue;
      for (std::size_t j = 0; j < fleet.engines.size(); ++j) {
        const auto other = static_cast<std::int32_t>(j);
        if (j == i || !fleet.engines[j].input->usable) continue;
        if (fleet.FreeBytesAfter(other, blocker) < 0) continue;
        fleet.AddCopy(other, blocker, true);
        ++new_loads_;
        ++pending_surplus_loads_;
        return true;
      }
    }
  }
  return false;
}

// Time-shares memory that does not hold all models in use: the model replaces
// the copy with the least demand whose time slice is over. The time slice of a
// copy with more demand than the model is four times as long. Returns whether a
// copy was replaced.
auto Planner::PlaceByTimeSharing(Timestamp now, std::int32_t model,
                                 PlanningState& fleet) -> bool {
  const auto demand = fleet.models[model].input->demand;
  if (demand < options_.idle_demand) return false;
  std::int32_t best = -1;
  std::size_t best_copy = 0;
  double least_demand = 0;
  for (std::size_t i = 0; i < fleet.engines.size(); ++i) {
    const auto engine = static_cast<std::int32_t>(i);
    if (!fleet.engines[i].input->usable) continue;
    const auto deficit = -fleet.FreeBytesAfter(engine, model);
    for (std::size_t c = 0; c < fleet.engines[i].copies.size(); ++c) {
      const auto& copy = fleet.engines[i].copies[c];
      const auto& other = *fleet.models[copy.model].input;
      if (other.weight_bytes.Value() < deficit) continue;
      const auto time_slice =
          other.demand < demand ? options_.time_slice : 4 * options_.time_slice;
      const bool idle = other.demand < options_.idle_demand;
      if (!idle && now - copy.placed_at < time_slice) continue;
      if (best >= 0 && other.demand >= least_demand) continue;
      best = engine;
      best_copy = c;
      least_demand = other.demand;
    }
  }
  if (best < 0) return false;
  fleet.RemoveCopy(best, best_copy);
  fleet.AddCopy(best, model, false);
  ++new_loads_;
  return true;
}

auto Planner::RollOutVersions(PlanningState& fleet) -> void {
  for (std::size_t model = 0; model < fleet.models.size(); ++model) {
    RollOutModel(static_cast<std::int32_t>(model), fleet);
  }
}

// Performs one step of a model's rolling update. The first copy of the new
// version is placed beside the outdated ones. Then, engine by engine, the
// outdated copy is removed once the new one is resident there, or replaced
// where memory does not hold both.
auto Planner::RollOutModel(std::int32_t model, PlanningState& fleet) -> void {
  const auto hosts = fleet.models[model].hosts;
  const bool has_outdated =
      std::any_of(hosts.begin(), hosts.end(), [&](std::int32_t host) {
        return HasOutdatedCopy(fleet.engines[host], model);
      });
  if (!has_outdated) return;
  if (!fleet.IsServedOrLoading(model, true)) {
    if (!PlaceCopy(model, fleet)) RelocateBlockingModel(model, fleet);
    return;
  }
  if (fleet.ResidentHostCount(model, true) == 0) return;
  for (const auto host : hosts) {
    auto& copies = fleet.engines[host].copies;
    const auto old = std::find_if(
        copies.begin(), copies.end(),
        [&](const auto& copy) { return copy.model == model && !copy.current; });
    if (old == copies.end()) continue;
    const bool has_both = fleet.HasCopy(host, model, true);
    const auto index = static_cast<std::size_t>(old - copies.begin());
    if (has_both) {
      const bool new_copy_resident =
          std::any_of(copies.begin(), copies.end(), [&](const auto& copy) {
            return copy.model == model && copy.current && copy.resident;
          });
      if (!new_copy_resident) return;
      fleet.RemoveCopy(host, index);
      continue;
    }
    if (fleet.FreeBytesAfter(host, model) < 0) fleet.RemoveCopy(host, index);
    fleet.AddCopy(host, model, false);
    ++new_loads_;
    return;
  }
}

// Cancels pending loads of models whose other hosts have enough spare capacity.
auto Planner::CancelUnneededLoads(PlanningState& fleet, PlanResult& result)
    -> void {
  if (pending_loads_ == 0) return;
  for (std::size_t i = 0; i < fleet.engines.size(); ++i) {
    const auto engine = static_cast<std::int32_t>(i);
    if (!fleet.engines[i].input->usable) continue;
    for (std::size_t c = fleet.engines[i].copies.size(); c-- > 0;) {
      const auto& copy = fleet.engines[i].copies[c];
      if (copy.resident || copy.surplus) continue;
      if (HasOutdatedCopy(fleet.engines[i], copy.model)) continue;
      if (fleet.ResidentHostCount(copy.model, true) == 0) continue;
      const auto& model = fleet.models[copy.model];
      const auto hosts = static_cast<std::int64_t>(model.hosts.size());
      if (hosts - 1 < std::max<std::int64_t>(1, model.input->min_copies)) {
        continue;
      }
      double headroom = 0;
      for (const auto host : model.hosts) {
        if (host == engine) continue;
        headroom += std::max(
            0.0, options_.utilisation_limit - fleet.engines[host].load);
      }
      // Hysteresis: requires twice the capacity, so that a load is not
      // alternately started and cancelled.
      if (headroom < 2 * copy.expected_load + options_.min_overload) continue;
      fleet.RemoveCopy(engine, c);
      ++result.loads_cancelled;
      --pending_loads_;
    }
  }
}

auto Planner::RelieveOverload(PlanningState& fleet) -> void {
  auto order = ModelsByDemand(fleet);
  std::vector<double> excess(fleet.models.size());
  for (const auto model : order) excess[model] = fleet.ExcessDemand(model);
  std::stable_sort(order.begin(), order.end(),
                   [&](auto a, auto b) { return excess[a] > excess[b]; });
  for (const auto model : order) {
    while (pending_loads_ + new_loads_ < options_.max_pending_loads) {
      const auto choice = ChooseEngineForExcess(model, fleet);
      if (!choice) break;
      fleet.Evict(choice->engine, choice->eviction);
      fleet.AddCopy(choice->engine, model, false);
      fleet.ShiftExcessDemand(choice->engine, model, choice->gain);
      ++new_loads_;
    }
  }
}

// The engine where a further copy of an overloaded model has the largest net
// gain, or nullopt if no engine has a positive one.
auto Planner::ChooseEngineForExcess(std::int32_t model,
                                    const PlanningState& fleet) const
    -> std::optional<PlacementChoice> {
  const auto excess = fleet.ExcessDemand(model);
  if (excess < options_.min_overload) return std::nullopt;
  PlacementChoice best;
  for (std::size_t i = 0; i < fleet.engines.size(); ++i) {
    const auto engine = static_cast<std::int32_t>(i);
    const auto& planned = fleet.engines[i];
    if (!planned.input->usable || fleet.HasCopy(engine, model, false)) continue;
    const auto headroom = options_.utilisation_limit - planned.load;
    if (headroom <= 0) continue;
    const auto eviction = fleet.PlanEviction(engine, model, false);
    if (!eviction) continue;
    const auto gain = std::min(excess, headroom);
    const auto cost =
        options_.copy_cost_engine_seconds / ToSeconds(options_.payback_period);
    const auto net = gain - eviction->loss - cost;
    if (net <= 0) continue;
    const auto bonus = fleet.HasCopyInZone(model, planned.zone)
                           ? 0
                           : options_.new_zone_bonus / 4;
    const auto score = net + bonus;
    if (best.engine < 0 || score > best.score) {
      best = PlacementChoice{engine, *eviction, score, gain};
    }
  }
  if (best.engine < 0) return std::nullopt;
  return best;
}

// Uses free memory for second copies, in another availability zone, of models
// that have only one host. Leaves half of max_pending_loads to copies that
// demand requires.
auto Planner::AddSurplusCopies(PlanningState& fleet) -> void {
  std::int64_t surplus_copies = 0;
  auto order = ModelsByDemand(fleet);
  std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) {
    const auto per_copy = [&](auto model) {
      const auto hosts = fleet.models[model].hosts.size();
      return fleet.models[model].input->demand / static_cast<double>(hosts + 1);
    };
    return per_copy(a) > per_copy(b);
  });
  for (const auto model : order) {
    if (surplus_copies >= options_.max_surplus_copies_per_pass) return;
    if (pending_loads_ + new_loads_ >= options_.max_pending_loads / 2) return;
    const auto& hosts = fleet.models[model].hosts;
    if (hosts.empty() || hosts.size() > 1) continue;
    if (fleet.models[model].input->min_copies == 0) continue;
    std::int32_t best = -1;
    for (std::size_t i = 0; i < fleet.engines.size(); ++i) {
      const auto engine = static_cast<std::int32_t>(i);
      const auto& planned = fleet.engines[i];
      if (!planned.input->usable || fleet.HasCopy(engine, model, false)) {
        continue;
      }
      if (fleet.HasCopyInZone(model, planned.zone)) continue;
      if (fleet.FreeBytesAfter(engine, model) < 0) continue;
      if (best < 0 || planned.load < fleet.engines[best].load) best = engine;
    }
    if (best < 0) continue;
    fleet.AddCopy(best, model, true);
    ++new_loads_;
    ++surplus_copies;
  }
}

// Keeps the plan for the next pass and reports the changed targets.
auto Planner::CommitPlan(const PlanInput& input, PlanningState& fleet,
                         PlanResult& result) -> void {
  for (auto& engine : fleet.engines) {
    auto& plan = plans_[engine.input->id];
    auto target = MakeTarget(input, fleet, engine);
    const bool pending =
        std::any_of(engine.copies.begin(), engine.copies.end(),
                    [](const auto& copy) { return !copy.resident; });
    if (pending || !SameItems(target, plan.target)) {
      result.targets[engine.input->id] = target;
    }
    plan.copies = std::move(engine.copies);
    plan.target = std::move(target);
    // Until the next pass, `model` is the item's position in the target (see
    // CarryOverCopies).
    for (auto& copy : plan.copies) {
      const auto& id = input.models[copy.model].id;
      const auto item =
          std::find_if(plan.target.items.begin(), plan.target.items.end(),
                       [&](const auto& candidate) {
                         return candidate.key.model == id &&
                                candidate.key.version == copy.version &&
                                !candidate.key.IsAdapter();
                       });
      copy.model = static_cast<std::int32_t>(item - plan.target.items.begin());
    }
  }
}

auto Planner::MakeTarget(const PlanInput& input, const PlanningState& fleet,
                         const PlannedEngine& engine) const -> EngineTarget {
  EngineTarget target;
  for (const auto& copy : engine.copies) {
    const auto& model = input.models[copy.model];
    target.kv_bytes = std::max(target.kv_bytes, model.kv_bytes);
    TargetItem item{{model.id, copy.version, AdapterId()},
                    model.weight_bytes,
                    model.demand};
    if (!copy.resident) {
      if (fleet.ResidentHostCount(copy.model, false) == 0) {
        item.load_priority += kUnreachablePriority;
      } else if (fleet.ResidentHostCount(copy.model, true) == 0) {
        item.load_priority += kMissingVersionPriority;
      }
    }
    target.items.push_back(std::move(item));
  }
  std::stable_sort(target.items.begin(), target.items.end(),
                   [](const auto& a, const auto& b) {
                     return a.load_priority > b.load_priority;
                   });
  for (const auto& placed : engine.adapters) {
    const auto& adapter = input.adapters[placed.adapter];
    target.items.push_back({{adapter.base, placed.version, adapter.id},
                            adapter.bytes,
                            adapter.demand});
  }
  return target;
}

}  // namespace dotterellug
