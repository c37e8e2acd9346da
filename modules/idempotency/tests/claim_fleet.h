#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/variant/overloaded.h"
#include "idempotency/idempotency.h"
#include "ownership/tests/simulation.h"

namespace dotterellug::testing {

// Parts of the protocol that a variant of the fleet leaves out.
struct ClaimFleetVariant {
  bool barrier = true;
  bool term_check = true;
  bool countersignature = true;
  bool conditional_log = true;
  bool claimant_once = true;
};

// A fleet of claim shards over a faulty network and store, in simulated time.
// Guards are left out by forging messages, so the code under test has no
// switches. A few keys are called again and again at all processes.
class ClaimFleet {
 public:
  ClaimFleet(std::uint64_t seed, ClaimFleetVariant variant)
      : random_(seed),
        network_(&random_, 8, 8),
        store_(&network_, &random_),
        variant_(variant) {
    store_.checks_versions = variant.conditional_log;
    store_.unchecked_prefix = "claims/";
    for (int i = 0; i < kProcesses; ++i) Start(i);
  }

  // Leads random schedules into the situations that need the guards: the owner
  // is cut from the store or its writes are late, does not hear of its
  // successor, and dies. Random faults follow.
  auto RunOwnerReplacement() -> void {
    const auto& owner = processes_[0].self;
    for (int i = 0; i < 4; ++i) {
      Run(25, false);
      CarryOut(owner, processes_[0].shard->TakeOver(Now()));
    }
    Run(40, false);
    const int successor = 1 + static_cast<int>(random_.Below(3));
    processes_[0].cut_from_store = random_.Below(2) == 0;
    late_writes_ = random_.Below(2) == 0;
    blocked_.insert({processes_[successor].self.instance, owner.instance});
    Run(static_cast<int>(random_.Below(80)), false);
    CarryOut(processes_[successor].self,
             processes_[successor].shard->TakeOver(Now()));
    Run(static_cast<int>(random_.Below(80)), false);
    Start(0);
    Run(static_cast<int>(random_.Below(60)), false);
    late_writes_ = false;
    for (const auto& write : std::exchange(held_writes_, {})) write();
    Run(100, false);
    Run(200, true);
  }
  auto Run(int steps, bool with_faults) -> void {
    for (int step = 0; step < steps; ++step) {
      now_ += Duration(random_.Below(60'000));
      if (with_faults) RandomFault();
      RandomWork();
      for (int i = 0; i < 3; ++i) network_.Step();
    }
  }
  // Runs of the key that ran most often.
  auto MostRuns() const -> int {
    int most = 0;
    for (const auto& [key, runs] : runs_) most = std::max(most, runs);
    return most;
  }
  auto Runs() const -> int { return static_cast<int>(runs_.size()); }
  auto OutageGrants() const -> int { return outage_grants_; }
  auto RepeatsAnswered() const -> int { return repeats_answered_; }

 private:
  static constexpr int kProcesses = 4;
  const ShardId shard_{"claims-0"};

  struct Process {
    MemberId self;
    bool paused = false;
    bool dead = false;
    bool cut_from_store = false;
    std::shared_ptr<ClaimShard> shard;
    std::vector<RunCall> running;
  };

  auto Now() const -> ClaimTime {
    return {now_,
            WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
                now_.time_since_epoch()))};
  }
  auto Start(int index) -> void {
    auto& process = processes_[index];
    const auto old = process.self;
    const bool restarted = process.shard != nullptr;
    process = Process{};
    process.self = {InstanceId(std::to_string(index)), old.incarnation.Next()};
    ClaimPolicy policy;
    policy.outage_after = std::chrono::milliseconds(300);
    process.shard = std::make_shared<ClaimShard>(shard_, process.self, policy);
    if (!restarted) return;
    for (auto& [other, unused] : processes_) DeliverGone(unused.self, old);
  }
  auto DeliverGone(const MemberId& to, const MemberId& gone) -> void {
    auto& process = ProcessOf(to);
    if (process.self != to || process.dead) return;
    if (process.paused || random_.Below(3) != 0) {
      network_.Send([this, to, gone] { DeliverGone(to, gone); });
      return;
    }
    CarryOut(to, process.shard->OnMemberTerminated(gone, Now()));
  }
  auto ProcessOf(const MemberId& member) -> Process& {
    return processes_[std::stoi(member.instance.Value())];
  }
  auto RandomFault() -> void {
    const auto index = static_cast<int>(random_.Below(kProcesses));
    auto& process = processes_[index];
    const auto fault = random_.Below(400);
    if (fault == 0) process.dead = true;
    if (fault == 1 || (fault < 12 && process.dead)) Start(index);
    if (fault == 2) process.paused = true;
    if (fault >= 60 && fault < 70) process.paused = false;
    if (fault == 3) store_.available = false;
    if (fault >= 70 && fault < 72) store_.available = true;
    if (fault == 4) process.cut_from_store = true;
    if (fault == 7 || fault == 8) {
      blocked_.insert(
          {process.self.instance,
           processes_[static_cast<int>(random_.Below(4))].self.instance});
    }
    if (fault == 76 && !blocked_.empty()) blocked_.erase(blocked_.begin());
    if (fault >= 72 && fault < 74) process.cut_from_store = false;
    // The reachable part of the fleet replaces an owner that cannot write, and
    // that owner dies, maybe after it granted without the store.
    if (fault >= 9 && fault < 20) TakeOverFromCutOwner(index);
    if (fault >= 20 && fault < 24 && process.cut_from_store &&
        process.shard->Owner()) {
      process.dead = true;
    }
  }
  auto TakeOverFromCutOwner(int index) -> void {
    auto& process = processes_[index];
    const bool owner_is_cut =
        std::any_of(processes_.begin(), processes_.end(), [](const auto& item) {
          return item.second.cut_from_store && item.second.shard->Owner();
        });
    if (!owner_is_cut || process.dead || process.paused) return;
    CarryOut(process.self, process.shard->TakeOver(Now()));
  }
  auto RandomWork() -> void {
    auto& process = processes_[static_cast<int>(random_.Below(kProcesses))];
    if (process.dead || process.paused) return;
    const auto self = process.self;
    auto& shard = *process.shard;
    switch (random_.Below(8)) {
      case 0:
        if (random_.Below(60) == 0) CarryOut(self, shard.TakeOver(Now()));
        break;
      case 1:
        CarryOut(self, shard.Begin(RandomKey(), RequestDigest("same")).actions);
        break;
      case 2:
        FinishOne(&process);
        break;
      default:
        CarryOut(self, shard.Tick(Now()));
    }
  }
  // New keys appear over time, so that claims are made in every phase.
  auto RandomKey() -> ClaimKey {
    const auto newest = now_.time_since_epoch() / std::chrono::seconds(4);
    return ClaimKey(
        std::to_string(newest - static_cast<std::int64_t>(random_.Below(4))));
  }
  auto FinishOne(Process* process) -> void {
    if (process->running.empty()) return;
    const auto run = process->running.back();
    process->running.pop_back();
    const auto state =
        random_.Below(4) == 0 ? ClaimState::kUnknown : ClaimState::kDone;
    CarryOut(process->self,
             process->shard->Finish(run.claimant, state, {200, "ok", true}));
  }
  auto CarryOut(const MemberId& self, const ClaimActions& actions) -> void {
    for (const auto& action : actions) {
      std::visit(
          Overloaded{[&](const ReadObject& read) { Read(self, read); },
                     [&](const WriteObject& write) { Write(self, write); },
                     [&](const SendClaimMessage& send) { Send(self, send); },
                     [&](const RunCall& run) { CountRun(self, run); },
                     [&](const AnswerCaller&) { ++repeats_answered_; }},
          action);
    }
  }
  auto CountRun(const MemberId& self, const RunCall& run) -> void {
    ++runs_[run.key];
    ProcessOf(self).running.push_back(run);
  }
  auto Read(const MemberId& self, const ReadObject& read) -> void {
    if (ProcessOf(self).cut_from_store) return;
    store_.Read(read.name, [this, self](const ObjectRecord& object) {
      Deliver(self, [this, object](Process& process) {
        return process.shard->OnRead(object, Now());
      });
    });
  }
  auto Write(const MemberId& self, const WriteObject& write) -> void {
    if (ProcessOf(self).self == self && ProcessOf(self).cut_from_store) return;
    if (late_writes_ && self == processes_[0].self && random_.Below(2) == 0) {
      held_writes_.push_back([this, self, write] { Write(self, write); });
      return;
    }
    store_.Write(write, [this, self, write](WriteOutcome outcome,
                                            ObjectVersion version) {
      Deliver(self, [this, write, outcome, version](Process& process) {
        return process.shard->OnWrite(write, outcome, version, Now());
      });
    });
  }
  auto Deliver(const MemberId& to,
               const std::function<ClaimActions(Process&)>& handler) -> void {
    auto& process = ProcessOf(to);
    if (process.self != to || process.dead) return;
    if (process.paused) {
      network_.Send([this, to, handler] { Deliver(to, handler); });
      return;
    }
    CarryOut(to, handler(process));
  }
  auto Send(const MemberId& from, const SendClaimMessage& send) -> void {
    ForgeReplies(from, send);
    const std::pair link(from.instance, send.to.instance);
    if (blocked_.count(link) != 0 && from != send.to) return;
    network_.Send([this, send] { Receive(send); });
  }
  auto Receive(const SendClaimMessage& send) -> void {
    Deliver(send.to, [this, send](Process& process) {
      auto message = send.message;
      auto* request = std::get_if<CountersignRequest>(&message);
      if (request != nullptr && !variant_.term_check) {
        return CountersignAnyTerm(&process, *request);
      }
      const auto* answer = std::get_if<ClaimAnswer>(&message);
      if (answer != nullptr && !variant_.claimant_once &&
          std::holds_alternative<RunGranted>(answer->verdict)) {
        CountRun(process.self, {answer->key, answer->claimant});
      }
      if (std::holds_alternative<Countersigned>(message)) {
        const auto& owner = process.shard->Owner();
        if (owner && owner->InOutage()) ++outage_grants_;
      }
      return process.shard->OnMessage(message, Now());
    });
  }
  // Keeps the claim and answers in the owner's term, whatever term this member
  // has acknowledged.
  auto CountersignAnyTerm(Process* process, CountersignRequest request)
      -> ClaimActions {
    const auto owner_term = request.term;
    request.term = process->shard->Member().AcknowledgedTerm();
    auto actions = process->shard->OnMessage(request, Now());
    for (auto& action : actions) {
      auto& send = std::get<SendClaimMessage>(action);
      std::get<Countersigned>(send.message).term = owner_term;
    }
    return actions;
  }
  // Answers in place of the receiver, before it has seen the message.
  auto ForgeReplies(const MemberId& from, const SendClaimMessage& send)
      -> void {
    const auto* announcement = std::get_if<TermAnnouncement>(&send.message);
    if (!variant_.barrier && announcement != nullptr) {
      Reply(from, ClaimReport{shard_, announcement->term, send.to, {}});
    }
    const auto* request = std::get_if<CountersignRequest>(&send.message);
    if (!variant_.countersignature && request != nullptr) {
      Reply(from, Countersigned{shard_, request->term, request->record.key,
                                request->record.claimant, send.to});
    }
  }
  auto Reply(const MemberId& to, const ClaimMessage& message) -> void {
    network_.Send([this, to, message] {
      Deliver(to, [this, message](Process& process) {
        return process.shard->OnMessage(message, Now());
      });
    });
  }

  Random random_;
  SimulatedNetwork network_;
  SimulatedStore store_;
  ClaimFleetVariant variant_;
  Timestamp now_{std::chrono::seconds(1000)};
  std::map<int, Process> processes_;
  // Links, from and to, on which every message is lost for a while.
  std::set<std::pair<InstanceId, InstanceId>> blocked_;
  bool late_writes_ = false;
  std::vector<std::function<void()>> held_writes_;
  std::map<ClaimKey, int> runs_;
  int outage_grants_ = 0;
  int repeats_answered_ = 0;
};

}  // namespace dotterellug::testing
