#include "routing/table/routing_table.h"

#include <algorithm>
#include <limits>

#include "core/hash/hash.h"

namespace dotterellug {
namespace {

constexpr std::size_t kMaxSlots = std::numeric_limits<UpstreamSlot>::max();

template <typename Map, typename Id>
auto Number(Map& numbers, const Id& id) -> std::uint32_t {
  return numbers.emplace(id, static_cast<std::uint32_t>(numbers.size()))
      .first->second;
}

template <typename Map, typename Id>
auto Find(const Map& numbers, const Id& id) -> std::optional<std::uint32_t> {
  const auto found = numbers.find(id);
  if (found == numbers.end()) return std::nullopt;
  return found->second;
}

auto ZoneIsOut(const ServingDocument& document, const AvailabilityZoneId& zone)
    -> bool {
  const auto found = document.zones.find(zone);
  return found != document.zones.end() && found->second.out;
}

}  // namespace

auto RoleRuns(EngineRole role, RequestStage stage) -> bool {
  if (role == EngineRole::kBoth) return true;
  if (stage == RequestStage::kPrefill) return role == EngineRole::kPrefill;
  if (stage == RequestStage::kDecode) return role == EngineRole::kDecode;
  return false;
}

auto RoutingTable::Build(const RoutingInputs& inputs,
                         const RoutingTable* previous)
    -> std::shared_ptr<const RoutingTable> {
  auto table = std::make_shared<RoutingTable>();
  table->KeepKnown(inputs, previous);
  for (const auto& status : inputs.statuses) {
    const auto upstream = inputs.document->upstreams.find(status.id);
    if (upstream == inputs.document->upstreams.end()) continue;
    if (table->known_.count(status.id) == 0) continue;
    if (status.allowance) {
      table->known_[status.id].load->SetAllowance(*status.allowance);
    }
    if (status.state != UpstreamState::kLive) continue;
    if (ZoneIsOut(*inputs.document, upstream->second.zone)) continue;
    table->AddEntry(upstream->second, status, inputs);
  }
  return table;
}

auto RoutingTable::KeepKnown(const RoutingInputs& inputs,
                             const RoutingTable* previous) -> void {
  std::vector<bool> used(kMaxSlots, false);
  for (const auto& [id, upstream] : inputs.document->upstreams) {
    if (!previous) break;
    const auto found = previous->known_.find(id);
    if (found == previous->known_.end()) continue;
    known_.emplace(id, found->second);
    used[found->second.slot] = true;
  }
  std::size_t next = 0;
  for (const auto& [id, upstream] : inputs.document->upstreams) {
    if (known_.count(id) > 0) continue;
    while (next < kMaxSlots && used[next]) ++next;
    // Upstreams beyond the slots of the prefix index get no work.
    if (next == kMaxSlots) break;
    used[next] = true;
    new_slots_.push_back(static_cast<UpstreamSlot>(next));
    known_.emplace(
        id, Known{static_cast<UpstreamSlot>(next),
                  std::make_shared<UpstreamLoad>(upstream.cold_concurrency)});
  }
}

auto RoutingTable::AddEntry(const Upstream& upstream,
                            const UpstreamStatus& status,
                            const RoutingInputs& inputs) -> void {
  const auto position = static_cast<std::uint32_t>(entries_.size());
  const auto& known = known_[status.id];
  const auto zone = inputs.zone_ms.find(upstream.zone);
  RoutingEntry entry;
  entry.id = status.id;
  entry.slot = known.slot;
  entry.load = known.load;
  entry.role = status.role;
  entry.zone_ms =
      zone == inputs.zone_ms.end() ? inputs.default_zone_ms : zone->second;
  entry.id_hash = Hash64(status.id.Value());
  for (const auto& model : status.models) {
    entry.models.push_back(Number(model_numbers_, model));
  }
  for (const auto& adapter : status.adapters) {
    entry.adapters.push_back(Number(adapter_numbers_, adapter));
  }
  std::sort(entry.models.begin(), entry.models.end());
  entry.models.erase(std::unique(entry.models.begin(), entry.models.end()),
                     entry.models.end());
  std::sort(entry.adapters.begin(), entry.adapters.end());
  by_model_.resize(model_numbers_.size());
  for (const auto model : entry.models) {
    for (std::size_t stage = 0; stage < kRequestStages; ++stage) {
      if (RoleRuns(entry.role, static_cast<RequestStage>(stage))) {
        by_model_[model][stage].push_back(position);
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

auto RoutingTable::ForModel(const ModelId& model, RequestStage stage) const
    -> const CandidateList* {
  const auto number = ModelNumber(model);
  if (!number) return nullptr;
  const auto& list = by_model_[*number][static_cast<std::size_t>(stage)];
  return list.empty() ? nullptr : &list;
}

auto RoutingTable::ForPool(const PoolId& pool) const -> const CandidateList* {
  const auto found = by_pool_.find(pool);
  return found == by_pool_.end() ? nullptr : &found->second;
}

auto RoutingTable::ModelNumber(const ModelId& model) const
    -> std::optional<std::uint32_t> {
  return Find(model_numbers_, model);
}

auto RoutingTable::AdapterNumber(const AdapterId& adapter) const
    -> std::optional<std::uint32_t> {
  return Find(adapter_numbers_, adapter);
}

auto RoutingTable::PositionOfSlot(UpstreamSlot slot) const
    -> std::optional<std::uint32_t> {
  if (slot >= position_by_slot_.size()) return std::nullopt;
  if (position_by_slot_[slot] == 0) return std::nullopt;
  return position_by_slot_[slot] - 1;
}

auto RoutingTable::LoadOf(const UpstreamId& upstream) const
    -> std::shared_ptr<UpstreamLoad> {
  const auto found = known_.find(upstream);
  return found == known_.end() ? nullptr : found->second.load;
}

auto RoutingTable::SlotOf(const UpstreamId& upstream) const
    -> std::optional<UpstreamSlot> {
  const auto found = known_.find(upstream);
  if (found == known_.end()) return std::nullopt;
  return found->second.slot;
}

}  // namespace dotterellug
