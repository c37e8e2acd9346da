#pragma once

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/random/random.h"
#include "core/variant/overloaded.h"
#include "placement/placement.h"

namespace dotterellug {

// Faults that the harness injects.
enum class Fault {
  kNone,
  kCommandLost,
  kCommandLate,
  kCommandDuplicated,
  kResponseLost,
  kResponseLate,
  kOwnerCrash,
  kOwnerPause,
  kStoreOutage,
  kStoreResponseLost,
  kStoreWriteLate,
  kZoneUnresponsive,
  kEngineRestart,
};

// A safeguard that a run disables by giving the code under test or its
// environment wrong inputs, so that a test can show that the checks detect its
// absence.
enum class DisabledSafeguard {
  kNone,
  kCommandLifetime,      // commands are assumed to take effect at once
  kLeaseCheck,           // AuthorizeSend gets a lease that never expires
  kAuthorizeSend,        // commands are sent without AuthorizeSend
  kConditionalWrite,     // the store ignores the expected version
  kWriteBeforeSend,      // writes are confirmed before they are applied
  kFirstWriteOfTerm,     // a term's first write is confirmed, not applied
  kTakeoverWait,         // a lease is taken over before it expires
  kUnloadConfirmation,   // unloads are confirmed when they are sent
  kResponseMatch,        // responses carry the latest fencing token
  kEngineFencing,        // engines do not check fencing tokens
  kFencingAfterRestart,  // engines forget the token in a restart
  kMemoryLimit,          // the owner assumes too much engine memory
};

struct HarnessOptions {
  std::uint64_t seed = 1;
  std::vector<Fault> faults;
  bool engines_check_fencing = true;
  DisabledSafeguard disabled_safeguard = DisabledSafeguard::kNone;
  // Time from the start in which faults are injected.
  std::int64_t fault_seconds = 300;
  // Time without faults at the end, in which the fleet has to converge.
  std::int64_t recovery_seconds = 150;
};

// Counts of one run. The first three count violations.
struct HarnessResult {
  // Loads that raised the memory in use above the engine's memory.
  std::int64_t overcommits = 0;
  // Loads of items that the stored record does not contain.
  std::int64_t unreserved_loads = 0;
  // Commands sent while another one for the item had an unknown outcome.
  std::int64_t overlapping_commands = 0;
  std::int64_t loads = 0;
  std::int64_t takeovers = 0;
  // Items of the targets that are not loaded at the end.
  std::int64_t missing_at_end = 0;
  std::string first_violation;

  auto Violations() const -> std::int64_t {
    return overcommits + unreserved_loads + overlapping_commands;
  }
};

// Simulates two placement owners, four engines in two zones, an object store
// and a lossy network in simulated time. The engines account for their memory
// in use, and each load is checked against it and against the stored
// reservations.
class FleetHarness {
 public:
  explicit FleetHarness(HarnessOptions options)
      : options_(std::move(options)), random_(options_.seed) {
    for (int i = 0; i < 4; ++i) {
      const UpstreamId id("engine" + std::to_string(i));
      engines_[id].zone = i % 2;
    }
    ChooseTargets();
  }

  // Called before each step of an owner with its PlacementReconciler and term,
  // for tests that plan the targets themselves.
  std::function<void(const PlacementReconciler&, Term)> plan_targets;
  // Called at the end of each tick.
  std::function<void()> on_tick;

  auto Run() -> HarnessResult {
    const auto end =
        Seconds(options_.fault_seconds + options_.recovery_seconds);
    while (now_ < end) {
      now_ += std::chrono::milliseconds(250);
      Tick();
      if (on_tick) on_tick();
    }
    result_.missing_at_end = CountMissing();
    return result_;
  }

  struct Engine {
    int zone = 0;
    Bytes memory{100};
    Incarnation incarnation{1};
    // Highest fencing token received.
    FencingToken highest;
    // Memory in use, from the start of a load to the end of an unload.
    std::map<ItemKey, Bytes> allocations;
    std::set<ItemKey> loaded;
    EngineTarget target;
  };
  auto Engines() -> std::map<UpstreamId, Engine>& { return engines_; }
  auto Now() const -> Timestamp { return now_; }
  auto IsZoneUnresponsive(int zone) const -> bool {
    return IsActive(Fault::kZoneUnresponsive) && zone == 1;
  }

