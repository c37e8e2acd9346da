#include "placement/commands/placement_reconciler.h"

#include <algorithm>
#include <utility>

#include "core/variant/overloaded.h"

namespace dotterellug {

namespace {

auto FindTargetItem(const EngineTarget& target, const ItemKey& key)
    -> const TargetItem* {
  const auto found =
      std::find_if(target.items.begin(), target.items.end(),
                   [&](const TargetItem& item) { return item.key == key; });
  return found == target.items.end() ? nullptr : &*found;
}

}  // namespace

PlacementReconciler::PlacementReconciler(Term term, Timestamp now,
                                         PlacementReconcilerOptions options)
    : term_(term), term_started_at_(now), options_(options) {}

auto PlacementReconciler::SetEngine(const EngineInfo& info) -> void {
  auto& state = engines_[info.engine];
  state.info = info;
  MarkChanged(state);
}

auto PlacementReconciler::SetTarget(const UpstreamId& engine,
                                    EngineTarget target) -> void {
  auto& state = engines_[engine];
  state.target = std::move(target);
  state.has_target = true;
  MarkChanged(state);
}

auto PlacementReconciler::Handle(Timestamp now, const PlacementEvent& event)
    -> void {
  std::visit(
      Overloaded{
          [&](const CommandResponse& response) {
            HandleResponse(now, response);
          },
          [&](const EngineReport& report) { HandleReport(now, report); },
          [&](const RecordReadCompleted& read) { HandleRead(now, read); },
          [&](const RecordWriteCompleted& written) {
            HandleWritten(now, written);
          },
          [&](const StoreCallFailed& failed) {
            HandleStoreCallFailed(now, failed);
          }},
      event);
}

auto PlacementReconciler::HandleResponse(Timestamp now,
                                         const CommandResponse& response)
    -> void {
  const auto engine = engines_.find(response.engine);
  if (engine == engines_.end()) return;
  for (auto& [key, state] : engine->second.items) {
    if (!state.pending) continue;
    if (!(state.pending->command.fencing == response.fencing)) continue;
    const auto kind = state.pending->command.kind;
    state.pending.reset();
    state.last_response_at = now;
    MarkChanged(engine->second);
    if (response.outcome == CommandOutcome::kDone) {
      state.resident = kind == CommandKind::kLoad;
      state.removal_confirmed = kind == CommandKind::kUnload;
      if (state.removal_confirmed) engine->second.reported_items.erase(key);
    } else if (response.outcome == CommandOutcome::kFailed) {
      state.retry_after = now + options_.failed_load_backoff;
    }
    return;
  }
}

auto PlacementReconciler::HandleReport(Timestamp now,
                                       const EngineReport& report) -> void {
  const auto found = engines_.find(report.engine);
  if (found == engines_.end()) return;
  auto& engine = found->second;
  if (engine.reported && report.incarnation < engine.incarnation) return;
  const bool same_process =
      engine.reported && report.incarnation == engine.incarnation;
  if (engine.converged && same_process &&
      report.resident == engine.last_report) {
    return;
  }
  MarkChanged(engine);
  engine.reported = true;
  engine.incarnation = report.incarnation;
  engine.reported_items.clear();
  for (const auto& item : report.resident) {
    engine.reported_items[item.key] = item.bytes;
    auto& state = GetOrCreateItemState(engine, item.key);
    if (state.pending || report.sampled_at <= state.last_response_at) continue;
    state.resident = true;
    state.removal_confirmed = false;
  }
  for (auto& [key, state] : engine.items) {
    if (report.sampled_at <= state.last_response_at) {
      engine.reported_items.erase(key);
      continue;
    }
    if (engine.reported_items.count(key) == 0) state.resident = false;
  }
  engine.last_report = report.resident;
}

auto PlacementReconciler::HandleRead(Timestamp now,
                                     const RecordReadCompleted& read) -> void {
  auto& engine = engines_[read.engine];
  MarkChanged(engine);
  if (!engine.calling_store || engine.pending_write) return;
  engine.calling_store = false;
  engine.version = read.version;
  engine.record = read.version == ObjectVersion(0)
                      ? EngineRecord(engine.info.memory, Bytes(0))
                      : read.record;
  if (engine.record->OwnerTerm() > term_) fenced_out_ = true;
}

auto PlacementReconciler::HandleWritten(Timestamp now,
                                        const RecordWriteCompleted& written)
    -> void {
  auto& engine = engines_[written.engine];
  MarkChanged(engine);
  if (!engine.calling_store || !engine.pending_write) return;
  engine.calling_store = false;
  engine.record = std::move(engine.pending_write);
  engine.pending_write.reset();
  engine.version = written.version;
}

auto PlacementReconciler::HandleStoreCallFailed(Timestamp now,
                                                const StoreCallFailed& failed)
    -> void {
  auto& engine = engines_[failed.engine];
  MarkChanged(engine);
  engine.calling_store = false;
  engine.pending_write.reset();
  engine.store_retry_at = now + options_.store_retry_interval;
  // Forces a read. The record is kept, because its reservations still permit
  // loads.
  engine.version = ObjectVersion(-1);
}

auto PlacementReconciler::Step(Timestamp now, const OwnerLease& lease)
    -> std::vector<PlacementAction> {
  std::vector<PlacementAction> actions;
  if (fenced_out_) return actions;
  std::vector<LoadCandidate> candidates;
  for (auto& [id, engine] : engines_) {
    if (engine.converged || !engine.info.live) continue;
    // The planner needs the records before it can set the first targets, so
    // records are read without a target.
    if (!engine.has_target && engine.record) continue;
    StepStore(now, lease, engine, actions);
    if (!engine.has_target) continue;
    StepItems(now, lease, engine, actions, candidates);
    engine.converged = IsConverged(engine);
  }
  StartLoads(now, lease, std::move(candidates), actions);
  return actions;
}

auto PlacementReconciler::MarkChanged(EngineState& engine) -> void {
  engine.converged = false;
  engine.last_report.clear();
}

auto PlacementReconciler::IsConverged(const EngineState& engine) const -> bool {
  if (!engine.record || !engine.reported || engine.calling_store) return false;
  if (engine.version < ObjectVersion(0)) return false;
  if (engine.record->OwnerTerm() != term_) return false;
  const auto& items = engine.record->Items();
  if (items.size() != engine.target.items.size()) return false;
  for (const auto& item : items) {
    if (item.intent != ItemIntent::kKeep) return false;
    const auto state = engine.items.find(item.key);
    if (state == engine.items.end() || !state->second.resident) return false;
    if (state->second.pending) return false;
  }
  return NextRecord(engine) == *engine.record;
}

auto PlacementReconciler::StepStore(Timestamp now, const OwnerLease& lease,
                                    EngineState& engine,
                                    std::vector<PlacementAction>& actions)
    -> void {
  if (engine.calling_store || now < engine.store_retry_at) return;
  if (now >= lease.valid_until) return;
  if (!engine.record || engine.version < ObjectVersion(0)) {
    engine.calling_store = true;
    actions.emplace_back(ReadRecord{engine.info.engine});
    return;
  }
  // Before the first report, it is unknown which unreserved items are resident.
  if (!engine.reported) return;
  auto next = NextRecord(engine);
  if (next == *engine.record) return;
  engine.calling_store = true;
  engine.pending_write = next;
  actions.emplace_back(
      WriteRecord{engine.info.engine, engine.version, std::move(next)});
}

// The record to store next: the current one with this term, the reported items,
// and the reservations and removals that the target requires.
auto PlacementReconciler::NextRecord(const EngineState& engine) const
    -> EngineRecord {
  EngineRecord next = *engine.record;
  next.SetOwnerTerm(term_);
  next.SetMemory(engine.info.memory);
  for (const auto& [key, bytes] : engine.reported_items) {
    next.AddResidentForRemoval(key, bytes);
  }
  for (const auto& item : engine.record->Items()) {
    const bool in_target = FindTargetItem(engine.target, item.key) != nullptr;
    const auto state = engine.items.find(item.key);
    const bool has_state = state != engine.items.end();
    const bool confirmed = has_state && state->second.removal_confirmed;
    const bool unloading =
        has_state && state->second.pending &&
        state->second.pending->command.kind == CommandKind::kUnload;
    if (item.intent == ItemIntent::kKeep) {
      if (!in_target) next.MarkForRemoval(item.key);
    } else if (confirmed) {
      next.Release(item.key);
    } else if (in_target && !unloading) {
      next.CancelRemoval(item.key);
    }
  }
  if (!next.SetKvBytes(engine.target.kv_bytes)) return next;
  for (const auto& item : engine.target.items) {
    if (next.Find(item.key) != nullptr) continue;
    // Stops here, so that an item of lower priority does not take the memory
    // that this one needs.
    if (!next.Reserve(item.key, item.bytes)) break;
  }
  return next;
}

auto PlacementReconciler::StepItems(Timestamp now, const OwnerLease& lease,
                                    EngineState& engine,
                                    std::vector<PlacementAction>& actions,
                                    std::vector<LoadCandidate>& candidates)
    -> void {
  if (!engine.record || !engine.reported) return;
  // The reservations of a record that another term wrote, or whose last write
  // is uncertain, are still valid. However, until this term's first write
  // succeeds, a previous owner can still release them.
  if (engine.record->OwnerTerm() != term_) return;
  for (const auto& item : engine.record->Items()) {
    if (item.intent == ItemIntent::kKeep) {
      StepItemToKeep(now, lease, engine, item, actions, candidates);
    } else {
      StepItemToRemove(now, lease, engine, item, actions);
    }
  }
}

auto PlacementReconciler::StepItemToKeep(Timestamp now, const OwnerLease& lease,
                                         EngineState& engine,
                                         const ReservedItem& item,
                                         std::vector<PlacementAction>& actions,
                                         std::vector<LoadCandidate>& candidates)
    -> void {
  if (engine.pending_write) {
    const auto* next = engine.pending_write->Find(item.key);
    if (next == nullptr || next->intent != ItemIntent::kKeep) return;
  }
  auto& state = GetOrCreateItemState(engine, item.key);
  if (state.pending) {
    ResendPending(now, lease, engine, state, actions);
    return;
  }
  if (state.resident || now < state.retry_after) return;
  if (item.key.IsAdapter() &&
      !IsResident(engine.info.engine, item.key.Base())) {
    return;
  }
  const auto* target = FindTargetItem(engine.target, item.key);
  if (target == nullptr) return;
  candidates.push_back({&engine, item, target->load_priority});
}

auto PlacementReconciler::StepItemToRemove(
    Timestamp now, const OwnerLease& lease, EngineState& engine,
    const ReservedItem& item, std::vector<PlacementAction>& actions) -> void {
  auto& state = GetOrCreateItemState(engine, item.key);
  if (state.removal_confirmed || engine.pending_write) return;
  const bool unload_pending =
      state.pending && state.pending->command.kind == CommandKind::kUnload;
  if (unload_pending) {
    ResendPending(now, lease, engine, state, actions);
    return;
  }
  // A pending load is not resent; the unload determines the final state
  // whatever the load's outcome.
  if (!engine.info.checks_fencing && now < state.load_possible_until) return;
  SendNewCommand(now, lease, engine, item, CommandKind::kUnload, actions);
}

auto PlacementReconciler::StartLoads(Timestamp now, const OwnerLease& lease,
                                     std::vector<LoadCandidate> candidates,
                                     std::vector<PlacementAction>& actions)
    -> void {
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const LoadCandidate& a, const LoadCandidate& b) {
                     return a.load_priority > b.load_priority;
                   });
  auto weights_left = options_.max_parallel_weight_loads - CountLoads(false);
  auto adapters_left = options_.max_parallel_adapter_loads - CountLoads(true);
  for (const auto& candidate : candidates) {
    auto& left = candidate.item.key.IsAdapter() ? adapters_left : weights_left;
    if (left <= 0) continue;
    --left;
    SendNewCommand(now, lease, *candidate.engine, candidate.item,
                   CommandKind::kLoad, actions);
  }
}

