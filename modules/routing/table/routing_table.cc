#include "routing/table/routing_table.h"

#include <algorithm>
#include <limits>

#include "core/hash/hash.h"

namespace dotterellug {
namespace {

// Maximum number of upstreams with a slot.
constexpr std::size_t kMaxSlots = std::numeric_limits<UpstreamSlot>::max();

template <typename Map, typename Id>
auto AssignIndex(Map& indices, const Id& id) -> std::uint32_t {
  return indices.emplace(id, static_cast<std::uint32_t>(indices.size()))
      .first->second;
}

template <typename Map, typename Id>
auto FindIndex(const Map& indices, const Id& id)
    -> std::optional<std::uint32_t> {
  const auto found = indices.find(id);
  if (found == indices.end()) return std::nullopt;
  return found->second;
}

auto ZoneIsDisabled(const ServingDocument& document,
                    const AvailabilityZoneId& zone) -> bool {
  const auto found = document.zones.find(zone);
  return found != document.zones.end() && found->second.out;
}

}  // namespace

auto RoleSupportsPhase(EngineRole role, RequestPhase phase) -> bool {
  if (role == EngineRole::kBoth) return true;
  if (phase == RequestPhase::kPrefill) return role == EngineRole::kPrefill;
  if (phase == RequestPhase::kDecode) return role == EngineRole::kDecode;
  return false;
}

auto RoutingTable::Build(const RoutingInputs& inputs,
                         const RoutingTable* previous)
    -> std::shared_ptr<const RoutingTable> {
  auto table = std::make_shared<RoutingTable>();
  table->AssignSlots(inputs, previous);
  for (const auto& status : inputs.statuses) {
    const auto upstream = inputs.document->upstreams.find(status.id);
    if (upstream == inputs.document->upstreams.end()) continue;
    if (table->slots_and_loads_.count(status.id) == 0) continue;
    if (status.concurrency_limit) {
      table->slots_and_loads_[status.id].load->SetConcurrencyLimit(
          *status.concurrency_limit);
    }
    if (status.state != UpstreamState::kLive) continue;
    if (ZoneIsDisabled(*inputs.document, upstream->second.zone)) continue;
    table->AddEntry(upstream->second, status, inputs);
  }
  return table;
}

auto RoutingTable::AssignSlots(const RoutingInputs& inputs,
                               const RoutingTable* previous) -> void {
  std::vector<bool> used(kMaxSlots, false);
  for (const auto& [id, upstream] : inputs.document->upstreams) {
    if (!previous) break;
    const auto found = previous->slots_and_loads_.find(id);
    if (found == previous->slots_and_loads_.end()) continue;
    slots_and_loads_.emplace(id, found->second);
    used[found->second.slot] = true;
  }
  std::size_t next = 0;
  for (const auto& [id, upstream] : inputs.document->upstreams) {
    if (slots_and_loads_.count(id) > 0) continue;
    while (next < kMaxSlots && used[next]) ++next;
    // The prefix index has no slot for further upstreams; they receive no
    // requests.
    if (next == kMaxSlots) break;
    used[next] = true;
    new_slots_.push_back(static_cast<UpstreamSlot>(next));
    slots_and_loads_.emplace(
        id,
        SlotAndLoad{static_cast<UpstreamSlot>(next),
                    std::make_shared<UpstreamLoad>(upstream.cold_concurrency)});
  }
}

auto RoutingTable::AddEntry(const Upstream& upstream,
                            const UpstreamStatus& status,
                            const RoutingInputs& inputs) -> void {
  const auto position = static_cast<std::uint32_t>(entries_.size());
  const auto& slot_and_load = slots_and_loads_[status.id];
  const auto zone = inputs.zone_latency_ms.find(upstream.zone);
  RoutingEntry entry;
  entry.id = status.id;
  entry.slot = slot_and_load.slot;
  entry.load = slot_and_load.load;
  entry.role = status.role;
  entry.zone_latency_ms = zone == inputs.zone_latency_ms.end()
                              ? inputs.default_zone_latency_ms
                              : zone->second;
  entry.id_hash = Hash64(status.id.Value());
  for (const auto& model : status.models) {
    entry.models.push_back(AssignIndex(model_indices_, model));
  }
  for (const auto& adapter : status.adapters) {
    entry.adapters.push_back(AssignIndex(adapter_indices_, adapter));
  }
  std::sort(entry.models.begin(), entry.models.end());
  entry.models.erase(std::unique(entry.models.begin(), entry.models.end()),
                     entry.models.end());
  std::sort(entry.adapters.begin(), entry.adapters.end());
  by_model_.resize(model_indices_.size());
  for (const auto model : entry.models) {
    for (std::size_t phase = 0; phase < kRequestPhases; ++phase) {
      if (RoleSupportsPhase(entry.role, static_cast<RequestPhase>(phase))) {
        by_model_[model][phase].push_back(position);
      }
    }
  }
  if (upstream.kind == UpstreamKind::kService) {
    by_pool_[upstream.pool].push_back(position);
  }
  if (position_by_slot_.size() <= entry.slot) {
    position_by_slot_.resize(entry.slot + 1U, 0);
  }
  position_by_slot_[entry.slot] = position + 1;
  entries_.push_back(std::move(entry));
}

auto RoutingTable::ForModel(const ModelId& model, RequestPhase phase) const
    -> const CandidateList* {
  const auto index = ModelIndex(model);
  if (!index) return nullptr;
  const auto& list = by_model_[*index][static_cast<std::size_t>(phase)];
  return list.empty() ? nullptr : &list;
}

auto RoutingTable::ForPool(const PoolId& pool) const -> const CandidateList* {
  const auto found = by_pool_.find(pool);
  return found == by_pool_.end() ? nullptr : &found->second;
}

auto RoutingTable::ModelIndex(const ModelId& model) const
    -> std::optional<std::uint32_t> {
  return FindIndex(model_indices_, model);
}

auto RoutingTable::AdapterIndex(const AdapterId& adapter) const
    -> std::optional<std::uint32_t> {
  return FindIndex(adapter_indices_, adapter);
}

auto RoutingTable::PositionOfSlot(UpstreamSlot slot) const
    -> std::optional<std::uint32_t> {
  if (slot >= position_by_slot_.size()) return std::nullopt;
  if (position_by_slot_[slot] == 0) return std::nullopt;
  return position_by_slot_[slot] - 1;
}

auto RoutingTable::LoadOf(const UpstreamId& upstream) const
    -> std::shared_ptr<UpstreamLoad> {
  const auto found = slots_and_loads_.find(upstream);
  return found == slots_and_loads_.end() ? nullptr : found->second.load;
}

auto RoutingTable::SlotOf(const UpstreamId& upstream) const
    -> std::optional<UpstreamSlot> {
  const auto found = slots_and_loads_.find(upstream);
  if (found == slots_and_loads_.end()) return std::nullopt;
  return found->second.slot;
}

}  // namespace dotterellug
