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

enum class Fault {
  kNone,
  kCommandLost,
  kCommandLate,
  kCommandDuplicated,
  kAnswerLost,
  kAnswerLate,
  kOwnerCrash,
  kOwnerPause,
  kStoreOutage,
  kStoreResponseLost,
  kStoreWriteLate,
  kZoneSilent,
  kEngineRestart,
};

// Removes one guard by feeding the code under test or its surroundings wrong
// facts, so that a test can show that the checks notice its absence.
enum class RemovedGuard {
  kNone,
  kCommandLifetime,
  kLeaseCheck,
  kSupersededCheck,
  kConditionalWrite,
  kWriteBeforeSend,
  kFirstWriteOfTerm,
  kTakeoverWait,
  kUnloadConfirmation,
  kAnswerMatch,
  kEngineFencing,
  kFencingAfterRestart,
  kMemoryLimit,
};

struct HarnessOptions {
  std::uint64_t seed = 1;
  std::vector<Fault> faults;
  bool engines_check_fencing = true;
  RemovedGuard removed = RemovedGuard::kNone;
  std::int64_t fault_seconds = 300;
  // Faults end here; the fleet then has time to settle.
  std::int64_t settle_seconds = 150;
};

struct HarnessResult {
  std::int64_t overcommits = 0;
  std::int64_t uncovered_loads = 0;
  std::int64_t two_unknown = 0;
  std::int64_t loads = 0;
  std::int64_t takeovers = 0;
  std::int64_t missing_at_end = 0;
  std::string first_violation;

  auto Violations() const -> std::int64_t {
    return overcommits + uncovered_loads + two_unknown;
  }
};