auto PlacementReconciler::SendNewCommand(Timestamp now, const OwnerLease& lease,
                                         EngineState& engine,
                                         const ReservedItem& item,
                                         CommandKind kind,
                                         std::vector<PlacementAction>& actions)
    -> void {
  EngineCommand command{engine.info.engine,
                        {term_, engine.last_sequence + 1},
                        kind,
                        item.key,
                        item.bytes};
  if (!LeaseAllows(now, lease, engine.info, command)) return;
  ++engine.last_sequence;
  auto& state = GetOrCreateItemState(engine, item.key);
  state.pending = PendingCommand{command, now};
  if (kind == CommandKind::kLoad) {
    state.removal_confirmed = false;
    state.load_possible_until = now + LifetimeWithMargin();
  }
  actions.emplace_back(SendCommand{std::move(command)});
}

auto PlacementReconciler::ResendPending(Timestamp now, const OwnerLease& lease,
                                        EngineState& engine, ItemState& state,
                                        std::vector<PlacementAction>& actions)
    -> void {
  auto& pending = *state.pending;
  if (now - pending.last_sent < options_.resend_interval) return;
  if (!LeaseAllows(now, lease, engine.info, pending.command)) return;
  pending.last_sent = now;
  actions.emplace_back(SendCommand{pending.command});
}

