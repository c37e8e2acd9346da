#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/tests/simulated_fleet.h"

namespace dotterellug::fleet {

// Requests of callers at the daemons of a simulated fleet, and engines that end
// when they begin to answer a request with a bad prompt part. The daemons send,
// repeat, reject and learn as the gateway does.
class PromptTraffic {
 public:
  struct Options {
    int engines = 9;
    // Requests per second of the whole fleet.
    double sound_rate = 40;
    double bad_rate = 2;
    // Each of them ends engines. Requests with one share the other parts and
    // the account of sound requests.
    int bad_parts = 1;
    double bad_from = 6;
    // Mean times between crashes of engines that have nothing to do with
    // prompts, and between broken connections to engines that live; 0: none.
    double crash_interval = 0;
    double break_interval = 0;
    std::uint64_t seed = 1;
  };

  struct Outcome {
    int crashes = 0;
    // Requests with a bad part that reached engines later than the contact time
    // after the fifth crash by this part.
    int late_arrivals = 0;
    // Longest time from the first crash by a bad part until the last daemon
    // rejects it, in seconds; negative if one never did.
    double longest_spread = 0;
    // Sound requests sent after twice the contact time from the last bad part's
    // fifth crash, and those of them that were rejected.
    int sound = 0;
    int sound_rejected = 0;
    // Sound parts that a daemon quarantined at any time.
    std::set<std::string> wrongly_blamed;
  };

  PromptTraffic(SimulatedFleet& fleet, const Options& options)
      : fleet_(fleet), options_(options), random_(options.seed) {
    for (int i = 0; i < options.engines; ++i) StartEngine(i);
    for (const auto& id : fleet.Daemons()) ScheduleUpdate(id);
    ScheduleSound();
    fleet_.After(options.bad_from, [this] { ScheduleBad(); });
    if (options.crash_interval > 0) ScheduleCrash();
    if (options.break_interval > 0) ScheduleBreak();
  }

  // Ends several engines at the same moment, as when a zone is lost.
  auto CrashEngines(int count) -> void {
    for (int i = 0; i < count && i < options_.engines; ++i) Crash(i);
  }

  auto Results() const -> Outcome {
    auto outcome = outcome_;
    for (const auto& [part, record] : bad_) {
      const auto spread = SpreadOf(part, record);
      outcome.longest_spread =
          spread < 0 ? -1 : std::max(outcome.longest_spread, spread);
    }
    return outcome;
  }

 private:
  static constexpr double kContactTime = 3;
  static constexpr int kAllowedCrashes = 5;
  static constexpr int kMaxAttempts = 2;
  static constexpr double kUpdateInterval = 0.1;
  static constexpr double kParkTime = 0.025;
  static constexpr double kShortestRestart = 1.2;
  static constexpr double kLongestRestart = 4;
  static constexpr double kAnswerTime = 1.8;
  static constexpr double kEventInterval = 0.03;
  static constexpr int kFirstParts = 6;
  static constexpr int kSecondParts = 80;

  struct Request {
    InstanceId daemon;
    std::vector<PromptPartId> parts;
    int attempt = 1;
    Timestamp sent_at{};
    bool begun = false;
    bool works = false;
    bool ended = false;
  };
  struct Engine {
    quarantine::UpstreamProcess process;
    bool alive = false;
    std::vector<std::shared_ptr<Request>> requests;
  };
  struct BadPart {
    std::vector<double> crashes;
    std::map<InstanceId, double> known_at;
  };

  auto Draw(int below) -> int {
    return static_cast<int>(random_.Below(static_cast<std::uint64_t>(below)));
  }
  auto Exponential(double mean) -> double {
    return -std::log(1 - random_.Uniform()) * mean;
  }
  auto BadName(int index) const -> PromptPartId {
    return PromptPartId("bad" + std::to_string(index));
  }
  auto BadPartOf(const Request& request) -> BadPart* {
    for (const auto& part : request.parts) {
      const auto found = bad_.find(part);
      if (found != bad_.end()) return &found->second;
    }
    return nullptr;
  }

  auto StartEngine(int index) -> void {
    auto& engine = engines_[index];
    engine.alive = true;
    engine.process = {UpstreamId("u" + std::to_string(index)), ++starts_};
  }