 private:
  struct StoredObject {
    ObjectVersion version;
    std::string text;
  };
  struct SentCommand {
    FencingToken fencing;
    Timestamp at;
    bool responded = true;
  };
  // A process that competes for the placement lease. `generation` increases
  // with each crash, so that events for an earlier process are dropped.
  struct Owner {
    std::optional<PlacementReconciler> reconciler;
    OwnerLease lease;
    Timestamp paused_until;
    Timestamp next_renewal;
    std::int64_t observed_renewals = -1;
    // When this process first read the renewal count `observed_renewals`.
    Timestamp observed_at;
    int generation = 0;
    std::set<UpstreamId> first_write_done;
    std::map<std::pair<UpstreamId, ItemKey>, SentCommand> last_sent;
  };

  static auto Seconds(std::int64_t count) -> Timestamp {
    return Timestamp(std::chrono::seconds(count));
  }
  // Each fault is active for 25 s of every 40 s, shifted by 13 s for each
  // position in the list, so that two faults overlap partially.
  auto IsActive(Fault fault) const -> bool {
    if (now_ >= Seconds(options_.fault_seconds)) return false;
    std::int64_t shift = 0;
    for (const auto listed : options_.faults) {
      const auto second = now_.time_since_epoch().count() / 1'000'000;
      if (listed == fault && (second + shift) % 40 < 25) return true;
      shift += 13;
    }
    return false;
  }
  auto Bernoulli(double probability) -> bool {
    return random_.Uniform() < probability;
  }
  auto Schedule(Duration delay, std::function<void()> callback) -> void {
    scheduled_.emplace(now_ + delay, std::move(callback));
  }
  // A uniformly distributed duration of at most `bound`.
  auto Jitter(Duration bound) -> Duration {
    return Duration(static_cast<std::int64_t>(
        random_.Below(static_cast<std::uint64_t>(bound.count()) + 1)));
  }

  auto Tick() -> void {
    while (!scheduled_.empty() && scheduled_.begin()->first <= now_) {
      const auto callback = std::move(scheduled_.begin()->second);
      scheduled_.erase(scheduled_.begin());
      callback();
    }
    const bool in_fault_phase = now_ < Seconds(options_.fault_seconds);
    if (!plan_targets && in_fault_phase && Bernoulli(0.02)) ChooseTargets();
    if (IsActive(Fault::kEngineRestart) && Bernoulli(0.01)) RestartEngine();
    if (++ticks_ % 4 == 0) SendReports();
    for (std::size_t i = 0; i < owners_.size(); ++i) TickOwner(i);
  }

  auto ChooseTargets() -> void {
    for (auto& [id, engine] : engines_) {
      engine.target = EngineTarget{{}, Bytes(10 + 10 * (ticks_ % 2))};
      auto free_bytes = engine.memory - engine.target.kv_bytes;
      for (int attempts = 0; attempts < 4; ++attempts) {
        const auto item = RandomItem();
        const bool duplicate = std::any_of(
            engine.target.items.begin(), engine.target.items.end(),
            [&](const TargetItem& other) { return other.key == item.key; });
        if (duplicate || item.bytes > free_bytes) continue;
        free_bytes -= item.bytes;
        engine.target.items.push_back(item);
      }
    }
  }
  auto RandomItem() -> TargetItem {
    const auto number = static_cast<std::int64_t>(random_.Below(6));
    const auto version = std::to_string(random_.Below(2));
    return {{ModelId("m" + std::to_string(number)), version, AdapterId()},
            Bytes(20 + 7 * number),
            random_.Uniform()};
  }

  auto RestartEngine() -> void {
    auto engine = engines_.begin();
    std::advance(engine, random_.Below(engines_.size()));
    engine->second.incarnation = engine->second.incarnation.Next();
    engine->second.allocations.clear();
    engine->second.loaded.clear();
    if (options_.disabled_safeguard ==
        DisabledSafeguard::kFencingAfterRestart) {
      engine->second.highest = FencingToken();
    }
  }

  auto SendReports() -> void {
    for (auto& [id, engine] : engines_) {
      if (IsZoneUnresponsive(engine.zone)) continue;
      EngineReport report{id, engine.incarnation, now_, {}};
      for (const auto& key : engine.loaded) {
        report.resident.push_back({key, engine.allocations[key]});
      }
      for (std::size_t i = 0; i < owners_.size(); ++i) {
        Deliver(i, owners_[i].generation, Jitter(std::chrono::seconds(3)),
                report);
      }
    }
  }

