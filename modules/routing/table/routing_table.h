#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/ids/ids.h"
#include "document/model/serving_document.h"
#include "routing/table/upstream_load.h"
#include "routing/table/upstream_status.h"

namespace dotterellug {

// Position of an upstream in the prefix index; stable while the upstream stays
// in the document. A slot that becomes free is given to a later upstream.
using UpstreamSlot = std::uint16_t;

// The part of a request that is routed: the whole of it, or one phase when the
// KV cache is handed over between engines.
enum class RequestStage { kWhole, kPrefill, kDecode };
inline constexpr std::size_t kRequestStages = 3;

// Whether an engine of this role runs this stage.
auto RoleSupportsStage(EngineRole role, RequestStage stage) -> bool;

// One upstream that may get new work.
struct RoutingEntry {
  UpstreamId id;
  UpstreamSlot slot = 0;
  EngineRole role = EngineRole::kBoth;
  // One-way time from this daemon's zone, in milliseconds.
  double zone_latency_ms = 0;
  // Hash of the id, for consistent hashing.
  std::uint64_t id_hash = 0;
  std::shared_ptr<UpstreamLoad> load;
  // Sorted numbers of the resident models and adapters within this table.
  std::vector<std::uint32_t> models;
  std::vector<std::uint32_t> adapters;
};

// Positions in RoutingTable::Entries().
using CandidateList = std::vector<std::uint32_t>;

// What a table is built from.
struct RoutingInputs {
  const ServingDocument* document = nullptr;
  std::vector<UpstreamStatus> statuses;
  // One-way milliseconds from this daemon's zone; zones not named count as
  // `default_zone_latency_ms`.
  std::map<AvailabilityZoneId, double> zone_latency_ms;
  double default_zone_latency_ms = 1.0;
};

// Immutable snapshot of the upstreams that may get new work, by model and by
// pool. The control thread builds a new one when the document, the state of an
// upstream or its resident models change. Upstreams that leave, are down or
// are in a zone taken out are not in it, so no decision can name them. Load
// reports and allowances do not need a new table.
class RoutingTable {
 public:
  // Counters and slots of upstreams that `previous` knew are kept; it may be
  // null.
  static auto Build(const RoutingInputs& inputs, const RoutingTable* previous)
      -> std::shared_ptr<const RoutingTable>;

  auto Entries() const -> const std::vector<RoutingEntry>& { return entries_; }
  // Candidates for a model and stage, or null when no upstream has the model.
  auto ForModel(const ModelId& model, RequestStage stage) const
      -> const CandidateList*;
  // Instances of a plain service, or null when none may get work.
  auto ForPool(const PoolId& pool) const -> const CandidateList*;
  // Number of a model or an adapter in this table; nothing when it is resident
  // nowhere.
  auto ModelNumber(const ModelId& model) const -> std::optional<std::uint32_t>;
  auto AdapterNumber(const AdapterId& adapter) const
      -> std::optional<std::uint32_t>;
  // Position of the upstream with this slot, if it may get work.
  auto PositionOfSlot(UpstreamSlot slot) const -> std::optional<std::uint32_t>;
  // Slot and counters of every upstream in the document, also of those that
  // get no work; null when the document does not name it.
  auto LoadOf(const UpstreamId& upstream) const
      -> std::shared_ptr<UpstreamLoad>;
  auto SlotOf(const UpstreamId& upstream) const -> std::optional<UpstreamSlot>;
  // Slots that this table gave to upstreams not known before. Before the table
  // is used, the control thread calls CacheEventApplier::Reset for each.
  auto NewSlots() const -> const std::vector<UpstreamSlot>& {
    return new_slots_;
  }

 private:
  struct SlotAndLoad {
    UpstreamSlot slot = 0;
    std::shared_ptr<UpstreamLoad> load;
  };
  using ModelCandidates = std::array<CandidateList, kRequestStages>;

  auto AssignSlots(const RoutingInputs& inputs, const RoutingTable* previous)
      -> void;
  auto AddEntry(const Upstream& upstream, const UpstreamStatus& status,
                const RoutingInputs& inputs) -> void;

  std::vector<RoutingEntry> entries_;
  std::vector<ModelCandidates> by_model_;
  std::unordered_map<ModelId, std::uint32_t> model_numbers_;
  std::unordered_map<AdapterId, std::uint32_t> adapter_numbers_;
  std::unordered_map<PoolId, CandidateList> by_pool_;
  std::unordered_map<UpstreamId, SlotAndLoad> slots_and_loads_;
  // Position plus 1 per slot; 0 when the upstream gets no work.
  std::vector<std::uint32_t> position_by_slot_;
  std::vector<UpstreamSlot> new_slots_;
};

}  // namespace dotterellug
