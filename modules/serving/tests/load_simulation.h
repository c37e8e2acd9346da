#pragma once

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "serving/serving.h"

namespace dotterellug::serving {

// An engine on a machine that is slow for a while at regular intervals.
struct SimulatedEngine {
  std::string id;
  std::string zone = "a";
  // Time that work takes, relative to a usual machine.
  double factor = 1;
  // Work takes `slow_multiple` times as long for `slow_ms` of each
  // `slow_period_ms`, which begins at `slow_offset_ms`; never if the period is
  // 0.
  double slow_multiple = 2.5;
  double slow_ms = 600;
  double slow_period_ms = 0;
  double slow_offset_ms = 0;

  auto FactorAt(double ms) const -> double {
    if (slow_period_ms == 0) return factor;
    const auto phase = std::fmod(ms + slow_offset_ms, slow_period_ms);
    return phase < slow_ms ? factor * slow_multiple : factor;
  }
};

struct SimulatedRequest {
  double at_ms = 0;
  std::size_t daemon = 0;
  std::int64_t prefill_tokens = 0;
  // Time to generate its events on an idle engine with factor 1.
  double work_ms = 0;
};

struct SimulationSetup {
  std::vector<SimulatedEngine> engines;
  std::int64_t slots = 16;
  std::size_t daemons = 4;
  // Zone of each daemon, by index modulo the size.
  std::vector<std::string> zones = {"a"};
  std::vector<SimulatedRequest> trace;
  double report_interval_ms = 150;
  // Whether all daemons get their reports at the same time.
  bool same_report = false;
  // Whether engines state their factors.
  bool states_factors = true;
};

struct SimulationResult {
  std::vector<double> first_event_ms;
  std::vector<double> total_ms;
  // Requests in arrival order that went to another zone than the daemon's.
  std::vector<bool> other_zone;
  // Requests by engine.
  std::vector<int> sent;
  // Mean absolute difference of the stated candidate times and the real ones.
  double estimate_error_ms = 0;
  int estimates = 0;
  int refused = 0;
  // Largest number of requests that one engine got in 10 ms.
  int largest_burst = 0;
  // Largest number of requests in an engine, as a multiple of its slots.
  double deepest_queue = 0;

  auto FirstEventQuantile(double quantile) const -> double {
    auto sorted = first_event_ms;
    std::sort(sorted.begin(), sorted.end());
    return sorted[static_cast<std::size_t>(
        quantile * static_cast<double>(sorted.size() - 1))];
  }
  auto FirstEventMean() const -> double { return Mean(first_event_ms); }
  auto TotalMean() const -> double { return Mean(total_ms); }
  auto LateShare(double target_ms) const -> double {
    const auto late =
        std::count_if(first_event_ms.begin(), first_event_ms.end(),
                      [&](double ms) { return ms > target_ms; });
    return static_cast<double>(late + refused) /
           static_cast<double>(first_event_ms.size() +
                               static_cast<std::size_t>(refused));
  }
  auto OtherZoneShare() const -> double {
    return static_cast<double>(
               std::count(other_zone.begin(), other_zone.end(), true)) /
           static_cast<double>(std::max<std::size_t>(other_zone.size(), 1));
  }
  auto Print(const char* load, const char* choice) const -> void {
    std::printf(
        "%s, %s: first event mean %.0f p50 %.0f p95 %.0f p99 %.0f ms, total "
        "%.0f ms, later than 500 ms %.3f, refused %d, other zone %.3f, deepest "
        "queue %.2f, largest burst %d, estimate off by %.0f ms\n",
        load, choice, FirstEventMean(), FirstEventQuantile(0.5),
        FirstEventQuantile(0.95), FirstEventQuantile(0.99), TotalMean(),
        LateShare(500), refused, OtherZoneShare(), deepest_queue, largest_burst,
        estimates > 0 ? estimate_error_ms / estimates : 0);
  }

 private:
  static auto Mean(const std::vector<double>& values) -> double {
    double sum = 0;
    for (const auto value : values) sum += value;
    return sum / static_cast<double>(std::max<std::size_t>(values.size(), 1));
  }
};

// Plays a trace of requests with daemons that choose upstreams independently,
// in steps of one millisecond. Engines prefill one prompt after another and
// generate events for all running requests at a time. Daemons learn the load
// from others with each report, as it was in their last reports.
class LoadSimulation {
 public:
  explicit LoadSimulation(SimulationSetup setup) : setup_(std::move(setup)) {
    for (const auto& engine : setup_.engines) {
      engines_.push_back({engine, {}, {}});
    }
    for (std::size_t i = 0; i < setup_.daemons; ++i) {
      auto daemon = std::make_unique<Daemon>(i);
      daemon->zone = AvailabilityZoneId(setup_.zones[i % setup_.zones.size()]);
      daemon->reported.resize(engines_.size());
      for (const auto& engine : setup_.engines) {
        UpstreamRecord record;
        record.id = UpstreamId(engine.id);
        record.pool = PoolId("p");
        record.zone = AvailabilityZoneId(engine.zone);
        record.address = {"127.0.0.1", 1};
        record.slots = setup_.slots;
        record.started_ms = 1;
        daemon->table.Upsert(record, At(0));
        daemon->views.push_back(daemon->table.Find(record.id));
      }
      daemons_.push_back(std::move(daemon));
    }
    result_.sent.resize(engines_.size());
  }