auto PlacementReconciler::AuthorizeSend(Timestamp now, const OwnerLease& lease,
                                        const EngineCommand& command)
    -> Result<void> {
  const auto engine = engines_.find(command.engine);
  if (engine == engines_.end()) {
    return Fail(ErrorKind::kNotFound,
                "engine " + command.engine.Value() + " is not registered",
                "drop the command");
  }
  auto& state = GetOrCreateItemState(engine->second, command.item);
  if (!state.pending || !(state.pending->command.fencing == command.fencing)) {
    return Fail(ErrorKind::kConflict,
                "the command to " + command.engine.Value() + " was superseded",
                "drop the command");
  }
  const auto* item = engine->second.record
                         ? engine->second.record->Find(command.item)
                         : nullptr;
  const bool load = command.kind == CommandKind::kLoad;
  if (load && (item == nullptr || item->intent != ItemIntent::kKeep)) {
    return Fail(ErrorKind::kConflict,
                "model " + command.item.model.Value() + " is not reserved on " +
                    command.engine.Value(),
                "drop the command");
  }
  if (!LeaseAllows(now, lease, engine->second.info, command)) {
    return Fail(ErrorKind::kForbidden,
                "the lease of term " + std::to_string(lease.term.Value()) +
                    " has expired; command to " + command.engine.Value() +
                    " not sent",
                "renew the lease, or leave the command to the next owner");
  }
  if (load) state.load_possible_until = now + LifetimeWithMargin();
  return {};
}