  // Passes an event to an owner's PlacementReconciler after `delay`, later if
  // the owner is paused, and never if its process has crashed.
  auto Deliver(std::size_t index, int generation, Duration delay,
               const PlacementEvent& event) -> void {
    Schedule(delay, [this, index, generation, event] {
      auto& owner = owners_[index];
      if (owner.generation != generation || !owner.reconciler) return;
      if (now_ < owner.paused_until) {
        Deliver(index, generation, owner.paused_until - now_, event);
        return;
      }
      if (const auto* response = std::get_if<CommandResponse>(&event)) {
        for (auto& [item, sent] : owner.last_sent) {
          if (item.first == response->engine &&
              sent.fencing == response->fencing) {
            sent.responded = true;
          }
        }
      }
      owner.reconciler->Handle(now_, event);
    });
  }

  auto TickOwner(std::size_t index) -> void {
    auto& owner = owners_[index];
    if (now_ < owner.paused_until) return;
    if (IsActive(Fault::kOwnerCrash) && Bernoulli(0.005)) {
      CrashOwner(owner);
      return;
    }
    if (IsActive(Fault::kOwnerPause) && Bernoulli(0.01)) {
      owner.paused_until = now_ + Jitter(std::chrono::seconds(40));
      return;
    }
    TickLease(owner, index);
    if (!owner.reconciler) return;
    if (plan_targets) plan_targets(*owner.reconciler, owner.lease.term);
    for (const auto& [id, engine] : engines_) {
      owner.reconciler->SetTarget(id, engine.target);
    }
    Execute(index, owner.reconciler->Step(now_, owner.lease));
  }

  auto CrashOwner(Owner& owner) -> void {
    const auto generation = owner.generation + 1;
    owner = Owner();
    owner.generation = generation;
  }

  static constexpr Duration kLeaseTtl = std::chrono::seconds(10);

  auto TickLease(Owner& owner, std::size_t index) -> void {
    if (now_ < owner.next_renewal || IsActive(Fault::kStoreOutage)) return;
    owner.next_renewal = now_ + std::chrono::seconds(2);
    const bool response_lost =
        IsActive(Fault::kStoreResponseLost) && Bernoulli(0.3);
    if (owner.reconciler && lease_term_ == owner.lease.term) {
      ++renewals_;
      if (!response_lost) owner.lease.valid_until = now_ + kLeaseTtl * 95 / 100;
      return;
    }
    if (owner.reconciler) return;
    if (owner.observed_renewals != renewals_) {
      owner.observed_renewals = renewals_;
      owner.observed_at = now_;
    }
    const auto wait =
        options_.disabled_safeguard == DisabledSafeguard::kTakeoverWait
            ? Duration(0)
            : kLeaseTtl * 105 / 100;
    if (renewals_ > 0 && now_ - owner.observed_at < wait) return;
    ++renewals_;
    lease_term_ = lease_term_.Next();
    if (response_lost) return;
    ++result_.takeovers;
    owner.lease = {lease_term_, now_ + kLeaseTtl * 95 / 100};
    StartReconciler(owner);
  }

  auto StartReconciler(Owner& owner) -> void {
    PlacementReconcilerOptions reconciler_options;
    if (options_.disabled_safeguard == DisabledSafeguard::kCommandLifetime) {
      reconciler_options.command_lifetime = Duration(0);
    }
    owner.reconciler.emplace(owner.lease.term, now_, reconciler_options);
    for (const auto& [id, engine] : engines_) {
      EngineInfo info{id, engine.memory, options_.engines_check_fencing, true};
      if (options_.disabled_safeguard == DisabledSafeguard::kMemoryLimit) {
        info.memory = info.memory + Bytes(40);
      }
      owner.reconciler->SetEngine(info);
    }
  }

  auto Execute(std::size_t index, const std::vector<PlacementAction>& actions)
      -> void {
    auto& owner = owners_[index];
    for (const auto& action : actions) {
      // The process can crash between any two actions, or be paused before one.
      if (IsActive(Fault::kOwnerCrash) && Bernoulli(0.03)) {
        CrashOwner(owner);
        return;
      }
      if (IsActive(Fault::kOwnerPause) && Bernoulli(0.1)) {
        owner.paused_until = now_ + Jitter(std::chrono::seconds(40));
      }
      Execute(index, owner.generation, action);
    }
  }

  auto Execute(std::size_t index, int generation, const PlacementAction& action)
      -> void {
    auto& owner = owners_[index];
    if (owner.generation != generation) return;
    if (now_ < owner.paused_until) {
      Schedule(owner.paused_until - now_, [this, index, generation, action] {
        Execute(index, generation, action);
      });
      return;
    }
    std::visit(
        Overloaded{[&](const ReadRecord& read) { Read(index, read); },
                   [&](const WriteRecord& write) { Write(index, write); },
                   [&](const SendCommand& send) { Send(index, send.command); }},
        action);
  }

