#include <algorithm>
#include <unordered_map>

#include "placement/planner/planner.h"

namespace dotterellug {

namespace {

// Free memory of the engine after its KV cache, models and adapters.
auto FreeBytes(const PlanInput& input, const PlanningState& fleet,
               const PlannedEngine& engine) -> Bytes {
  Bytes kv_bytes;
  Bytes used;
  for (const auto& copy : engine.copies) {
    const auto& model = *fleet.models[copy.model].input;
    kv_bytes = std::max(kv_bytes, model.kv_bytes);
    used += model.weight_bytes;
  }
  for (const auto& placed : engine.adapters) {
    used += input.adapters[placed.adapter].bytes;
  }
  return engine.input->memory - kv_bytes - used;
}

}  // namespace

auto Planner::PlaceAdapters(const PlanInput& input, PlanningState& fleet,
                            PlanResult& result) -> void {
  std::unordered_map<ModelId, std::int32_t> models;
  for (std::size_t i = 0; i < input.models.size(); ++i) {
    models.emplace(input.models[i].id, static_cast<std::int32_t>(i));
  }
  std::vector<std::int32_t> order(input.adapters.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    order[i] = static_cast<std::int32_t>(i);
  }
  std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) {
    return input.adapters[a].demand > input.adapters[b].demand;
  });
  std::vector<Bytes> free;
  free.reserve(fleet.engines.size());
  for (auto& engine : fleet.engines) {
    free.push_back(TrimAdapters(input, fleet, engine));
  }
  // Places a first copy of every adapter before any second copy.
  for (const bool first_pass : {true, false}) {
    for (const auto adapter : order) {
      const auto base = models.find(input.adapters[adapter].base);
      if (base == models.end()) continue;
      const auto copies =
          PlaceAdapter(input, fleet, adapter, base->second, first_pass, free);
      if (first_pass && copies == 0) ++result.unplaced_adapters;
    }
  }
}

// Removes the adapters with the least demand until the others fit. Returns the
// free memory.
auto Planner::TrimAdapters(const PlanInput& input, const PlanningState& fleet,
                           PlannedEngine& engine) -> Bytes {
  std::stable_sort(engine.adapters.begin(), engine.adapters.end(),
                   [&](const auto& a, const auto& b) {
                     return input.adapters[a.adapter].demand >
                            input.adapters[b.adapter].demand;
                   });
  auto free = FreeBytes(input, fleet, engine);
  while (free < Bytes(0) && !engine.adapters.empty()) {
    free += input.adapters[engine.adapters.back().adapter].bytes;
    engine.adapters.pop_back();
  }
  return free;
}

// Places the adapter on the engines of its base model that have enough free
// memory: on one if `first_copy_only`, otherwise on all. Returns the number of
// engines that have the adapter.
auto Planner::PlaceAdapter(const PlanInput& input, PlanningState& fleet,
                           std::int32_t adapter, std::int32_t base,
                           bool first_copy_only, std::vector<Bytes>& free)
    -> std::int64_t {
  const auto bytes = input.adapters[adapter].bytes;
  std::int64_t count = 0;
  auto hosts = fleet.models[base].hosts;
  for (const auto host : hosts) {
    const auto& placed = fleet.engines[host].adapters;
    count += std::count_if(placed.begin(), placed.end(), [&](const auto& item) {
      return item.adapter == adapter;
    });
  }
  if (first_copy_only && count > 0) return count;
  std::stable_sort(hosts.begin(), hosts.end(),
                   [&](auto a, auto b) { return free[a] > free[b]; });
  for (const auto host : hosts) {
    auto& engine = fleet.engines[host];
    const bool present = std::any_of(
        engine.adapters.begin(), engine.adapters.end(),
        [&](const auto& placed) { return placed.adapter == adapter; });
    if (present || free[host] < bytes) continue;
    const auto copy =
        std::find_if(engine.copies.begin(), engine.copies.end(),
                     [&](const auto& item) { return item.model == base; });
    engine.adapters.push_back({adapter, copy->version});
    free[host] -= bytes;
    ++count;
    if (first_copy_only) break;
  }
  return count;
}

}  // namespace dotterellug
