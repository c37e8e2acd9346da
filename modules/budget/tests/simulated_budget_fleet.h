#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "budget/budget.h"
#include "core/variant/overloaded.h"
#include "ownership/tests/simulation.h"

namespace dotterellug::testing {

// Options of a simulated fleet. Each of the safeguards of the protocol can be
// disabled, to show that the limits depend on it.
struct BudgetFleetOptions {
  // The new owner opens its pool only after all members have reported.
  bool barrier = true;
  // Holders reject share changes of other terms than the acknowledged one.
  bool check_terms = true;
  // A decrease returns to the pool only when the holder acknowledges it.
  bool await_decrease_acknowledgement = true;
  // A member acknowledges a term only after it is registered in the shard.
  bool register_before_acknowledging = true;
  // A repeated grant adds its tokens only once.
  bool deduplicate_transfers = true;
  // Transferred tokens decay from the time of the request.
  bool decay_transfers = true;
  // The store rejects writes based on an outdated version.
  bool conditional_writes = true;
  // Not a safeguard: alternates between revisions with a lower and a higher
  // limit.
  bool alternate_limits = false;
};

// Simulates a fleet of BudgetShards in virtual time over a network and store
// with faults. Safeguards are disabled by forging messages between the
// processes, so the code under test needs no switches for tests.
class SimulatedBudgetFleet {
 public:
  SimulatedBudgetFleet(std::uint64_t seed, BudgetLimit limit,
                       BudgetFleetOptions options)
      : random_(seed),
        network_(&random_, 8, 8),
        store_(&network_, &random_),
        options_(options),
        limit_(limit) {
    store_.checks_versions = options.conditional_writes;
    for (int i = 0; i < kProcesses; ++i) Start(i);
  }