auto PlacementReconciler::LeaseAllows(Timestamp now, const OwnerLease& lease,
                                      const EngineInfo& info,
                                      const EngineCommand& command) -> bool {
  if (now < lease.valid_until) return true;
  return info.checks_fencing && command.kind == CommandKind::kLoad;
}

auto PlacementReconciler::Record(const UpstreamId& engine) const
    -> const EngineRecord* {
  const auto found = engines_.find(engine);
  if (found == engines_.end() || !found->second.record) return nullptr;
  return &*found->second.record;
}

auto PlacementReconciler::IsResident(const UpstreamId& engine,
                                     const ItemKey& key) const -> bool {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return false;
  const auto state = found->second.items.find(key);
  return state != found->second.items.end() && state->second.resident;
}

auto PlacementReconciler::WeightLoadsInFlight() const -> std::int64_t {
  return CountLoads(false);
}

auto PlacementReconciler::GetOrCreateItemState(EngineState& engine,
                                               const ItemKey& key)
    -> ItemState& {
  const auto [state, added] = engine.items.try_emplace(key);
  if (added) {
    // A previous owner may have sent a load until its lease expired.
    state->second.load_possible_until = term_started_at_ + LifetimeWithMargin();
  }
  return state->second;
}

auto PlacementReconciler::LifetimeWithMargin() const -> Duration {
  return std::chrono::duration_cast<Duration>(
      options_.command_lifetime * (1 + options_.clock_drift_fraction));
}

auto PlacementReconciler::CountLoads(bool adapters) const -> std::int64_t {
  std::int64_t count = 0;
  for (const auto& [id, engine] : engines_) {
    if (!engine.info.live) continue;
    for (const auto& [key, state] : engine.items) {
      if (!state.pending || key.IsAdapter() != adapters) continue;
      if (state.pending->command.kind == CommandKind::kLoad) ++count;
    }
  }
  return count;
}

}  // namespace dotterellug
