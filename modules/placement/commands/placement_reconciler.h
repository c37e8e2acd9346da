#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/errors/error.h"
#include "core/ids/ids.h"
#include "core/time/time.h"
#include "placement/commands/command.h"
#include "placement/reservation/engine_record.h"

namespace dotterellug {

// The lease of the placement owner, the daemon that plans for the fleet and
// commands its engines; it is not the order lease of OrderLease. `valid_until`
// is on the owner's own clock (design, section 3.4).
struct OwnerLease {
  Term term;
  Timestamp valid_until;
};

// Properties of an engine from the serving document, and whether it is live.
struct EngineInfo {
  UpstreamId engine;
  Bytes memory;
  // The engine rejects commands with a lower fencing token than the highest it
  // has received, including before a restart.
  bool checks_fencing = false;
  bool live = true;
};

// An item that an engine is to hold.
struct TargetItem {
  ItemKey key;
  Bytes bytes;
  // Loads are sent in descending order of priority.
  double load_priority = 0;
};

// The desired contents of an engine's memory. Memory is reserved in the order
// of `items`, so the most important ones come first.
struct EngineTarget {
  std::vector<TargetItem> items;
  Bytes kv_bytes;
};

// Timing and limits of PlacementReconciler.
struct PlacementReconcilerOptions {
  // Longest time from the lease check to the last moment at which an engine can
  // act on the command: pause of the sender, transit and queueing together.
  Duration command_lifetime = std::chrono::seconds(30);
  // Fraction added to waits for clocks that run at different rates.
  double clock_drift_fraction = 0.05;
  Duration resend_interval = std::chrono::seconds(2);
  Duration store_retry_interval = std::chrono::seconds(1);
  Duration failed_load_backoff = std::chrono::seconds(5);
  // Limits on loads in flight over all engines.
  std::int64_t max_parallel_weight_loads = 5;
  std::int64_t max_parallel_adapter_loads = 40;
};

// Reconciles the engines with the planner's targets without ever overcommitting
// their memory. Create one instance for each ownership term; it starts empty
// and rebuilds the state from the store and the engines' reports. Invariants:
// - a load is sent only for an item that the stored record marks kKeep;
// - the first change in a term is a conditional write with that term, so that
//   later writes of a previous owner fail;
// - an item is released only after an unload after which no earlier load can
//   take effect: on engines that check fencing, because the unload has a higher
//   fencing token; on others, because it is sent only after the lifetime of the
//   last load has passed;
// - a response is accepted only if its fencing token is that of the item's
//   pending command.
class PlacementReconciler {
 public:
  // `now` is the time at which the term was obtained, which is after the
  // previous owner's lease expired.
  PlacementReconciler(Term term, Timestamp now,
                      PlacementReconcilerOptions options);

  // Adds an engine or updates its properties.
  auto SetEngine(const EngineInfo& info) -> void;
  // Sets the desired contents of an engine.
  auto SetTarget(const UpstreamId& engine, EngineTarget target) -> void;

  // Updates the state with a response, a report or the result of a store call.
  auto Handle(Timestamp now, const PlacementEvent& event) -> void;
  // Returns the actions that are due. Call it after events and at least every
  // second.
  auto Step(Timestamp now, const OwnerLease& lease)
      -> std::vector<PlacementAction>;

  // Checks whether the command may be sent now. Call it right before each send,
  // because the process may have been paused since Step. Fails with kNotFound
  // for an unknown engine, kConflict for a superseded command or a load whose
  // item is not marked kKeep, and kForbidden when the lease has expired. After
  // expiry, only loads to engines that check fencing pass: the engine rejects
  // them if another owner has commanded it since; otherwise the item's
  // reservation is still valid.
  auto AuthorizeSend(Timestamp now, const OwnerLease& lease,
                     const EngineCommand& command) -> Result<void>;

  // The last record known to be stored; null before the first read.
  auto Record(const UpstreamId& engine) const -> const EngineRecord*;
  // Whether the item is resident, by the latest response or report.
  auto IsResident(const UpstreamId& engine, const ItemKey& key) const -> bool;
  // Number of weight loads without a response, over all live engines.
  auto WeightLoadsInFlight() const -> std::int64_t;

