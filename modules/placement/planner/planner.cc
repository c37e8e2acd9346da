#include "placement/planner/planner.h"

#include <algorithm>
#include <map>
#include <utility>

namespace dotterellug {

namespace {

// Values that order loads: an unreachable model before a missing version before
// any other copy.
constexpr double kUnreachableValue = 1e6;
constexpr double kMissingVersionValue = 1e3;

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
  return std::any_of(
      engine.held.begin(), engine.held.end(), [&](const HeldItem& item) {
        return item.resident && item.key.model == model &&
               item.key.version == version && !item.key.IsAdapter();
      });
}

auto HasOldCopy(const WorkEngine& engine, std::int32_t model) -> bool {
  return std::any_of(engine.copies.begin(), engine.copies.end(),
                     [&](const WorkCopy& copy) {
                       return copy.model == model && !copy.current;
                     });
}

auto ByDemand(const PlanWork& work) -> std::vector<std::int32_t> {
  std::vector<std::int32_t> order(work.models.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    order[i] = static_cast<std::int32_t>(i);
  }
  std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) {
    return work.models[a].input->demand > work.models[b].input->demand;
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
  PlanWork work(now, options_);
  added_ = 0;
  Build(now, input, work);
  work.SplitLoads();
  if (input.store_available) {
    CancelUnneeded(work, result);
    PlaceMissing(now, work, result);
    RollVersions(work);
    work.SplitLoads();
    RelieveOverload(work);
    UseFreeMemory(work);
    PlaceAdapters(input, work, result);
  }
  result.loads_started = added_;
  Publish(input, work, result);
  return result;
}

auto Planner::Build(Timestamp now, const PlanInput& input, PlanWork& work)
    -> void {
  const auto index = IndexById(input.models);
  const auto adapters = IndexById(input.adapters);
  std::map<AvailabilityZoneId, std::int32_t> zones;
  for (const auto& model : input.models) work.models.push_back({&model, {}});
  work.engines.reserve(input.engines.size());
  pending_ = 0;
  pending_spare_ = 0;
  std::unordered_map<UpstreamId, EnginePlan> kept;
  for (const auto& engine : input.engines) {
    const auto zone =
        zones.emplace(engine.zone, static_cast<std::int32_t>(zones.size()));
    auto found = plans_.find(engine.id);
    EnginePlan plan;
    if (found == plans_.end()) {
      FirstPlan(now, engine, plan);
    } else {
      plan = std::move(found->second);
    }
    WorkEngine working{&engine, zone.first->second, 0, {}, {}};
    KeepCopies(input, index, plan, working);
    KeepAdapters(input, adapters, plan, working);
    work.engines.push_back(std::move(working));
    kept.emplace(engine.id, std::move(plan));
  }
  plans_ = std::move(kept);
  work.IndexHosts();
}

// The plan outlives the input, so its copies refer to the model by the position
// of their item in the plan's target.
auto Planner::KeepCopies(const PlanInput& input, const ModelIndex& index,
                         EnginePlan& plan, WorkEngine& engine) -> void {
  for (auto& copy : plan.copies) {
    const auto model = index.find(plan.target.items[copy.model].key.model);
    if (model == index.end()) continue;
    copy.model = model->second;
    const auto& wanted = input.models[copy.model];
    copy.current = copy.version == wanted.version;
    copy.resident = IsResident(*engine.input, wanted.id, copy.version);
    if (!copy.resident && engine.input->usable) {
      ++pending_;
      pending_spare_ += copy.spare ? 1 : 0;
    }
    engine.copies.push_back(std::move(copy));
  }
}

auto Planner::KeepAdapters(const PlanInput& input, const AdapterIndex& index,
                           const EnginePlan& plan, WorkEngine& engine) -> void {
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

auto Planner::FirstPlan(Timestamp now, const PlannerEngine& engine,
                        EnginePlan& plan) const -> void {
  for (const auto& item : engine.held) {
    if (!item.key.IsAdapter()) {
      WorkCopy copy;
      copy.model = static_cast<std::int32_t>(plan.target.items.size());
      copy.version = item.key.version;
      copy.placed_at = now - options_.min_residence;
      plan.copies.push_back(std::move(copy));
    }
    plan.target.items.push_back({item.key, Bytes(0), 0});
  }
}

auto Planner::PlaceMissing(Timestamp now, PlanWork& work, PlanResult& result)
    -> void {
  for (const auto model : ByDemand(work)) {
    const auto& wanted = *work.models[model].input;
    const bool needed =
        wanted.min_copies > 0 || wanted.demand >= options_.idle_demand;
    if (!needed) continue;
    if (work.ResidentHosts(model, false) == 0) ++result.unreachable_models;
    if (work.Served(model, false)) continue;
    if (PlaceOne(model, work)) continue;
    if (Repack(model, work)) continue;
    if (TakeTurn(now, model, work)) continue;
    ++result.unplaced_models;
  }
  for (const auto model : ByDemand(work)) {
    const auto wanted = work.models[model].input->min_copies;
    const auto hosts =
        static_cast<std::int64_t>(work.models[model].hosts.size());
    if (hosts >= 1 && hosts < wanted) PlaceOne(model, work);
  }
}

// Places the model where that costs least, on an engine without a copy.
auto Planner::PlaceOne(std::int32_t model, PlanWork& work) -> bool {
  Choice best;
  for (std::size_t i = 0; i < work.engines.size(); ++i) {
    const auto engine = static_cast<std::int32_t>(i);
    const auto& candidate = work.engines[i];
    if (!candidate.input->usable || work.Hosts(engine, model, true)) continue;
    const auto eviction = work.MakeRoom(engine, model, true);
    if (!eviction) continue;
    const auto bonus =
        work.HostsInZone(model, candidate.zone) ? 0 : options_.zone_bonus;
    const auto score = bonus - candidate.load - 4 * eviction->loss -
                       0.1 * static_cast<double>(eviction->copies.size());
    if (best.engine < 0 || score > best.score) {
      best = Choice{engine, *eviction, score, 0};
    }
  }
  if (best.engine < 0) return false;
  work.Evict(best.engine, best.eviction);
  work.AddCopy(best.engine, model, false);
  ++added_;
  return true;
}

// Copies a model that blocks the room to an engine where it fits; a later plan
// removes the first copy once the second is resident.
auto Planner::Repack(std::int32_t model, PlanWork& work) -> bool {
  // One at a time: the room that an earlier one makes may suffice.
  if (pending_spare_ > 0) return true;
  for (std::size_t i = 0; i < work.engines.size(); ++i) {
    const auto engine = static_cast<std::int32_t>(i);
    if (!work.engines[i].input->usable) continue;
    const auto lacking = -work.RoomAfter(engine, model);
    for (const auto& copy : work.engines[i].copies) {
      const auto blocking = copy.model;
      if (work.models[blocking].input->weight_bytes.Value() < lacking) continue;
      if (work.models[blocking].hosts.size() > 1) continue;
      for (std::size_t j = 0; j < work.engines.size(); ++j) {
        const auto other = static_cast<std::int32_t>(j);
        if (j == i || !work.engines[j].input->usable) continue;
        if (work.RoomAfter(other, blocking) < 0) continue;
        work.AddCopy(other, blocking, true);
        ++added_;
        ++pending_spare_;
        return true;
      }
    }
  }
  return false;
}

// Memory does not hold all models: they take turns. The model replaces the copy
// with least demand that had its turn; a copy with more demand stays longer.
auto Planner::TakeTurn(Timestamp now, std::int32_t model, PlanWork& work)
    -> bool {
  const auto demand = work.models[model].input->demand;
  if (demand < options_.idle_demand) return false;
  std::int32_t best = -1;
  std::size_t best_copy = 0;
  double least = 0;
  for (std::size_t i = 0; i < work.engines.size(); ++i) {
    const auto engine = static_cast<std::int32_t>(i);
    if (!work.engines[i].input->usable) continue;
    const auto lacking = -work.RoomAfter(engine, model);
    for (std::size_t c = 0; c < work.engines[i].copies.size(); ++c) {
      const auto& copy = work.engines[i].copies[c];
      const auto& other = *work.models[copy.model].input;
      if (other.weight_bytes.Value() < lacking) continue;
      const auto turn =
          other.demand < demand ? options_.turn : 4 * options_.turn;
      const bool idle = other.demand < options_.idle_demand;
      if (!idle && now - copy.placed_at < turn) continue;
      if (best >= 0 && other.demand >= least) continue;
      best = engine;
      best_copy = c;
      least = other.demand;
    }
  }
  if (best < 0) return false;
  work.RemoveCopy(best, best_copy);
  work.AddCopy(best, model, false);
  ++added_;
  return true;
}

auto Planner::RollVersions(PlanWork& work) -> void {
  for (std::size_t model = 0; model < work.models.size(); ++model) {
    RollModel(static_cast<std::int32_t>(model), work);
  }
}

// One step of a model's change of version: the first copy of the new version is
// placed beside the old ones; then engine by engine the old copy goes once the
// new one is resident there, or is replaced where both do not fit.
auto Planner::RollModel(std::int32_t model, PlanWork& work) -> void {
  const auto hosts = work.models[model].hosts;
  const bool has_old = std::any_of(
      hosts.begin(), hosts.end(),
      [&](std::int32_t host) { return HasOldCopy(work.engines[host], model); });
  if (!has_old) return;
  if (!work.Served(model, true)) {
    if (!PlaceOne(model, work)) Repack(model, work);
    return;
  }
  if (work.ResidentHosts(model, true) == 0) return;
  for (const auto host : hosts) {
    auto& copies = work.engines[host].copies;
    const auto old = std::find_if(
        copies.begin(), copies.end(),
        [&](const auto& copy) { return copy.model == model && !copy.current; });
    if (old == copies.end()) continue;
    const bool both = work.Hosts(host, model, true);
    const auto index = static_cast<std::size_t>(old - copies.begin());
    if (both) {
      const bool ready =
          std::any_of(copies.begin(), copies.end(), [&](const auto& copy) {
            return copy.model == model && copy.current && copy.resident;
          });
      if (!ready) return;
      work.RemoveCopy(host, index);
      continue;
    }
    if (work.RoomAfter(host, model) < 0) work.RemoveCopy(host, index);
    work.AddCopy(host, model, false);
    ++added_;
    return;
  }
}

auto Planner::CancelUnneeded(PlanWork& work, PlanResult& result) -> void {
  if (pending_ == 0) return;
  for (std::size_t i = 0; i < work.engines.size(); ++i) {
    const auto engine = static_cast<std::int32_t>(i);
    if (!work.engines[i].input->usable) continue;
    for (std::size_t c = work.engines[i].copies.size(); c-- > 0;) {
      const auto& copy = work.engines[i].copies[c];
      if (copy.resident || copy.spare) continue;
      if (HasOldCopy(work.engines[i], copy.model)) continue;
      if (work.ResidentHosts(copy.model, true) == 0) continue;
      const auto& model = work.models[copy.model];
      const auto hosts = static_cast<std::int64_t>(model.hosts.size());
      if (hosts - 1 < std::max<std::int64_t>(1, model.input->min_copies)) {
        continue;
      }
      double spare = 0;
      for (const auto host : model.hosts) {
        if (host == engine) continue;
        spare +=
            std::max(0.0, options_.utilisation_limit - work.engines[host].load);
      }
      // Twice the room, so that a load is not started and cancelled in turn.
      if (spare < 2 * copy.share + options_.min_gain) continue;
      work.RemoveCopy(engine, c);
      ++result.loads_cancelled;
      --pending_;
    }
  }
}

auto Planner::RelieveOverload(PlanWork& work) -> void {
  auto order = ByDemand(work);
  std::vector<double> relief(work.models.size());
  for (const auto model : order) relief[model] = work.Relief(model);
  std::stable_sort(order.begin(), order.end(),
                   [&](auto a, auto b) { return relief[a] > relief[b]; });
  for (const auto model : order) {
    while (pending_ + added_ < options_.max_pending) {
      const auto choice = BestRelief(model, work);
      if (!choice) break;
      work.Evict(choice->engine, choice->eviction);
      work.AddCopy(choice->engine, model, false);
      work.Relieve(choice->engine, model, choice->gain);
      ++added_;
    }
  }
}

auto Planner::BestRelief(std::int32_t model, const PlanWork& work) const
    -> std::optional<Choice> {
  const auto relief = work.Relief(model);
  if (relief < options_.min_gain) return std::nullopt;
  Choice best;
  for (std::size_t i = 0; i < work.engines.size(); ++i) {
    const auto engine = static_cast<std::int32_t>(i);
    const auto& candidate = work.engines[i];
    if (!candidate.input->usable || work.Hosts(engine, model, false)) continue;
    const auto spare = options_.utilisation_limit - candidate.load;
    if (spare <= 0) continue;
    const auto eviction = work.MakeRoom(engine, model, false);
    if (!eviction) continue;
    const auto gain = std::min(relief, spare);
    const auto cost = options_.move_cost / ToSeconds(options_.horizon);
    const auto net = gain - eviction->loss - cost;
    if (net <= 0) continue;
    const auto bonus =
        work.HostsInZone(model, candidate.zone) ? 0 : options_.zone_bonus / 4;
    const auto score = net + bonus;
    if (best.engine < 0 || score > best.score) {
      best = Choice{engine, *eviction, score, gain};
    }
  }
  if (best.engine < 0) return std::nullopt;
  return best;
}

auto Planner::UseFreeMemory(PlanWork& work) -> void {
  std::int64_t fills = 0;
  auto order = ByDemand(work);
  std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) {
    const auto per_copy = [&](auto model) {
      const auto hosts = work.models[model].hosts.size();
      return work.models[model].input->demand / static_cast<double>(hosts + 1);
    };
    return per_copy(a) > per_copy(b);
  });
  for (const auto model : order) {
    if (fills >= options_.max_fills_per_plan) return;
    if (pending_ + added_ >= options_.max_pending / 2) return;
    const auto& hosts = work.models[model].hosts;
    if (hosts.empty() || hosts.size() > 1) continue;
    if (work.models[model].input->min_copies == 0) continue;
    std::int32_t best = -1;
    for (std::size_t i = 0; i < work.engines.size(); ++i) {
      const auto engine = static_cast<std::int32_t>(i);
      const auto& candidate = work.engines[i];
      if (!candidate.input->usable || work.Hosts(engine, model, false)) {
        continue;
      }
      if (work.HostsInZone(model, candidate.zone)) continue;
      if (work.RoomAfter(engine, model) < 0) continue;
      if (best < 0 || candidate.load < work.engines[best].load) best = engine;
    }
    if (best < 0) continue;
    work.AddCopy(best, model, true);
    ++added_;
    ++fills;
  }
}

