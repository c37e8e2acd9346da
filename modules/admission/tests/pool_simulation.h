#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "admission/admission.h"
#include "core/core.h"
#include "serving/serving.h"

namespace dotterellug {

// A kind of requests in a simulated load.
struct SimulatedClass {
  std::string name;
  int priority = 5;
  Duration target{0};
  Duration budget{0};
  // Time in a slot, of which `first_event` passes until the first event.
  Duration work{0};
  Duration first_event{0};
  // Account and arrivals per second, as a function of the time.
  std::map<std::string, std::function<double(double)>> accounts;
};

// What became of the requests of one class or account.
struct SimulatedOutcome {
  std::int64_t arrived = 0;
  std::int64_t in_time = 0;
  std::int64_t late = 0;
  // Refused by the daemon, or given up by the caller.
  std::int64_t refused = 0;
  std::int64_t left = 0;
  // Of those in time and late.
  std::int64_t served_on_return = 0;
  Duration longest_hold_of_refused{0};
  Duration longest_wait{0};
};

// Which order a simulated daemon uses.
enum class SimulatedOrder {
  // New arrivals first, then waiting requests in order of arrival; up to twice
  // the slots of an engine in flight there.
  kArrival,
  // WaitingQueue, with the limits of WaitingRequest and EngineWait.
  kAdmission,
};

// Daemons and engines of one pool in virtual time. Engines admit more urgent
// requests first. Daemons learn the load from others every 150 ms. Callers
// leave when the first event has not come within their patience. If they retry,
// they do so once, after Retry-After, which is up to a third of the time that
// they have left.
class PoolSimulation {
 public:
  // After which time refused callers are asked to come back.
  enum class Return { kNever, kAfterASecond, kScheduled };

  PoolSimulation(SimulatedOrder order, int daemons, int engines, int slots)
      : order_(order),
        daemons_(static_cast<std::size_t>(daemons)),
        engines_(static_cast<std::size_t>(engines)),
        slots_(slots),
        random_(20261206) {
    for (auto& daemon : daemons_) {
      daemon.own.resize(engines_.size());
      daemon.others.resize(engines_.size());
    }
  }

  // Takes a part of the engines away for a time: they accept no requests, and
  // those that they run end.
  auto StopEngines(int count, double from, double to) -> void {
    stopped_ = {count, Seconds(from), Seconds(to)};
  }

  auto SetSpreads(bool spreads) -> void { spreads_ = spreads; }
  auto SetReturn(Return how) -> void { return_ = how; }

  auto Run(const std::vector<SimulatedClass>& classes, double seconds) -> void {
    AddArrivals(classes, seconds);
    const auto end = Seconds(seconds + 15);
    for (double t = 0; t < seconds + 15; t += 0.150) {
      At(Seconds(t), [this] { Report(); });
    }
    for (double t = 0; t < seconds + 15; t += 0.025) {
      At(Seconds(t), [this] { Tick(); });
    }
    while (!events_.empty() && events_.top().at <= end) {
      const auto event = events_.top();
      events_.pop();
      now_ = event.at;
      event.act();
    }
  }

  auto Outcome(const std::string& name) const -> SimulatedOutcome {
    const auto found = outcomes_.find(name);
    return found == outcomes_.end() ? SimulatedOutcome{} : found->second;
  }
  // By class and account.
  auto Outcome(const std::string& name, const std::string& account) const
      -> SimulatedOutcome {
    return Outcome(name + "/" + account);
  }

 private:
  struct Call {
    const SimulatedClass* kind = nullptr;
    std::string account;
    Timestamp arrival;
    Timestamp first_arrival;
    std::size_t daemon = 0;
    std::size_t engine = 0;
    std::optional<QueueTicket> ticket;
    Timestamp sent_at;
    bool had_slot = false;
    bool sent = false;
    bool ended = false;
    bool expected_late = false;
    bool returned = false;
  };
  using CallPtr = std::shared_ptr<Call>;
  struct Event {
    Timestamp at;
    std::int64_t sequence = 0;
    std::function<void()> act;
    auto operator<(const Event& other) const -> bool {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };
  struct Engine {
    int running = 0;
    // By priority and order of arrival.
    std::multimap<int, CallPtr> waiting;
  };
  struct Daemon {
    std::vector<std::int64_t> own;
    std::vector<std::int64_t> others;
    WaitingQueue queue;
    ReturnSchedule returns;
    std::map<QueueTicket, CallPtr> requests;
    std::vector<CallPtr> parked;
    serving::EngineWait engine_wait;
    bool serves_soon = false;
  };

