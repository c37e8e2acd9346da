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

// The owner's lease as it counts it on its own clock (design, section 3.4).
struct OwnerLease {
  Term term;
  Timestamp valid_until;
};

struct EngineProperties {
  UpstreamId engine;
  Bytes memory;
  // The engine rejects lower fencing numbers, also after it restarted.
  bool checks_fencing = false;
  bool live = true;
};

struct TargetItem {
  ItemKey key;
  Bytes bytes;
  // Loads are sent in descending order of value.
  double load_priority = 0;
};

// What the planner wants in an engine's memory, most valuable item first.
struct EngineTarget {
  std::vector<TargetItem> items;
  Bytes kv_bytes;
};

struct CommandLogOptions {
  // Longest time between the lease check and the last moment at which an engine
  // can act on the command: pause of the sender, transit and queueing together.
  Duration command_lifetime = std::chrono::seconds(30);
  // Part added to waits for clocks of different rate.
  double clock_drift_fraction = 0.05;
  Duration resend_interval = std::chrono::seconds(2);
  Duration store_retry_interval = std::chrono::seconds(1);
  Duration failed_load_backoff = std::chrono::seconds(5);
  std::int64_t max_parallel_weight_loads = 5;
  std::int64_t max_parallel_adapter_loads = 40;
};

// Brings the engines from their recorded state to the planner's targets without
// ever overcommitting memory. One object exists per ownership term; a new owner
// starts with an empty one and learns everything from the store and the
// engines' reports. Rules:
// - a load is sent only for an item that the stored record holds in kHold;
// - the first change under a term is a conditional write with that term, so
//   that a former owner's later writes fail;
// - an item is released only after an unload that no earlier load can follow:
//   on engines that check fencing, by its higher number; on others, because it
//   is sent only after the lifetime of the last load has passed;
// - each answer has to name the command that is pending for the item.
class CommandLog {
 public:
  // `now` is the time at which the term was obtained, which is after the former
  // owner's lease had ended.
  CommandLog(Term term, Timestamp now, CommandLogOptions options);

  auto SetEngine(const EngineProperties& properties) -> void;
  auto SetTarget(const UpstreamId& engine, EngineTarget target) -> void;

  auto Handle(Timestamp now, const PlacementEvent& event) -> void;
  // The next actions; call it after events and at least every second.
  auto Step(Timestamp now, const OwnerLease& lease)
      -> std::vector<PlacementAction>;

  // Whether the command may be sent now: call it right before each send,
  // because the process can have been paused since Step. Fails with kConflict
  // for a superseded command and with kForbidden when the lease is over. With
  // the lease over, only loads to engines that check fencing pass: the engine
  // rejects them when another owner has acted since, and without another owner
  // the reservation still covers them.
  auto AuthorizeSend(Timestamp now, const OwnerLease& lease,
                     const EngineCommand& command) -> Result<void>;

  // The last record known to be stored; null before it was read.
  auto Record(const UpstreamId& engine) const -> const EngineRecord*;
  auto IsResident(const UpstreamId& engine, const ItemKey& key) const -> bool;
  auto LoadsInFlight() const -> std::int64_t;

 private:
  struct PendingCommand {
    EngineCommand command;
    Timestamp last_sent;
  };
  struct ItemState {
    std::optional<PendingCommand> pending;
    bool resident = false;
    bool removal_confirmed = false;
    // Last answer about the item; older reports do not overrule it.
    Timestamp last_response_at;
    // No load of the item can be acted on after this time (engines that ignore
    // fencing).
    Timestamp load_possible_until;
    Timestamp retry_after;
  };
  struct EngineState {
    EngineProperties properties;
    EngineTarget target;
    bool has_target = false;
    bool reported = false;
    Incarnation incarnation;
    std::optional<EngineRecord> record;
    ObjectVersion version;
    // A store call is in flight; `writing` is its record if it is a write.
    bool store_call_in_flight = false;
    std::optional<EngineRecord> pending_write;
    Timestamp store_retry_at;
    std::map<ItemKey, ItemState> items;
    std::map<ItemKey, Bytes> reported_items;
    // The last report, if nothing has changed since: an equal one is skipped.
    std::vector<ResidentItem> last_report;
    // Record, target and engine agree, so that steps skip the engine until
    // something changes.
    bool converged = false;
    std::int64_t last_sequence = 0;
  };
  struct LoadCandidate {
    EngineState* engine = nullptr;
    ReservedItem item;
    double load_priority = 0;
  };

  auto HandleResponse(Timestamp now, const CommandAnswer& response) -> void;
  auto HandleReport(Timestamp now, const EngineReport& report) -> void;
  auto HandleRead(Timestamp now, const RecordRead& read) -> void;
  auto HandleWritten(Timestamp now, const RecordWritten& written) -> void;
  auto HandleUncertain(Timestamp now, const RecordUncertain& uncertain) -> void;

  static auto ClearConverged(EngineState& engine) -> void;
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
                          const EngineProperties& properties,
                          const EngineCommand& command) -> bool;
  auto GetOrCreateItemState(EngineState& engine, const ItemKey& key)
      -> ItemState&;
  auto LifetimeWithMargin() const -> Duration;
  auto CountLoads(bool adapters) const -> std::int64_t;

  Term term_;
  Timestamp term_started_at_;
  CommandLogOptions options_;
  bool fenced_out_ = false;
  std::map<UpstreamId, EngineState> engines_;
};

}  // namespace dotterellug