auto Planner::Publish(const PlanInput& input, PlanWork& work,
                      PlanResult& result) -> void {
  for (auto& engine : work.engines) {
    auto& plan = plans_[engine.input->id];
    auto target = TargetOf(input, work, engine);
    const bool pending =
        std::any_of(engine.copies.begin(), engine.copies.end(),
                    [](const auto& copy) { return !copy.resident; });
    if (pending || !SameItems(target, plan.target)) {
      result.changed[engine.input->id] = target;
    }
    plan.copies = std::move(engine.copies);
    plan.target = std::move(target);
    // From here a copy's model is its position in the target (see Build).
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

auto Planner::TargetOf(const PlanInput& input, const PlanWork& work,
                       const WorkEngine& engine) const -> EngineTarget {
  EngineTarget target;
  for (const auto& copy : engine.copies) {
    const auto& model = input.models[copy.model];
    target.kv_bytes = std::max(target.kv_bytes, model.kv_bytes);
    TargetItem item{{model.id, copy.version, AdapterId()},
                    model.weight_bytes,
                    model.demand};
    if (!copy.resident) {
      if (work.ResidentHosts(copy.model, false) == 0) {
        item.value += kUnreachableValue;
      } else if (work.ResidentHosts(copy.model, true) == 0) {
        item.value += kMissingVersionValue;
      }
    }
    target.items.push_back(std::move(item));
  }
  std::stable_sort(
      target.items.begin(), target.items.end(),
      [](const auto& a, const auto& b) { return a.value > b.value; });
  for (const auto& held : engine.adapters) {
    const auto& adapter = input.adapters[held.adapter];
    target.items.push_back({{adapter.base, held.version, adapter.id},
                            adapter.bytes,
                            adapter.demand});
  }
  return target;
}

}  // namespace dotterellug