  auto Run() -> SimulationResult {
    std::size_t next = 0;
    for (double ms = 0; next < setup_.trace.size() || running_ > 0; ms += 1) {
      Report(ms);
      for (; next < setup_.trace.size() && setup_.trace[next].at_ms <= ms;
           ++next) {
        Send(setup_.trace[next], ms);
      }
      for (std::size_t i = 0; i < engines_.size(); ++i) Step(i, ms);
    }
    return result_;
  }

 private:
  struct Job {
    SimulatedRequest request;
    double sent_ms = 0;
    bool found_slot = false;
    std::int64_t prefill_ahead = 0;
    std::optional<Duration> expected_first_event;
    double prefill_left = 0;
    double start_left = kStartMs;
    double work_left = 0;
    double factor = 1;
    double first_event_ms = 0;
  };
  struct Engine {
    SimulatedEngine spec;
    std::deque<Job> waiting;
    std::vector<Job> running;
    // The last 10 ms in which it got requests, and how many.
    int slice = -1;
    int in_slice = 0;
  };
  struct ReportedUse {
    std::int64_t requests = 0;
    std::int64_t prefill_tokens = 0;
  };
  struct Daemon {
    explicit Daemon(std::size_t index) : random(1000 + index) {}
    UpstreamTable table;
    std::vector<UpstreamTable::Entry> views;
    AvailabilityZoneId zone;
    Random random;
    UpstreamSelector selector;
    WorkTimeEstimate times;
    std::vector<ReportedUse> reported;
  };

  // Times where the factor is 1; as measured in one deployment.
  static constexpr double kStartMs = 30;
  static constexpr double kPrefillTokensPerMs = 27;
  // A full batch makes generation this much slower.
  static constexpr double kBatchSlowdown = 0.5;

  static auto At(double ms) -> Timestamp {
    return Timestamp(FromSeconds(1000 + ms / 1000));
  }

  auto Report(double ms) -> void {
    const auto interval = setup_.report_interval_ms;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      const auto phase = setup_.same_report
                             ? 0
                             : std::floor(interval * static_cast<double>(i) /
                                          static_cast<double>(daemons_.size()));
      if (std::fmod(ms - phase, interval) != 0) continue;
      auto& daemon = *daemons_[i];
      for (std::size_t e = 0; e < engines_.size(); ++e) {
        daemon.reported[e] = {daemon.views[e]->requests,
                              daemon.views[e]->prefill_tokens};
        OtherDaemonsLoad load;
        for (std::size_t o = 0; o < daemons_.size(); ++o) {
          if (o == i) continue;
          const auto& other = daemons_[o]->reported[e];
          load.requests += static_cast<double>(other.requests);
          load.prefill_tokens += static_cast<double>(other.prefill_tokens);
        }
        daemon.views[e]->other_daemons_load = load;
      }
    }
  }

  auto Send(const SimulatedRequest& request, double ms) -> void {
    auto& daemon = *daemons_[request.daemon];
    SelectionRequest choice;
    choice.pool = PoolId("p");
    choice.zone = daemon.zone;
    choice.prefill_tokens = request.prefill_tokens;
    PoolCapacity pool;
    pool.times = daemon.times.Expected(choice.pool);
    const auto ranked =
        daemon.selector.Rank(daemon.table, choice, pool, daemon.random, At(ms));
    if (!ranked) {
      ++result_.refused;
      return;
    }
    const auto& view = ranked->front().upstream;
    const auto index = static_cast<std::size_t>(
        std::find(daemon.views.begin(), daemon.views.end(), view) -
        daemon.views.begin());
    auto& engine = engines_[index];
    Job job;
    job.request = request;
    job.sent_ms = ms;
    job.found_slot =
        view->ExpectedRequests(At(ms)) <= static_cast<double>(setup_.slots);
    job.expected_first_event = ranked->front().first_event;
    job.prefill_left = static_cast<double>(request.prefill_tokens);
    job.work_left = request.work_ms;
    view->requests += 1;
    view->prefill_tokens += request.prefill_tokens;
    job.prefill_ahead = static_cast<std::int64_t>(view->TotalPrefillTokens());
    ++result_.sent[index];
    const auto slice = static_cast<int>(ms / 10);
    if (engine.slice != slice) engine.in_slice = 0;
    engine.slice = slice;
    result_.largest_burst = std::max(result_.largest_burst, ++engine.in_slice);
    result_.other_zone.push_back(view->record.zone != daemon.zone);
    ++running_;
    engine.waiting.push_back(job);
    const auto depth =
        static_cast<double>(engine.waiting.size() + engine.running.size()) /
        static_cast<double>(setup_.slots);
    result_.deepest_queue = std::max(result_.deepest_queue, depth);
  }