  static auto Seconds(double seconds) -> Timestamp {
    return Timestamp(
        std::chrono::duration_cast<Timestamp::duration>(FromSeconds(seconds)));
  }

  auto At(Timestamp at, std::function<void()> act) -> void {
    events_.push({at, ++sequence_, std::move(act)});
  }

  auto AddArrivals(const std::vector<SimulatedClass>& classes, double seconds)
      -> void {
    for (const auto& kind : classes) {
      for (const auto& [account, rate] : kind.accounts) {
        // Arrivals of a Poisson process, drawn in steps of 10 ms.
        for (double t = 0; t < seconds; t += 0.01) {
          auto expected = rate(t) * 0.01;
          while (random_.Uniform() < expected) {
            expected -= 1;
            const auto at = t + random_.Uniform() * 0.01;
            auto call = std::make_shared<Call>();
            call->kind = &kind;
            call->account = account;
            call->arrival = Seconds(at);
            call->daemon =
                random_.Below(static_cast<std::uint64_t>(daemons_.size()));
            At(call->arrival, [this, call] { Arrive(call); });
          }
        }
      }
    }
  }

  auto Count(const Call& call, const std::function<void(SimulatedOutcome&)>& f)
      -> void {
    f(outcomes_[call.kind->name]);
    f(outcomes_[call.kind->name + "/" + call.account]);
  }

  auto Stopped(std::size_t engine) const -> bool {
    return engine < static_cast<std::size_t>(stopped_.count) &&
           now_ >= stopped_.from && now_ < stopped_.to;
  }

  auto Patience(const Call& call) const -> Duration {
    return std::min<Duration>(
        call.kind->budget,
        std::max<Duration>(std::chrono::seconds(2), call.kind->target * 4));
  }

  auto Facts(const Call& call) const -> WaitingRequest {
    const auto& daemon = daemons_[call.daemon];
    WaitFacts facts;
    facts.arrival = call.arrival;
    facts.deadline = call.first_arrival + call.kind->budget;
    facts.latency_target = call.kind->target;
    facts.patience = Patience(call);
    facts.first_event = daemon.engine_wait.FirstEvent(call.kind->name);
    facts.work =
        daemon.engine_wait.SlotTime(call.kind->name).value_or(Duration(0));
    auto request = MakeWaitingRequest(facts);
    request.account = ClientAccountId(call.account);
    request.priority = call.kind->priority;
    request.expected_late = call.expected_late;
    return request;
  }

  auto Arrive(const CallPtr& call) -> void {
    if (call->returned) {
      // The new attempt has the time to its target again, but not the budget.
      call->first_arrival = std::exchange(call->arrival, now_);
    } else {
      call->first_arrival = call->arrival;
      Count(*call, [](auto& outcome) { ++outcome.arrived; });
    }
    At(call->arrival + Patience(*call), [this, call] {
      if (call->ended || call->sent) return;
      LeaveQueue(*call);
      End(*call, [](auto& outcome) { ++outcome.left; });
    });
    auto& daemon = daemons_[call->daemon];
    if (order_ == SimulatedOrder::kArrival) {
      if (!TrySend(call, 1.0)) daemon.parked.push_back(call);
      return;
    }
    const auto facts = Facts(*call);
    daemon.queue.RecordArrival(facts, now_);
    if (!daemon.queue.OthersBefore(facts, now_) && Dispatch(call, false)) {
      return;
    }
    const auto decision = daemon.queue.Decide(facts, now_);
    if (decision == WaitDecision::kRefuse) return Refuse(*call);
    call->expected_late = decision == WaitDecision::kLate;
    call->ticket = daemon.queue.Add(Facts(*call));
    daemon.requests.emplace(*call->ticket, call);
    ServeSoon(call->daemon);
  }