  auto ScheduleSound() -> void {
    fleet_.After(Exponential(1 / options_.sound_rate), [this] {
      Arrive({FirstPart(Draw(kFirstParts)), SecondPart(Draw(kSecondParts))});
      ScheduleSound();
    });
  }
  auto ScheduleBad() -> void {
    fleet_.After(Exponential(1 / options_.bad_rate), [this] {
      const auto bad = Draw(options_.bad_parts);
      bad_[BadName(bad)];
      Arrive({FirstPart(bad), SecondPart(bad), BadName(bad)});
      ScheduleBad();
    });
  }
  auto ScheduleCrash() -> void {
    fleet_.After(Exponential(options_.crash_interval), [this] {
      Crash(Draw(options_.engines));
      ScheduleCrash();
    });
  }
  auto ScheduleBreak() -> void {
    fleet_.After(Exponential(options_.break_interval), [this] {
      const auto index = Draw(options_.engines);
      auto& requests = engines_[index].requests;
      if (!requests.empty()) Break(index, requests.front());
      ScheduleBreak();
    });
  }
  static auto FirstPart(int index) -> PromptPartId {
    return PromptPartId("first" + std::to_string(index));
  }
  static auto SecondPart(int index) -> PromptPartId {
    return PromptPartId("second" + std::to_string(index));
  }

  auto Arrive(std::vector<PromptPartId> parts) -> void {
    const auto daemons = fleet_.Daemons();
    const auto& daemon = daemons[random_.Below(daemons.size())];
    if (!fleet_.Runs(daemon)) return;
    if (fleet_.CatchingUp(daemon)) {
      // The request waits; it may be taken up by any daemon then.
      return fleet_.After(kParkTime, [this, parts] { Arrive(parts); });
    }
    auto request = std::make_shared<Request>();
    request->daemon = daemon;
    request->parts = std::move(parts);
    auto& quarantine = fleet_.Quarantine(daemon);
    const bool rejected = quarantine.FindQuarantined(request->parts) != nullptr;
    auto* bad = BadPartOf(*request);
    if (bad == nullptr && Settled()) {
      ++outcome_.sound;
      if (rejected) ++outcome_.sound_rejected;
    }
    if (rejected) {
      if (bad != nullptr) bad->known_at.emplace(daemon, fleet_.Seconds());
      return;
    }
    SendToEngine(request);
  }

  // Whether sound requests have to be served again.
  auto Settled() const -> bool {
    return !bad_.empty() &&
           std::all_of(bad_.begin(), bad_.end(), [&](const auto& entry) {
             const auto& crashes = entry.second.crashes;
             if (crashes.empty()) return false;
             const auto last =
                 std::min<std::size_t>(crashes.size(), kAllowedCrashes) - 1;
             return fleet_.Seconds() > crashes[last] + 2 * kContactTime;
           });
  }

  auto SendToEngine(const std::shared_ptr<Request>& request) -> void {
    std::vector<int> alive;
    for (const auto& [index, engine] : engines_) {
      if (engine.alive) alive.push_back(index);
    }
    if (alive.empty()) return;
    const auto index = alive[random_.Below(alive.size())];
    auto& engine = engines_[index];
    request->sent_at = fleet_.Now();
    engine.requests.push_back(request);
    if (auto* bad = BadPartOf(*request)) {
      const auto& crashes = bad->crashes;
      if (crashes.size() >= kAllowedCrashes &&
          fleet_.Seconds() > crashes[kAllowedCrashes - 1] + kContactTime) {
        ++outcome_.late_arrivals;
      }
    }
    const double prefill = 0.02 + 0.3 * random_.Uniform();
    fleet_.After(prefill, [this, request, index, process = engine.process] {
      if (At(index, process, *request)) Begin(index, request);
    });
  }

  // Whether the request is still at this process.
  auto At(int index, const quarantine::UpstreamProcess& process,
          const Request& request) -> bool {
    return !request.ended && engines_[index].alive &&
           engines_[index].process == process;
  }

  auto Begin(int index, const std::shared_ptr<Request>& request) -> void {
    request->begun = true;
    const auto process = engines_[index].process;
    Hear(*request, process);
    if (auto* bad = BadPartOf(*request)) {
      fleet_.After(0.02, [this, bad, request, index, process] {
        if (!At(index, process, *request)) return;
        bad->crashes.push_back(fleet_.Seconds());
        ++outcome_.crashes;
        Crash(index);
      });
      return;
    }
    fleet_.After(2 * kEventInterval, [this, request, index, process] {
      if (!At(index, process, *request)) return;
      request->works = true;
      Hear(*request, process);
      if (!fleet_.Runs(request->daemon)) return;
      fleet_.Quarantine(request->daemon)
          .RecordWorking(request->parts, fleet_.Now());
    });
    fleet_.After(kAnswerTime, [this, request, index, process] {
      if (!At(index, process, *request)) return;
      Hear(*request, process);
      request->ended = true;
      Forget(index, request);
    });
  }