 private:
  // A command that was sent and has no response yet; it is resent at intervals.
  struct PendingCommand {
    EngineCommand command;
    Timestamp last_sent;
  };
  struct ItemState {
    std::optional<PendingCommand> pending;
    bool resident = false;
    // An unload was confirmed, so the item can be released.
    bool removal_confirmed = false;
    // Time of the last response about the item; reports sampled before it do
    // not override it.
    Timestamp last_response_at;
    // No load of the item can take effect after this time, on engines that do
    // not check fencing.
    Timestamp load_possible_until;
    // Earliest time of the next load after a failed one.
    Timestamp retry_after;
  };
  struct EngineState {
    EngineInfo info;
    EngineTarget target;
    bool has_target = false;
    bool reported = false;
    Incarnation incarnation;
    std::optional<EngineRecord> record;
    // Version of the stored record; -1 if it must be read again.
    ObjectVersion version;
    // A store call is in flight; `pending_write` is its record if it is a
    // write.
    bool calling_store = false;
    std::optional<EngineRecord> pending_write;
    Timestamp store_retry_at;
    std::map<ItemKey, ItemState> items;
    // Items of the last report that no later response contradicts.
    std::map<ItemKey, Bytes> reported_items;
    // The last report, or empty if any other event has been handled since. An
    // equal report is skipped.
    std::vector<ResidentItem> last_report;
    // Record, target and engine agree, so Step skips the engine until something
    // changes.
    bool converged = false;
    std::int64_t last_sequence = 0;
  };
  // A load that can be sent when the limits on parallel loads permit.
  struct LoadCandidate {
    EngineState* engine = nullptr;
    ReservedItem item;
    double load_priority = 0;
  };

  auto HandleResponse(Timestamp now, const CommandResponse& response) -> void;
  auto HandleReport(Timestamp now, const EngineReport& report) -> void;
  auto HandleRead(Timestamp now, const RecordReadCompleted& read) -> void;
  auto HandleWritten(Timestamp now, const RecordWriteCompleted& written)
      -> void;
  auto HandleStoreCallFailed(Timestamp now, const StoreCallFailed& failed)
      -> void;

  static auto MarkChanged(EngineState& engine) -> void;
  auto IsConverged(const EngineState& engine) const -> bool;
  auto StepStore(Timestamp now, const OwnerLease& lease, EngineState& engine,
                 std::vector<PlacementAction>& actions) -> void;
  auto NextRecord(const EngineState& engine) const -> EngineRecord;
  auto StepItems(Timestamp now, const OwnerLease& lease, EngineState& engine,
                 std::vector<PlacementAction>& actions,
                 std::vector<LoadCandidate>& candidates) -> void;
  auto StepItemToKeep(Timestamp now, const OwnerLease& lease,
                      EngineState& engine, const ReservedItem& item,
                      std::vector<PlacementAction>& actions,
                      std::vector<LoadCandidate>& candidates) -> void;
  auto StepItemToRemove(Timestamp now, const OwnerLease& lease,
                        EngineState& engine, const ReservedItem& item,
                        std::vector<PlacementAction>& actions) -> void;
  auto StartLoads(Timestamp now, const OwnerLease& lease,
                  std::vector<LoadCandidate> candidates,
                  std::vector<PlacementAction>& actions) -> void;
  auto SendNewCommand(Timestamp now, const OwnerLease& lease,
                      EngineState& engine, const ReservedItem& item,
                      CommandKind kind, std::vector<PlacementAction>& actions)
      -> void;
  auto ResendPending(Timestamp now, const OwnerLease& lease,
                     EngineState& engine, ItemState& state,
                     std::vector<PlacementAction>& actions) -> void;
  static auto LeaseAllows(Timestamp now, const OwnerLease& lease,
                          const EngineInfo& info, const EngineCommand& command)
      -> bool;
  auto GetOrCreateItemState(EngineState& engine, const ItemKey& key)
      -> ItemState&;
  auto LifetimeWithMargin() const -> Duration;
  auto CountLoads(bool adapters) const -> std::int64_t;

  Term term_;
  Timestamp term_started_at_;
  PlacementReconcilerOptions options_;
  // A record with a higher term was read: another owner has taken over.
  bool fenced_out_ = false;
  std::map<UpstreamId, EngineState> engines_;
};

}  // namespace dotterellug