  auto Refuse(Call& call) -> void {
    LeaveQueue(call);
    if (return_ != Return::kNever && !call.returned) {
      const auto delay = ReturnDelay(call);
      auto again = std::make_shared<Call>();
      again->kind = call.kind;
      again->account = call.account;
      again->arrival = call.arrival;
      again->returned = true;
      again->daemon =
          random_.Below(static_cast<std::uint64_t>(daemons_.size()));
      call.ended = true;
      At(now_ + delay, [this, again] { Arrive(again); });
      return;
    }
    const Duration held = now_ - call.arrival;
    End(call, [&](auto& outcome) {
      ++outcome.refused;
      outcome.longest_hold_of_refused =
          std::max(outcome.longest_hold_of_refused, held);
    });
  }

  auto ReturnDelay(const Call& call) -> Duration {
    if (return_ == Return::kAfterASecond) return std::chrono::seconds(1);
    auto& daemon = daemons_[call.daemon];
    const auto facts = Facts(call);
    ReturnSchedule::Refused refused;
    refused.kind = facts.kind;
    refused.work = facts.work;
    refused.backlog = daemon.queue.ExpectedWait(facts, now_);
    refused.work_per_second = daemon.queue.WorkPerSecond(facts.kind);
    refused.longest = (call.arrival + call.kind->budget - now_) * 3 / 10;
    return daemon.returns.Next(refused, random_.Uniform(), now_);
  }

  auto End(Call& call, const std::function<void(SimulatedOutcome&)>& f)
      -> void {
    if (call.ended) return;
    call.ended = true;
    Count(call, f);
  }

  auto LeaveQueue(Call& call) -> void {
    if (!call.ticket) return;
    auto& daemon = daemons_[call.daemon];
    daemon.queue.Remove(*call.ticket);
    const auto ticket = *std::exchange(call.ticket, std::nullopt);
    daemon.requests.erase(ticket);
  }

  // As in the daemon: sends the request if an engine may take it.
  auto Dispatch(const CallPtr& call, bool owed) -> bool {
    auto& daemon = daemons_[call->daemon];
    const auto facts = Facts(*call);
    const auto part = owed ? 1.0
                           : daemon.engine_wait.QueueFraction(
                                 PoolId("pool"), call->kind->priority,
                                 facts.AllowedUpstreamWait(now_), 1.0);
    if (!Choose(*call, part)) return false;
    LeaveQueue(*call);
    daemon.queue.RecordStart(facts, now_);
    Send(call);
    return true;
  }

  auto TrySend(const CallPtr& call, double part) -> bool {
    if (!Choose(*call, part)) return false;
    Send(call);
    return true;
  }

  auto Choose(Call& call, double part) -> bool {
    const auto& daemon = daemons_[call.daemon];
    std::int64_t fewest = slots_;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (Stopped(i)) continue;
      fewest = std::min(fewest, daemon.own[i] + daemon.others[i]);
    }
    // As SpreadOverBusy.
    const bool spreads = order_ == SimulatedOrder::kAdmission && spreads_ &&
                         fewest * 2 >= slots_;
    double least = 0;
    bool found = false;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (Stopped(i)) continue;
      const auto total = static_cast<double>(daemon.own[i] + daemon.others[i]);
      if (total >= slots_ * (1 + part)) continue;
      auto cost = total + random_.Uniform();
      if (spreads && random_.Uniform() < 0.25) cost -= 1000;
      if (found && cost >= least) continue;
      found = true;
      least = cost;
      call.engine = i;
    }
    return found;
  }

  auto Send(const CallPtr& call) -> void {
    auto& daemon = daemons_[call->daemon];
    auto& engine = engines_[call->engine];
    call->sent = true;
    call->sent_at = now_;
    ++daemon.own[call->engine];
    call->had_slot =
        (daemon.own[call->engine] + daemon.others[call->engine]) * 4 <=
        slots_ * 3;
    daemon.engine_wait.AddUnanswered(PoolId("pool"), call->kind->priority, 1);
    engine.waiting.emplace(call->kind->priority, call);
    Admit(call->engine);
  }