  // The request's daemon reads part of an answer.
  auto Hear(const Request& request, const quarantine::UpstreamProcess& process)
      -> void {
    if (!fleet_.Runs(request.daemon)) return;
    fleet_.Quarantine(request.daemon)
        .RecordAnswer(process, request.sent_at, fleet_.Now());
  }
  auto Forget(int index, const std::shared_ptr<Request>& request) -> void {
    auto& requests = engines_[index].requests;
    requests.erase(std::remove(requests.begin(), requests.end(), request),
                   requests.end());
  }

  auto Crash(int index) -> void {
    auto& engine = engines_[index];
    if (!engine.alive) return;
    const auto requests = std::exchange(engine.requests, {});
    engine.alive = false;
    const auto restart =
        kShortestRestart +
        (kLongestRestart - kShortestRestart) * random_.Uniform();
    fleet_.After(restart, [this, index] { StartEngine(index); });
    for (const auto& request : requests) OnBroken(engine.process, request);
  }

  // Breaks one request's connection while the engine lives.
  auto Break(int index, std::shared_ptr<Request> request) -> void {
    Forget(index, request);
    OnBroken(engines_[index].process, request);
  }

  auto OnBroken(const quarantine::UpstreamProcess& process,
                const std::shared_ptr<Request>& request) -> void {
    fleet_.After(0.001 + 0.004 * random_.Uniform(), [this, process, request] {
      if (request->ended || !fleet_.Runs(request->daemon)) return;
      auto& quarantine = fleet_.Quarantine(request->daemon);
      bool suspected = false;
      if (!request->works) {
        quarantine.RecordCrash(request->parts, process, request->begun,
                               fleet_.Now());
        suspected = quarantine.SuspectedElsewhere(request->parts, process);
      }
      const bool rejected =
          quarantine.FindQuarantined(request->parts) != nullptr;
      if (suspected || rejected || request->attempt >= kMaxAttempts) {
        request->ended = true;
        return;
      }
      ++request->attempt;
      request->begun = request->works = false;
      SendToEngine(request);
    });
  }

  auto ScheduleUpdate(const InstanceId& daemon) -> void {
    fleet_.After(kUpdateInterval, [this, daemon] {
      if (fleet_.Runs(daemon)) Update(daemon);
      ScheduleUpdate(daemon);
    });
  }

  auto Update(const InstanceId& daemon) -> void {
    auto& quarantine = fleet_.Quarantine(daemon);
    for (const auto& change : quarantine.Update(fleet_.Now())) {
      if (!change.quarantined) continue;
      const auto& part = change.evidence.part;
      const auto bad = bad_.find(part);
      if (bad == bad_.end()) {
        outcome_.wrongly_blamed.insert(part.Value());
      } else {
        bad->second.known_at.emplace(daemon, fleet_.Seconds());
      }
      CancelAt(daemon, part);
    }
  }

  // Ends requests at engines that have not begun to answer them.
  auto CancelAt(const InstanceId& daemon, const PromptPartId& part) -> void {
    for (auto& [index, engine] : engines_) {
      for (const auto& request : engine.requests) {
        const auto& parts = request->parts;
        if (request->daemon == daemon && !request->works &&
            std::find(parts.begin(), parts.end(), part) != parts.end()) {
          request->ended = true;
        }
      }
    }
  }

  // Time from the first crash until the last running daemon knows the part.
  auto SpreadOf(const PromptPartId& part, const BadPart& record) const
      -> double {
    if (record.crashes.empty()) return 0;
    double last = 0;
    for (const auto& daemon : fleet_.Daemons()) {
      if (!fleet_.Runs(daemon)) continue;
      if (fleet_.Quarantine(daemon).FindQuarantined({part}) == nullptr) {
        return -1;
      }
      const auto known = record.known_at.find(daemon);
      if (known != record.known_at.end()) last = std::max(last, known->second);
    }
    return last - record.crashes.front();
  }

  SimulatedFleet& fleet_;
  Options options_;
  Random random_;
  std::map<int, Engine> engines_;
  std::map<PromptPartId, BadPart> bad_;
  std::int64_t starts_ = 0;
  Outcome outcome_;
};

}  // namespace dotterellug::fleet