  auto Read(std::size_t index, const ReadRecord& read) -> void {
    const auto generation = owners_[index].generation;
    const auto delay = Jitter(std::chrono::milliseconds(500));
    if (IsActive(Fault::kStoreOutage)) {
      Deliver(index, generation, delay, StoreCallFailed{read.engine});
      return;
    }
    const auto& stored = store_[read.engine];
    RecordReadCompleted result{read.engine, stored.version, {}};
    if (stored.version != ObjectVersion(0)) {
      result.record = EngineRecord::Decode(stored.text).value();
    }
    Deliver(index, generation, delay, result);
  }

  auto Write(std::size_t index, const WriteRecord& write) -> void {
    auto& owner = owners_[index];
    const auto generation = owner.generation;
    const auto delay = Jitter(std::chrono::milliseconds(500));
    const bool first = owner.first_write_done.insert(write.engine).second;
    if (options_.disabled_safeguard == DisabledSafeguard::kFirstWriteOfTerm &&
        first && write.expected != ObjectVersion(0)) {
      Deliver(index, generation, delay,
              RecordWriteCompleted{write.engine, write.expected});
      return;
    }
    if (options_.disabled_safeguard == DisabledSafeguard::kWriteBeforeSend) {
      Schedule(Jitter(std::chrono::seconds(20)),
               [this, write] { ApplyWrite(write); });
      Deliver(index, generation, delay,
              RecordWriteCompleted{write.engine, write.expected.Next()});
      return;
    }
    if (IsActive(Fault::kStoreOutage)) {
      Deliver(index, generation, delay, StoreCallFailed{write.engine});
      return;
    }
    if (IsActive(Fault::kStoreWriteLate) && Bernoulli(0.3)) {
      Schedule(Jitter(std::chrono::seconds(20)),
               [this, write] { ApplyWrite(write); });
      Deliver(index, generation, delay, StoreCallFailed{write.engine});
      return;
    }
    const bool applied = ApplyWrite(write);
    if (applied && !(IsActive(Fault::kStoreResponseLost) && Bernoulli(0.3))) {
      Deliver(index, generation, delay,
              RecordWriteCompleted{write.engine, store_[write.engine].version});
    } else {
      Deliver(index, generation, delay, StoreCallFailed{write.engine});
    }
  }

  auto ApplyWrite(const WriteRecord& write) -> bool {
    auto& stored = store_[write.engine];
    const bool conditional =
        options_.disabled_safeguard != DisabledSafeguard::kConditionalWrite;
    if (conditional && stored.version != write.expected) return false;
    stored.version = stored.version.Next();
    stored.text = write.record.Encode();
    return true;
  }

  auto Send(std::size_t index, const EngineCommand& command) -> void {
    auto& owner = owners_[index];
    auto lease = owner.lease;
    if (options_.disabled_safeguard == DisabledSafeguard::kLeaseCheck) {
      lease.valid_until = Timestamp::max();
    }
    if (options_.disabled_safeguard != DisabledSafeguard::kAuthorizeSend) {
      if (!owner.reconciler->AuthorizeSend(now_, lease, command)) return;
    }
    RecordSent(owner, command);
    if (options_.disabled_safeguard == DisabledSafeguard::kUnloadConfirmation &&
        command.kind == CommandKind::kUnload) {
      Deliver(index, owner.generation, Duration(0),
              CommandResponse{command.engine, command.fencing,
                              CommandOutcome::kDone});
    }
    if (IsActive(Fault::kCommandLost) && Bernoulli(0.3)) return;
    int copies = 1;
    if (IsActive(Fault::kCommandDuplicated) && Bernoulli(0.4)) copies = 3;
    for (int copy = 0; copy < copies; ++copy) {
      Schedule(SendDelay(copy),
               [this, index, command, generation = owner.generation] {
                 ReceiveCommand(index, generation, command);
               });
    }
  }

  // While a command has an unknown outcome, another command for the same item
  // may be sent only if it is an unload after which the first can no longer
  // take effect: because of its higher fencing token, or because the first
  // one's lifetime has passed.
  auto RecordSent(Owner& owner, const EngineCommand& command) -> void {
    auto& last = owner.last_sent[{command.engine, command.item}];
    if (!last.responded && !(last.fencing == command.fencing)) {
      const bool resolves = command.kind == CommandKind::kUnload &&
                            (options_.engines_check_fencing ||
                             now_ - last.at >= std::chrono::seconds(30));
      if (!resolves) ++result_.overlapping_commands;
    }
    last = SentCommand{command.fencing, now_, false};
  }

