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

// Index of an upstream in the prefix index. It is stable while the upstream
// stays in the serving document; a free slot is reassigned to a later upstream.
using UpstreamSlot = std::uint16_t;

// The phases of a request that are routed together: both, or one of them when
// prefill and decode are disaggregated, that is, run on different engines with
// a transfer of the KV cache.
enum class RequestPhase { kPrefillAndDecode, kPrefill, kDecode };
inline constexpr std::size_t kRequestPhases = 3;

// Returns whether an engine with this role runs these phases.
auto RoleSupportsPhase(EngineRole role, RequestPhase phase) -> bool;

// An upstream that may receive new requests.
struct RoutingEntry {
  UpstreamId id;
  UpstreamSlot slot = 0;
  EngineRole role = EngineRole::kBoth;
  // One-way network latency from this daemon's zone, in milliseconds.
  double zone_latency_ms = 0;
  // Hash of the id, for rendezvous hashing.
  std::uint64_t id_hash = 0;
  std::shared_ptr<UpstreamLoad> load;
  // Models and adapters that are resident in this upstream, as indices local to
  // the table, in ascending order.
  std::vector<std::uint32_t> models;
  std::vector<std::uint32_t> adapters;
};

// Positions of candidates, which are indices in RoutingTable::Entries().
using CandidateList = std::vector<std::uint32_t>;

// Inputs of RoutingTable::Build.
struct RoutingInputs {
  const ServingDocument* document = nullptr;
  std::vector<UpstreamStatus> statuses;
  // One-way network latency from this daemon's zone to others, in milliseconds;
  // zones that are not listed have `default_zone_latency_ms`.
  std::map<AvailabilityZoneId, double> zone_latency_ms;
  double default_zone_latency_ms = 1.0;
};

// Immutable snapshot of the upstreams that may receive new requests, by model
// and by pool. The control thread builds a new one when the serving document,
// the state of an upstream or its resident models change. Upstreams that are
// draining or down, or whose zone is disabled, are not in the table, so no
// decision can select them. Load reports and concurrency limits do not need a
// new table.
class RoutingTable {
 public:
  // Builds a table. Upstreams that are in `previous`, which may be null, keep
  // their counters and slots.
  static auto Build(const RoutingInputs& inputs, const RoutingTable* previous)
      -> std::shared_ptr<const RoutingTable>;

  auto Entries() const -> const std::vector<RoutingEntry>& { return entries_; }
  // Returns the candidates for a model and phase; null if there are none.
  auto ForModel(const ModelId& model, RequestPhase phase) const
      -> const CandidateList*;
  // Returns the instances of a plain service; null if none may receive
  // requests.
  auto ForPool(const PoolId& pool) const -> const CandidateList*;
  // Returns the index of a model or an adapter within this table; nullopt if it
  // is not resident in any upstream.
  auto ModelIndex(const ModelId& model) const -> std::optional<std::uint32_t>;
  auto AdapterIndex(const AdapterId& adapter) const
      -> std::optional<std::uint32_t>;
  // Returns the index in Entries() of the upstream with this slot; nullopt if
  // it may not receive requests.
  auto PositionOfSlot(UpstreamSlot slot) const -> std::optional<std::uint32_t>;
  // Return the counters and the slot of an upstream in the serving document,
  // also of one that receives no requests; null or nullopt if the document does
  // not contain the upstream.
  auto LoadOf(const UpstreamId& upstream) const
      -> std::shared_ptr<UpstreamLoad>;
  auto SlotOf(const UpstreamId& upstream) const -> std::optional<UpstreamSlot>;
  // Slots that this table has assigned to upstreams that are new in it. Before
  // the table is used, the control thread calls CacheEventApplier::Reset for
  // each of them.
  auto NewSlots() const -> const std::vector<UpstreamSlot>& {
    return new_slots_;
  }

 private:
  struct SlotAndLoad {
    UpstreamSlot slot = 0;
    std::shared_ptr<UpstreamLoad> load;
  };
  using ModelCandidates = std::array<CandidateList, kRequestPhases>;

  auto AssignSlots(const RoutingInputs& inputs, const RoutingTable* previous)
      -> void;
  auto AddEntry(const Upstream& upstream, const UpstreamStatus& status,
                const RoutingInputs& inputs) -> void;

  std::vector<RoutingEntry> entries_;
  std::vector<ModelCandidates> by_model_;
  std::unordered_map<ModelId, std::uint32_t> model_indices_;
  std::unordered_map<AdapterId, std::uint32_t> adapter_indices_;
  std::unordered_map<PoolId, CandidateList> by_pool_;
  std::unordered_map<UpstreamId, SlotAndLoad> slots_and_loads_;
  // Index in `entries_` plus 1, by slot; 0 if the upstream is not in the table.
  std::vector<std::uint32_t> position_by_slot_;
  std::vector<UpstreamSlot> new_slots_;
};

}  // namespace dotterellug