  auto Step(std::size_t index, double ms) -> void {
    auto& engine = engines_[index];
    const auto slots = static_cast<std::size_t>(setup_.slots);
    while (engine.running.size() < slots && !engine.waiting.empty()) {
      engine.running.push_back(engine.waiting.front());
      engine.waiting.pop_front();
    }
    const auto factor = engine.spec.FactorAt(ms);
    double prefill = kPrefillTokensPerMs / factor;
    const auto batch = static_cast<double>(engine.running.size()) /
                       static_cast<double>(setup_.slots);
    const auto progress = 1 / (factor * (1 + kBatchSlowdown * batch));
    for (auto& job : engine.running) {
      const auto read = std::min(prefill, job.prefill_left);
      job.prefill_left -= read;
      prefill -= read;
      if (job.prefill_left > 0) continue;
      if (job.start_left > 0) {
        job.start_left -= 1 / factor;
        if (job.start_left <= 0) OnFirstEvent(index, job, factor, ms);
        continue;
      }
      job.work_left -= progress;
      if (job.work_left <= 0) OnEnd(index, job, ms);
    }
    engine.running.erase(
        std::remove_if(engine.running.begin(), engine.running.end(),
                       [](const Job& job) { return job.work_left <= 0; }),
        engine.running.end());
  }

  auto OnFirstEvent(std::size_t index, Job& job, double factor, double ms)
      -> void {
    auto& daemon = *daemons_[job.request.daemon];
    auto& view = *daemon.views[index];
    view.prefill_tokens -= job.request.prefill_tokens;
    job.factor = factor;
    job.first_event_ms = ms;
    const auto took = ms - job.sent_ms;
    result_.first_event_ms.push_back(took);
    if (job.expected_first_event) {
      result_.estimate_error_ms +=
          std::abs(took - ToSeconds(*job.expected_first_event) * 1000);
      ++result_.estimates;
    }
    const auto& engine = engines_[index];
    StatedLoad load;
    load.running = static_cast<std::int64_t>(engine.running.size());
    load.waiting = static_cast<std::int64_t>(engine.waiting.size());
    load.slots = setup_.slots;
    view.RecordStatedLoad(load, At(ms));
    if (setup_.states_factors) {
      daemon.table.ObserveWorkFactor(view, factor, At(ms));
    }
    const auto known = setup_.states_factors ? factor : 1;
    if (job.found_slot) {
      daemon.times.ObserveFirstEvent(PoolId("p"), job.prefill_ahead,
                                     FromSeconds(took / known / 1000));
    }
  }

  auto OnEnd(std::size_t index, const Job& job, double ms) -> void {
    auto& daemon = *daemons_[job.request.daemon];
    daemon.views[index]->requests -= 1;
    --running_;
    result_.total_ms.push_back(ms - job.sent_ms);
    const auto since = job.found_slot ? job.sent_ms : job.first_event_ms;
    const auto known = setup_.states_factors ? job.factor : 1;
    daemon.times.ObserveSlot(PoolId("p"),
                             FromSeconds((ms - since) / known / 1000));
  }

  SimulationSetup setup_;
  std::vector<Engine> engines_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  SimulationResult result_;
  int running_ = 0;
};

// Requests at `per_second` in random order at `daemons`, for `seconds`, of
// which `long_share` have long prompts.
inline auto MakeTrace(double per_second, double seconds, std::size_t daemons,
                      double work_ms, std::uint64_t seed)
    -> std::vector<SimulatedRequest> {
  Random random(seed);
  std::vector<SimulatedRequest> trace;
  for (double ms = 0; ms < seconds * 1000;
       ms += random.Exponential(1000 / per_second)) {
    SimulatedRequest request;
    request.at_ms = ms;
    request.daemon = random.Below(daemons);
    request.prefill_tokens = static_cast<std::int64_t>(
        random.Below(4) == 0 ? 1500 + random.Below(1500) : random.Below(300));
    request.work_ms = work_ms * (0.5 + random.Uniform());
    trace.push_back(request);
  }
  return trace;
}

}  // namespace dotterellug::serving