// Two owners, four engines in two zones, an object store and a lossy network in
// simulated time. The engines keep the ledger of memory in use.
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

  // Called before each step of an owner with its log and term, for tests that
  // plan the targets themselves.
  std::function<void(const CommandLog&, Term)> plan;
  // Called at the end of each tick.
  std::function<void()> observe;

  auto Run() -> HarnessResult {
    const auto end = Seconds(options_.fault_seconds + options_.settle_seconds);
    while (now_ < end) {
      now_ += std::chrono::milliseconds(250);
      Tick();
      if (observe) observe();
    }
    result_.missing_at_end = CountMissing();
    return result_;
  }

  struct Engine {
    int zone = 0;
    Bytes memory{100};
    Incarnation incarnation{1};
    FencingNumber highest;
    std::map<ItemKey, Bytes> memory_in_use;
    std::set<ItemKey> loaded;
    EngineTarget target;
  };
  auto Engines() -> std::map<UpstreamId, Engine>& { return engines_; }
  auto Now() const -> Timestamp { return now_; }
  auto ZoneSilent(int zone) const -> bool {
    return Active(Fault::kZoneSilent) && zone == 1;
  }

 private:
  struct Stored {
    ObjectVersion version;
    std::string text;
  };
  struct SentCommand {
    FencingNumber fencing;
    Timestamp at;
    bool answered = true;
  };
  struct Owner {
    std::optional<CommandLog> log;
    OwnerLease lease;
    Timestamp paused_until;
    Timestamp next_renewal;
    std::int64_t seen_renewals = -1;
    Timestamp seen_at;
    int process = 0;
    std::set<UpstreamId> first_write_done;
    std::map<std::pair<UpstreamId, ItemKey>, SentCommand> last_sent;
  };

  static auto Seconds(std::int64_t count) -> Timestamp {
    return Timestamp(std::chrono::seconds(count));
  }
  // Each fault is on for 25 s of every 40 s, shifted by its position, so that
  // two faults overlap in part.
  auto Active(Fault fault) const -> bool {
    if (now_ >= Seconds(options_.fault_seconds)) return false;
    std::int64_t shift = 0;
    for (const auto listed : options_.faults) {
      const auto second = now_.time_since_epoch().count() / 1'000'000;
      if (listed == fault && (second + shift) % 40 < 25) return true;
      shift += 13;
    }
    return false;
  }
  auto Chance(double probability) -> bool {
    return random_.Uniform() < probability;
  }
  auto After(Duration delay, std::function<void()> run) -> void {
    queue_.emplace(now_ + delay, std::move(run));
  }
  auto UpTo(Duration bound) -> Duration {
    return Duration(static_cast<std::int64_t>(
        random_.Below(static_cast<std::uint64_t>(bound.count()) + 1)));
  }

  auto Tick() -> void {
    while (!queue_.empty() && queue_.begin()->first <= now_) {
      const auto run = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      run();
    }
    const bool change = now_ < Seconds(options_.fault_seconds);
    if (!plan && change && Chance(0.02)) ChooseTargets();
    if (Active(Fault::kEngineRestart) && Chance(0.01)) RestartEngine();
    if (++ticks_ % 4 == 0) SendReports();
    for (std::size_t i = 0; i < owners_.size(); ++i) TickOwner(i);
  }

  auto ChooseTargets() -> void {
    for (auto& [id, engine] : engines_) {
      engine.target = EngineTarget{{}, Bytes(10 + 10 * (ticks_ % 2))};
      auto room = engine.memory - engine.target.kv_bytes;
      for (int tries = 0; tries < 4; ++tries) {
        const auto item = RandomItem();
        const bool twice = std::any_of(
            engine.target.items.begin(), engine.target.items.end(),
            [&](const TargetItem& other) { return other.key == item.key; });
        if (twice || item.bytes > room) continue;
        room -= item.bytes;
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
    engine->second.memory_in_use.clear();
    engine->second.loaded.clear();
    if (options_.removed == RemovedGuard::kFencingAfterRestart) {
      engine->second.highest = FencingNumber();
    }
  }

  auto SendReports() -> void {
    for (auto& [id, engine] : engines_) {
      if (ZoneSilent(engine.zone)) continue;
      EngineReport report{id, engine.incarnation, now_, {}};
      for (const auto& key : engine.loaded) {
        report.resident.push_back({key, engine.memory_in_use[key]});
      }
      for (std::size_t i = 0; i < owners_.size(); ++i) {
        Deliver(i, owners_[i].process, UpTo(std::chrono::seconds(3)), report);
      }
    }
  }

  auto Deliver(std::size_t index, int process, Duration delay,
               const PlacementEvent& event) -> void {
    After(delay, [this, index, process, event] {
      auto& owner = owners_[index];
      if (owner.process != process || !owner.log) return;
      if (now_ < owner.paused_until) {
        Deliver(index, process, owner.paused_until - now_, event);
        return;
      }
      if (const auto* answer = std::get_if<CommandAnswer>(&event)) {
        for (auto& [item, sent] : owner.last_sent) {
          if (item.first == answer->engine && sent.fencing == answer->fencing) {
            sent.answered = true;
          }
        }
      }
      owner.log->Handle(now_, event);
    });
  }

  auto TickOwner(std::size_t index) -> void {
    auto& owner = owners_[index];
    if (now_ < owner.paused_until) return;
    if (Active(Fault::kOwnerCrash) && Chance(0.005)) {
      Crash(owner);
      return;
    }
    if (Active(Fault::kOwnerPause) && Chance(0.01)) {
      owner.paused_until = now_ + UpTo(std::chrono::seconds(40));
      return;
    }
    TickLease(owner, index);
    if (!owner.log) return;
    if (plan) plan(*owner.log, owner.lease.term);
    for (const auto& [id, engine] : engines_) {
      owner.log->SetTarget(id, engine.target);
    }
    Execute(index, owner.log->Step(now_, owner.lease));
  }

  auto Crash(Owner& owner) -> void {
    const auto process = owner.process + 1;
    owner = Owner();
    owner.process = process;
  }

  static constexpr Duration kLeaseLength = std::chrono::seconds(10);

  auto TickLease(Owner& owner, std::size_t index) -> void {
    if (now_ < owner.next_renewal || Active(Fault::kStoreOutage)) return;
    owner.next_renewal = now_ + std::chrono::seconds(2);
    const bool lost = Active(Fault::kStoreResponseLost) && Chance(0.3);
    if (owner.log && lease_term_ == owner.lease.term) {
      ++renewals_;
      if (!lost) owner.lease.valid_until = now_ + kLeaseLength * 95 / 100;
      return;
    }
    if (owner.log) return;
    if (owner.seen_renewals != renewals_) {
      owner.seen_renewals = renewals_;
      owner.seen_at = now_;
    }
    const auto wait = options_.removed == RemovedGuard::kTakeoverWait
                          ? Duration(0)
                          : kLeaseLength * 105 / 100;
    if (renewals_ > 0 && now_ - owner.seen_at < wait) return;
    ++renewals_;
    lease_term_ = lease_term_.Next();
    if (lost) return;
    ++result_.takeovers;
    owner.lease = {lease_term_, now_ + kLeaseLength * 95 / 100};
    StartLog(owner);
  }

  auto StartLog(Owner& owner) -> void {
    CommandLogOptions log_options;
    if (options_.removed == RemovedGuard::kCommandLifetime) {
      log_options.command_lifetime = Duration(0);
    }
    owner.log.emplace(owner.lease.term, now_, log_options);
    for (const auto& [id, engine] : engines_) {
      EngineFacts facts{id, engine.memory, options_.engines_check_fencing,
                        true};
      if (options_.removed == RemovedGuard::kMemoryLimit) {
        facts.memory = facts.memory + Bytes(40);
      }
      owner.log->SetEngine(facts);
    }
  }

  auto Execute(std::size_t index, const std::vector<PlacementAction>& actions)
      -> void {
    auto& owner = owners_[index];
    for (const auto& action : actions) {
      // The process can end between any two actions, or be paused before one.
      if (Active(Fault::kOwnerCrash) && Chance(0.03)) {
        Crash(owner);
        return;
      }
      if (Active(Fault::kOwnerPause) && Chance(0.1)) {
        owner.paused_until = now_ + UpTo(std::chrono::seconds(40));
      }
      Execute(index, owner.process, action);
    }
  }

  auto Execute(std::size_t index, int process, const PlacementAction& action)
      -> void {
    auto& owner = owners_[index];
    if (owner.process != process) return;
    if (now_ < owner.paused_until) {
      After(owner.paused_until - now_, [this, index, process, action] {
        Execute(index, process, action);
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
    const auto process = owners_[index].process;
    const auto delay = UpTo(std::chrono::milliseconds(500));
    if (Active(Fault::kStoreOutage)) {
      Deliver(index, process, delay, RecordUncertain{read.engine});
      return;
    }
    const auto& stored = store_[read.engine];
    RecordRead result{read.engine, stored.version, {}};
    if (stored.version != ObjectVersion(0)) {
      result.record = EngineRecord::Decode(stored.text).value();
    }
    Deliver(index, process, delay, result);
  }

  auto Write(std::size_t index, const WriteRecord& write) -> void {
    auto& owner = owners_[index];
    const auto process = owner.process;
    const auto delay = UpTo(std::chrono::milliseconds(500));
    const bool first = owner.first_write_done.insert(write.engine).second;
    if (options_.removed == RemovedGuard::kFirstWriteOfTerm && first &&
        write.expected != ObjectVersion(0)) {
      Deliver(index, process, delay,
              RecordWritten{write.engine, write.expected});
      return;
    }
    if (options_.removed == RemovedGuard::kWriteBeforeSend) {
      After(UpTo(std::chrono::seconds(20)),
            [this, write] { ApplyWrite(write); });
      Deliver(index, process, delay,
              RecordWritten{write.engine, write.expected.Next()});
      return;
    }
    if (Active(Fault::kStoreOutage)) {
      Deliver(index, process, delay, RecordUncertain{write.engine});
      return;
    }
    if (Active(Fault::kStoreWriteLate) && Chance(0.3)) {
      After(UpTo(std::chrono::seconds(20)),
            [this, write] { ApplyWrite(write); });
      Deliver(index, process, delay, RecordUncertain{write.engine});
      return;
    }
    const bool applied = ApplyWrite(write);
    if (applied && !(Active(Fault::kStoreResponseLost) && Chance(0.3))) {
      Deliver(index, process, delay,
              RecordWritten{write.engine, store_[write.engine].version});
    } else {
      Deliver(index, process, delay, RecordUncertain{write.engine});
    }
  }

  auto ApplyWrite(const WriteRecord& write) -> bool {
    auto& stored = store_[write.engine];
    const bool conditional =
        options_.removed != RemovedGuard::kConditionalWrite;
    if (conditional && stored.version != write.expected) return false;
    stored.version = stored.version.Next();
    stored.text = write.record.Encode();
    return true;
  }

  auto Send(std::size_t index, const EngineCommand& command) -> void {
    auto& owner = owners_[index];
    auto lease = owner.lease;
    if (options_.removed == RemovedGuard::kLeaseCheck) {
      lease.valid_until = Timestamp::max();
    }
    if (options_.removed != RemovedGuard::kSupersededCheck) {
      if (!owner.log->AuthorizeSend(now_, lease, command)) return;
    }
    RecordSent(owner, command);
    if (options_.removed == RemovedGuard::kUnloadConfirmation &&
        command.kind == CommandKind::kUnload) {
      Deliver(index, owner.process, Duration(0),
              CommandAnswer{command.engine, command.fencing,
                            CommandOutcome::kDone});
    }
    if (Active(Fault::kCommandLost) && Chance(0.3)) return;
    int copies = 1;
    if (Active(Fault::kCommandDuplicated) && Chance(0.4)) copies = 3;
    for (int copy = 0; copy < copies; ++copy) {
      After(SendDelay(copy), [this, index, command, process = owner.process] {
        Arrive(index, process, command);
      });
    }
  }

  // A second command for the same item may be sent while the first has an
  // unknown outcome only if it is an unload that settles the first: by its
  // higher fencing number, or because the first one's lifetime has passed.
  auto RecordSent(Owner& owner, const EngineCommand& command) -> void {
    auto& last = owner.last_sent[{command.engine, command.item}];
    if (!last.answered && !(last.fencing == command.fencing)) {
      const bool settles = command.kind == CommandKind::kUnload &&
                           (options_.engines_check_fencing ||
                            now_ - last.at >= std::chrono::seconds(30));
      if (!settles) ++result_.two_unknown;
    }
    last = SentCommand{command.fencing, now_, false};
  }

  // Pause between check and send, transit and queueing together. Engines that
  // ignore fencing rely on the 30 s lifetime; others on no bound.
  auto SendDelay(int copy) -> Duration {
    const Duration bound = options_.engines_check_fencing
                               ? std::chrono::seconds(100)
                               : std::chrono::seconds(30);
    const bool late =
        Active(Fault::kCommandLate) || Active(Fault::kOwnerPause) || copy > 0;
    if (late && Chance(0.4)) return UpTo(bound);
    return UpTo(std::chrono::milliseconds(200));
  }

  auto Arrive(std::size_t index, int process, const EngineCommand& command)
      -> void {
    auto& engine = engines_[command.engine];
    if (ZoneSilent(engine.zone)) return;
    const bool checks = options_.engines_check_fencing &&
                        options_.removed != RemovedGuard::kEngineFencing;
    if (checks && command.fencing < engine.highest) {
      Answer(index, process, command, CommandOutcome::kStale, Duration(0));
      return;
    }
    if (engine.highest < command.fencing) engine.highest = command.fencing;
    if (command.kind == CommandKind::kUnload) {
      engine.memory_in_use.erase(command.item);
      engine.loaded.erase(command.item);
      Answer(index, process, command, CommandOutcome::kDone, Duration(0));
      return;
    }
    Load(index, process, command, engine);
  }

  auto Load(std::size_t index, int process, const EngineCommand& command,
            Engine& engine) -> void {
    ++result_.loads;
    if (engine.memory_in_use.emplace(command.item, command.bytes).second) {
      CheckLedger(command, engine);
    }
    const auto duration = UpTo(std::chrono::seconds(6));
    After(duration, [this, command, incarnation = engine.incarnation] {
      auto& target = engines_[command.engine];
      if (target.incarnation != incarnation) return;
      if (target.memory_in_use.count(command.item) == 0) return;
      target.loaded.insert(command.item);
    });
    Answer(index, process, command, CommandOutcome::kDone, duration);
  }

  auto CheckLedger(const EngineCommand& command, const Engine& engine) -> void {
    auto used = Bytes(0);
    for (const auto& [key, bytes] : engine.memory_in_use) used += bytes;
    const auto& stored = store_[command.engine];
    std::optional<EngineRecord> record;
    if (stored.version != ObjectVersion(0)) {
      record = EngineRecord::Decode(stored.text).value();
    }
    const bool covered = record && record->Find(command.item) != nullptr;
    if (used > engine.memory) ++result_.overcommits;
    if (!covered) ++result_.uncovered_loads;
    if ((used > engine.memory || !covered) && result_.first_violation.empty()) {
      result_.first_violation =
          "at " + std::to_string(ToSeconds(now_.time_since_epoch())) + " s " +
          command.engine.Value() + " loads " + command.item.model.Value() +
          " version " + command.item.version + ", " +
          std::to_string(used.Value()) + " in use, covered " +
          std::to_string(covered);
    }
  }

  auto Answer(std::size_t index, int process, const EngineCommand& command,
              CommandOutcome outcome, Duration work) -> void {
    if (Active(Fault::kAnswerLost) && Chance(0.3)) return;
    auto delay = work + UpTo(std::chrono::milliseconds(200));
    if (Active(Fault::kAnswerLate)) delay += UpTo(std::chrono::seconds(20));
    CommandAnswer answer{command.engine, command.fencing, outcome};
    After(delay, [this, index, process, command, answer]() mutable {
      auto& owner = owners_[index];
      if (options_.removed == RemovedGuard::kAnswerMatch) {
        answer.fencing =
            owner.last_sent[{command.engine, command.item}].fencing;
      }
      Deliver(index, process, Duration(0), answer);
    });
  }

  // Targets whose items are absent from their engine.
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
  std::multimap<Timestamp, std::function<void()>> queue_;
  std::map<UpstreamId, Engine> engines_;
  std::map<UpstreamId, Stored> store_;
  std::array<Owner, 2> owners_;
  Term lease_term_;
  std::int64_t renewals_ = 0;
  HarnessResult result_;
};

}  // namespace dotterellug