  // Runs random faults, operations and deliveries.
  auto Run(int steps) -> void {
    for (int step = 0; step < steps; ++step) {
      now_ += Duration(random_.Below(60'000));
      RandomFault();
      RandomOperation();
      StepNetwork();
    }
  }

  // The largest amount by which the limit was exceeded, in tokens or permits;
  // at most 0 if it never was. For a rate limit it is computed with one leaky
  // bucket to which all admissions are applied with the amounts used; its
  // largest excess is that of any window.
  auto Excess() const -> double {
    if (!std::holds_alternative<RateLimit>(limit_)) return concurrency_excess_;
    const auto& rate = std::get<RateLimit>(limit_);
    double level = 0;
    double excess = -1;
    Timestamp last{};
    for (const auto& admission : admissions_) {
      const auto drained = ToSeconds(admission.at - last) *
                           static_cast<double>(rate.per_second.Value());
      last = admission.at;
      level =
          std::max(0.0, level - drained) + static_cast<double>(admission.used);
      excess = std::max(excess,
                        level - static_cast<double>(rate.burst.Value()) - 1e-6);
    }
    return excess;
  }
  // Tokens or permits used by all admissions.
  auto AdmittedAmount() const -> std::int64_t {
    std::int64_t sum = 0;
    for (const auto& admission : admissions_) sum += admission.used;
    return sum;
  }
  // Number of times that a process became the owner.
  auto Takeovers() const -> int { return takeovers_; }

 private:
  static constexpr int kProcesses = 4;
  const ShardId shard_{"budget-0"};
  const BudgetId budget_{"account-a"};

  struct OpenCharge {
    Charge charge;
    std::size_t admission_index = 0;
  };
  // A daemon. A restarted one has a higher incarnation and a new clock offset.
  struct Process {
    MemberId self;
    bool paused = false;
    bool crashed = false;
    Duration clock_offset{};
    std::shared_ptr<BudgetShard> shard;
    std::vector<OpenCharge> open_charges;
  };
  // An admitted request: its simulated time, and its estimated or, once
  // settled, used amount.
  struct Admission {
    Timestamp at;
    std::int64_t used = 0;
  };

  auto LocalTime(const Process& process) const -> Timestamp {
    return now_ + process.clock_offset;
  }
  auto Start(int index) -> void {
    auto& process = processes_[index];
    const auto old = process.self;
    const bool restarted = process.shard != nullptr;
    process =
        Process{{InstanceId(std::to_string(index)), old.incarnation.Next()},
                false,
                false,
                Duration(random_.Below(1'000'000'000)),
                nullptr,
                {}};
    process.shard = std::make_shared<BudgetShard>(shard_, process.self);
    process.shard->SetLimits(CurrentLimits(), LocalTime(process));
    if (restarted) ConfirmTermination(old);
  }
  // Each process learns of the termination after another random delay; the
  // notification is never lost.
  auto ConfirmTermination(const MemberId& member) -> void {
    for (auto& [index, process] : processes_) {
      DeliverTermination(process.self, member, 0);
    }
  }
  auto DeliverTermination(const MemberId& to, const MemberId& terminated,
                          int attempt) -> void {
    auto& process = ProcessOf(to);
    if (process.self != to || process.crashed) return;
    if (process.paused || random_.Below(3) != 0) {
      network_.Send([this, to, terminated, attempt] {
        DeliverTermination(to, terminated, attempt + 1);
      });
      return;
    }
    Execute(to,
            process.shard->OnMemberTerminated(terminated, LocalTime(process)));
  }
  auto CurrentLimits() const -> BudgetLimits {
    auto limit = limit_;
    if (revision_.Value() % 2 == 0) {
      std::visit(Overloaded{[](RateLimit& rate) {
                              rate.per_second = Tokens(40);
                              rate.burst = Tokens(120);
                            },
                            [](ConcurrencyLimit& concurrency) {
                              concurrency.permits /= 2;
                            }},
                 limit);
    }
    return {revision_, {{budget_, limit}}};
  }
  auto ProcessOf(const MemberId& member) -> Process& {
    return processes_[std::stoi(member.instance.Value())];
  }
  auto RandomFault() -> void {
    auto& process = processes_[static_cast<int>(random_.Below(kProcesses))];
    const auto index = std::stoi(process.self.instance.Value());
    const auto fault = random_.Below(120);
    if (fault == 0) process.crashed = true;
    if (fault == 1 || (fault < 12 && process.crashed)) Start(index);
    if (fault == 2) process.paused = true;
    if (fault >= 60 && fault < 70) process.paused = false;
    if (fault == 3) store_.available = false;
    if (fault >= 70 && fault < 80) store_.available = true;
    // Idle phases let the buckets fill, so that a share that was assigned twice
    // leads to a violation of the limit.
    if (fault == 5) admitting_ = false;
    if (fault >= 80 && fault < 84) admitting_ = true;
    // Alternates between a lower and a higher limit. Each process applies a new
    // revision with a random delay.
    if (fault == 6 && options_.alternate_limits) revision_ = revision_.Next();
    if (fault == 4) now_ += std::chrono::seconds(5);
  }
  auto RandomOperation() -> void {
    auto& process = processes_[static_cast<int>(random_.Below(kProcesses))];
    if (process.crashed || process.paused) return;
    const auto self = process.self;
    auto& shard = *process.shard;
    const auto now = LocalTime(process);
    if (random_.Below(10) == 0) shard.SetLimits(CurrentLimits(), now);
    switch (random_.Below(12)) {
      case 0:
      case 1:
      case 2:
        Execute(self, shard.Tick(now));
        break;
      case 3:
        if (random_.Below(8) == 0) Execute(self, shard.TakeOver(now));
        break;
      case 4:
        Execute(self, shard.RequestTokens(budget_, RandomAmount(), now));
        break;
      case 5:
        Execute(self, shard.RequestTokensFrom(
                          processes_[static_cast<int>(random_.Below(4))].self,
                          budget_, RandomAmount(), now));
        break;
      case 6:
        CompleteCharge(&process);
        break;
      default:
        AdmitRequests(&process);
    }
  }
  // Delivers few messages in idle phases, so that they arrive after the buckets
  // have refilled.
  auto StepNetwork() -> void {
    const auto deliveries = admitting_ ? 3U : random_.Below(5) / 4;
    for (std::uint64_t i = 0; i < deliveries; ++i) network_.Step();
  }
  auto RandomAmount() -> Tokens {
    return Tokens(static_cast<std::int64_t>(1 + random_.Below(60)));
  }
  auto AdmitRequests(Process* process) -> void {
    if (!admitting_) return;
    const bool rate = std::holds_alternative<RateLimit>(limit_);
    auto& holder = process->shard->Holder();
    for (int i = 0; i < 4; ++i) {
      const auto amount = rate ? RandomAmount() : Tokens(1);
      const auto charge =
          holder.TryCharge(budget_, amount, LocalTime(*process));
      if (!charge) continue;
      process->open_charges.push_back({*charge, admissions_.size()});
      admissions_.push_back({now_, amount.Value()});
    }
    UpdateConcurrencyExcess();
  }
  auto CompleteCharge(Process* process) -> void {
    if (process->open_charges.empty()) return;
    const auto index = random_.Below(process->open_charges.size());
    const auto open_charge = process->open_charges[index];
    process->open_charges.erase(process->open_charges.begin() +
                                static_cast<std::ptrdiff_t>(index));
    auto& admission = admissions_[open_charge.admission_index];
    admission.used = static_cast<std::int64_t>(
        random_.Below(static_cast<std::uint64_t>(admission.used) + 1));
    process->shard->Holder().CompleteCharge(budget_, open_charge.charge,
                                            Tokens(admission.used),
                                            LocalTime(*process));
  }
  auto UpdateConcurrencyExcess() -> void {
    const auto* concurrency = std::get_if<ConcurrencyLimit>(&limit_);
    if (concurrency == nullptr) return;
    std::int64_t in_use = 0;
    for (const auto& [index, process] : processes_) {
      in_use += static_cast<std::int64_t>(process.open_charges.size());
    }
    concurrency_excess_ =
        std::max(concurrency_excess_,
                 static_cast<double>(in_use - concurrency->permits));
  }

  auto Execute(const MemberId& self, const BudgetActions& actions) -> void {
    for (const auto& action : actions) {
      std::visit(
          Overloaded{[&](const ReadObject& read) {
                       store_.Read(
                           read.name, [this, self](const ObjectRecord& object) {
                             Deliver(self, [this, object](Process& process) {
                               return OnRead(&process, object);
                             });
                           });
                     },
                     [&](const WriteObject& write) {
                       if (ShouldDropRegistration(self)) return;
                       store_.Write(write, [this, self](WriteOutcome outcome,
                                                        ObjectVersion) {
                         Deliver(self, [this, outcome](Process& process) {
                           return process.shard->OnWrite(outcome,
                                                         LocalTime(process));
                         });
                       });
                     },
                     [&](const SendBudgetMessage& send) { Send(self, send); }},
          action);
    }
  }
  // With the safeguard disabled, drops most registrations, so that unregistered
  // processes hold shares for longer.
  auto ShouldDropRegistration(const MemberId& self) -> bool {
    return !options_.register_before_acknowledging &&
           !ProcessOf(self).shard->Agent().Registered() &&
           random_.Below(10) != 0;
  }
  auto Deliver(const MemberId& to,
               const std::function<BudgetActions(Process&)>& handler) -> void {
    auto& process = ProcessOf(to);
    if (process.self != to || process.crashed) return;
    if (process.paused) {
      network_.Send([this, to, handler] { Deliver(to, handler); });
      return;
    }
    const bool owned = process.shard->Agent().OwnedTerm().has_value();
    Execute(to, handler(process));
    if (!owned && process.shard->Agent().OwnedTerm()) ++takeovers_;
  }
  auto OnRead(Process* process, const ObjectRecord& object) -> BudgetActions {
    auto actions = process->shard->OnRead(object, LocalTime(*process));
    if (options_.register_before_acknowledging ||
        process->shard->Agent().Registered()) {
      return actions;
    }
    // Acknowledges the term that it has read although its registration has not
    // taken effect.
    const auto record = ParseOwnerRecord(object.value);
    if (!record || !record->owner) return actions;
    const auto report = process->shard->Holder().Acknowledge(record->term);
    if (!report) return actions;
    actions.push_back(SendBudgetMessage{*record->owner, *report});
    actions.push_back(SendBudgetMessage{
        *record->owner, process->shard->Holder().NextDemandReport()});
    return actions;
  }
  auto Send(const MemberId& from, const SendBudgetMessage& send) -> void {
    ForgeReplies(from, send);
    network_.Send([this, send] {
      Deliver(send.to, [this, send](Process& process) {
        return process.shard->OnMessage(ForgeMessage(&process, send.message),
                                        LocalTime(process));
      });
    });
  }
  // Responds in place of the receiver before it has received the message.
  auto ForgeReplies(const MemberId& from, const SendBudgetMessage& send)
      -> void {
    const auto* announcement = std::get_if<TermAnnouncement>(&send.message);
    if (!options_.barrier && announcement != nullptr) {
      Reply(from, HoldingsReport{shard_, announcement->term, send.to, {}});
    }
    const auto* change = std::get_if<ChangeShare>(&send.message);
    if (!options_.await_decrease_acknowledgement && change != nullptr) {
      Reply(from, ShareChanged{shard_, change->term, send.to, change->budget,
                               change->sequence, MicroTokens(0)});
    }
  }
  auto Reply(const MemberId& to, const BudgetMessage& message) -> void {
    network_.Send([this, to, message] {
      Deliver(to, [this, message](Process& process) {
        return process.shard->OnMessage(message, LocalTime(process));
      });
    });
  }
  // Changes a message on delivery so that the receiver accepts it although a
  // safeguard would reject it.
  auto ForgeMessage(Process* process, BudgetMessage message) -> BudgetMessage {
    auto& holder = process->shard->Holder();
    auto* change = std::get_if<ChangeShare>(&message);
    if (!options_.check_terms && change != nullptr &&
        change->term != holder.AcknowledgedTerm()) {
      change->term = holder.AcknowledgedTerm();
      change->sequence = holder.LastAppliedSequence(budget_) + 1;
    }
    auto* grant = std::get_if<TransferGrant>(&message);
    if (grant != nullptr) ForgeGrant(process, grant);
    return message;
  }
  // Makes the receiver accept the grant as the response to a new request: a
  // repeated grant if deduplicate_transfers is disabled, and every first one,
  // which then has not decayed, if decay_transfers is disabled.
  auto ForgeGrant(Process* process, TransferGrant* grant) -> void {
    const auto sequence = grant->id.sequence;
    const bool already_delivered =
        !delivered_grants_.insert({process->self, sequence}).second;
    if ((already_delivered && !options_.deduplicate_transfers) ||
        !options_.decay_transfers) {
      if (already_delivered && options_.deduplicate_transfers) return;
      grant->id = process->shard->Holder()
                      .CreateTransferRequest(budget_, grant->amount,
                                             LocalTime(*process))
                      .id;
    }
  }

  Random random_;
  SimulatedNetwork network_;
  SimulatedStore store_;
  BudgetFleetOptions options_;
  BudgetLimit limit_;
  Timestamp now_{std::chrono::seconds(1000)};
  std::map<int, Process> processes_;
  std::vector<Admission> admissions_;
  std::set<std::pair<MemberId, std::int64_t>> delivered_grants_;
  bool admitting_ = true;
  RevisionNumber revision_{1};
  double concurrency_excess_ = -1;
  int takeovers_ = 0;
};

}  // namespace dotterellug::testing