  auto Admit(std::size_t index) -> void {
    auto& engine = engines_[index];
    while (engine.running < slots_ && !engine.waiting.empty()) {
      const auto call = engine.waiting.begin()->second;
      engine.waiting.erase(engine.waiting.begin());
      const bool left = now_ > call->arrival + Patience(*call);
      if (left) {
        End(*call, [](auto& outcome) { ++outcome.left; });
        daemons_[call->daemon].engine_wait.AddUnanswered(
            PoolId("pool"), call->kind->priority, -1);
        --daemons_[call->daemon].own[index];
        continue;
      }
      ++engine.running;
      At(now_ + call->kind->first_event, [this, call] { FirstEvent(*call); });
      At(now_ + call->kind->work, [this, call] { Complete(call); });
    }
  }

  auto FirstEvent(Call& call) -> void {
    const Duration took = now_ - call.arrival;
    if (call.returned) {
      Count(call, [](auto& outcome) { ++outcome.served_on_return; });
    }
    daemons_[call.daemon].engine_wait.AddUnanswered(PoolId("pool"),
                                                    call.kind->priority, -1);
    const bool in_time = took <= call.kind->target;
    End(call, [&](auto& outcome) {
      ++(in_time ? outcome.in_time : outcome.late);
      outcome.longest_wait = std::max(outcome.longest_wait, took);
    });
  }

  auto Complete(const CallPtr& call) -> void {
    auto& daemon = daemons_[call->daemon];
    --daemon.own[call->engine];
    --engines_[call->engine].running;
    const auto& kind = *call->kind;
    const Duration first =
        now_ - call->sent_at - (kind.work - kind.first_event);
    daemon.engine_wait.Observe(PoolId("pool"), kind.priority, kind.name, first,
                               call->had_slot, kind.work - kind.first_event);
    Admit(call->engine);
    if (order_ == SimulatedOrder::kAdmission) ServeSoon(call->daemon);
  }

  auto Report() -> void {
    for (std::size_t e = 0; e < engines_.size(); ++e) {
      std::int64_t total = 0;
      for (const auto& daemon : daemons_) total += daemon.own[e];
      for (auto& daemon : daemons_) daemon.others[e] = total - daemon.own[e];
    }
  }

  auto Tick() -> void {
    for (std::size_t d = 0; d < daemons_.size(); ++d) {
      if (order_ == SimulatedOrder::kAdmission) {
        Serve(d);
        continue;
      }
      auto waiting = std::exchange(daemons_[d].parked, {});
      for (const auto& call : waiting) {
        if (call->ended || TrySend(call, 1.0)) continue;
        const Duration longest = Patience(*call) * 3 / 10;
        if (now_ >= call->arrival + longest) {
          Refuse(*call);
        } else {
          daemons_[d].parked.push_back(call);
        }
      }
    }
  }

  auto ServeSoon(std::size_t index) -> void {
    auto& daemon = daemons_[index];
    if (daemon.queue.Empty() || daemon.serves_soon) return;
    daemon.serves_soon = true;
    At(now_ + std::chrono::milliseconds(10), [this, index] {
      daemons_[index].serves_soon = false;
      Serve(index);
    });
  }

  auto Serve(std::size_t index) -> void {
    auto& daemon = daemons_[index];
    BlockedRequests blocked;
    for (const auto& turn : daemon.queue.Order(now_)) {
      const auto found = daemon.requests.find(turn.ticket);
      if (found == daemon.requests.end()) continue;
      const auto call = found->second;
      const auto facts = Facts(*call);
      if (now_ >= facts.give_up) {
        Refuse(*call);
        continue;
      }
      if (!turn.owed && blocked.Contains(facts, now_)) continue;
      if (!Dispatch(call, turn.owed) && !turn.owed) blocked.Add(facts, now_);
    }
  }

  struct Stop {
    int count = 0;
    Timestamp from;
    Timestamp to;
  };

  SimulatedOrder order_;
  bool spreads_ = true;
  Return return_ = Return::kNever;
  std::vector<Daemon> daemons_;
  std::vector<Engine> engines_;
  int slots_;
  Random random_;
  Stop stopped_;
  Timestamp now_;
  std::priority_queue<Event> events_;
  std::int64_t sequence_ = 0;
  std::map<std::string, SimulatedOutcome> outcomes_;
};

}  // namespace dotterellug