  // Delay of a command after the lease check: pause before the send, transit
  // and queueing. Engines that do not check fencing depend on the 30 s
  // lifetime; for the others no bound is needed.
  auto SendDelay(int copy) -> Duration {
    const Duration bound = options_.engines_check_fencing
                               ? std::chrono::seconds(100)
                               : std::chrono::seconds(30);
    const bool late = IsActive(Fault::kCommandLate) ||
                      IsActive(Fault::kOwnerPause) || copy > 0;
    if (late && Bernoulli(0.4)) return Jitter(bound);
    return Jitter(std::chrono::milliseconds(200));
  }

  auto ReceiveCommand(std::size_t index, int generation,
                      const EngineCommand& command) -> void {
    auto& engine = engines_[command.engine];
    if (IsZoneUnresponsive(engine.zone)) return;
    const bool checks_fencing =
        options_.engines_check_fencing &&
        options_.disabled_safeguard != DisabledSafeguard::kEngineFencing;
    if (checks_fencing && command.fencing < engine.highest) {
      SendResponse(index, generation, command, CommandOutcome::kStale,
                   Duration(0));
      return;
    }
    if (engine.highest < command.fencing) engine.highest = command.fencing;
    if (command.kind == CommandKind::kUnload) {
      engine.allocations.erase(command.item);
      engine.loaded.erase(command.item);
      SendResponse(index, generation, command, CommandOutcome::kDone,
                   Duration(0));
      return;
    }
    Load(index, generation, command, engine);
  }

  auto Load(std::size_t index, int generation, const EngineCommand& command,
            Engine& engine) -> void {
    ++result_.loads;
    if (engine.allocations.emplace(command.item, command.bytes).second) {
      CheckMemory(command, engine);
    }
    const auto duration = Jitter(std::chrono::seconds(6));
    Schedule(duration, [this, command, incarnation = engine.incarnation] {
      auto& target = engines_[command.engine];
      if (target.incarnation != incarnation) return;
      if (target.allocations.count(command.item) == 0) return;
      target.loaded.insert(command.item);
    });
    SendResponse(index, generation, command, CommandOutcome::kDone, duration);
  }

  auto CheckMemory(const EngineCommand& command, const Engine& engine) -> void {
    auto used = Bytes(0);
    for (const auto& [key, bytes] : engine.allocations) used += bytes;
    const auto& stored = store_[command.engine];
    std::optional<EngineRecord> record;
    if (stored.version != ObjectVersion(0)) {
      record = EngineRecord::Decode(stored.text).value();
    }
    const bool reserved = record && record->Find(command.item) != nullptr;
    if (used > engine.memory) ++result_.overcommits;
    if (!reserved) ++result_.unreserved_loads;
    if ((used > engine.memory || !reserved) &&
        result_.first_violation.empty()) {
      result_.first_violation =
          "at " + std::to_string(ToSeconds(now_.time_since_epoch())) + " s " +
          command.engine.Value() + " loads " + command.item.model.Value() +
          " version " + command.item.version + ", " +
          std::to_string(used.Value()) + " bytes in use, reserved " +
          std::to_string(reserved);
    }
  }

  auto SendResponse(std::size_t index, int generation,
                    const EngineCommand& command, CommandOutcome outcome,
                    Duration processing_time) -> void {
    if (IsActive(Fault::kResponseLost) && Bernoulli(0.3)) return;
    auto lag = processing_time + Jitter(std::chrono::milliseconds(200));
    if (IsActive(Fault::kResponseLate)) lag += Jitter(std::chrono::seconds(20));
    CommandResponse response{command.engine, command.fencing, outcome};
    Schedule(lag, [this, index, generation, command, response]() mutable {
      auto& owner = owners_[index];
      if (options_.disabled_safeguard == DisabledSafeguard::kResponseMatch) {
        response.fencing =
            owner.last_sent[{command.engine, command.item}].fencing;
      }
      Deliver(index, generation, Duration(0), response);
    });
  }

  // Number of target items that are not loaded on their engine.
  auto CountMissing() -> std::int64_t {
    std::int64_t missing = 0;
    for (const auto& [id, engine] : engines_) {
      for (const auto& item : engine.target.items) {
        missing += engine.loaded.count(item.key) == 0 ? 1 : 0;
      }
    }
    return missing;
  }

  HarnessOptions options_;
  Random random_;
  Timestamp now_;
  std::int64_t ticks_ = 0;
  std::multimap<Timestamp, std::function<void()>> scheduled_;
  std::map<UpstreamId, Engine> engines_;
  std::map<UpstreamId, StoredObject> store_;
  std::array<Owner, 2> owners_;
  Term lease_term_;
  std::int64_t renewals_ = 0;
  HarnessResult result_;
};

}  // namespace dotterellug
