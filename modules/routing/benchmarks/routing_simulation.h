#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "routing/benchmarks/simulated_workload.h"

namespace dotterellug::simulation {

// Parameters of one run of the simulation.
struct SimulationOptions {
  RoutingPolicy policy;
  WorkloadOptions workload;
  double requests_per_second = 30;
  std::uint64_t seed = 1;
  std::size_t engines = 9;
  std::size_t daemons = 8;
  Duration report_interval = std::chrono::milliseconds(250);
  Duration report_delay = std::chrono::milliseconds(300);
  Duration event_delay = std::chrono::milliseconds(400);
  double event_loss_fraction = 0.1;
  // Factor by which the first engine is slower than the others.
  double first_engine_slowdown = 1;
  Duration warm_up = std::chrono::seconds(20);
  // Simulated time, including the warm-up.
  Duration duration = std::chrono::seconds(140);
};

// Results of one run of the simulation.
struct SimulationResult {
  double first_token_median_ms = 0;
  double first_token_p95_ms = 0;
  // Fraction of the arrived requests that met the target for the time to first
  // token, 0.57 s.
  double slo_attainment = 0;
  // Fraction of the prompt tokens that were found in a prefix cache.
  double hit_rate = 0;
  // Requests in the most loaded engine divided by the mean of all engines,
  // averaged over time.
  double imbalance = 0;
};

// Simulates engines, their load reports and cache events, and daemons that
// receive these with a delay.
class RoutingSimulation {
 public:
  explicit RoutingSimulation(const SimulationOptions& options)
      : options_(options),
        random_(options.seed),
        workload_(options.workload, options.seed + 1000) {
    BuildEngines();
    BuildDaemons();
  }

  auto Run() -> SimulationResult {
    ScheduleArrival();
    ScheduleReports();
    events_.RunUntil(Timestamp(options_.duration));
    return Summarise();
  }

 private:
  struct Daemon {
    std::shared_ptr<const RoutingTable> table;
    std::unique_ptr<PrefixIndex> prefixes;
    std::unique_ptr<CacheEventApplier> applier;
    RoutingThreadState state{0};
  };
  struct Sample {
    Timestamp arrival;
    double first_token_ms = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
  };

  static auto EngineId(std::size_t engine) -> UpstreamId {
    return UpstreamId("e" + std::to_string(engine));
  }
  static auto ZoneId(std::size_t number) -> AvailabilityZoneId {
    return AvailabilityZoneId("z" + std::to_string(number % 4));
  }

  auto BuildEngines() -> void {
    for (std::size_t i = 0; i < options_.engines; ++i) {
      EngineOptions engine;
      if (i == 0) {
        engine.prefill_tokens_per_ms /= options_.first_engine_slowdown;
        engine.step_ms *= options_.first_engine_slowdown;
      }
      engines_.push_back(std::make_unique<SimulatedEngine>(events_, engine));
      sequences_.push_back(0);
      engines_.back()->SetCacheListener(
          [this, i](CacheEventKind kind, const BlockHashes& blocks) {
            SendCacheEvent(i, kind, blocks);
          });
    }
  }

  // Popular models are resident in more engines.
  auto IsModelResident(std::size_t engine, std::size_t model) const -> bool {
    const std::size_t copies = model < 3 ? 6 : model < 8 ? 4 : 2;
    return (engine + options_.engines - (model * 2) % options_.engines) %
               options_.engines <
           copies;
  }

  auto BuildDaemons() -> void {
    for (std::size_t i = 0; i < options_.engines; ++i) {
      Upstream upstream;
      upstream.id = EngineId(i);
      upstream.zone = ZoneId(i);
      document_.upstreams[upstream.id] = upstream;
      document_.zones[upstream.zone] = AvailabilityZone{upstream.zone, false};
    }
    for (std::size_t d = 0; d < options_.daemons; ++d) {
      RoutingInputs inputs;
      inputs.document = &document_;
      inputs.default_zone_latency_ms = options_.workload.zone_latency_ms;
      inputs.zone_latency_ms[ZoneId(d)] = 0.1;
      for (std::size_t i = 0; i < options_.engines; ++i) {
        inputs.statuses.push_back(Status(i));
      }
      Daemon daemon;
      daemon.table = RoutingTable::Build(inputs, nullptr);
      daemon.prefixes =
          std::make_unique<PrefixIndex>(PrefixIndexOptions{16'384});
      daemon.applier = std::make_unique<CacheEventApplier>(*daemon.prefixes);
      daemon.state = RoutingThreadState(options_.seed * 100 + d);
      daemons_.push_back(std::move(daemon));
    }
  }

  auto Status(std::size_t engine) const -> UpstreamStatus {
    UpstreamStatus status;
    status.id = EngineId(engine);
    status.state = UpstreamState::kLive;
    status.concurrency_limit = 100'000;
    for (std::size_t m = 0; m < options_.workload.models; ++m) {
      if (IsModelResident(engine, m)) {
        status.models.emplace_back("m" + std::to_string(m));
      }
    }
    return status;
  }

  auto SendCacheEvent(std::size_t engine, CacheEventKind kind,
                      const BlockHashes& blocks) -> void {
    const auto sequence = ++sequences_[engine];
    for (auto& daemon : daemons_) {
      if (random_.Uniform() < options_.event_loss_fraction) continue;
      CacheEvent event{*daemon.table->SlotOf(EngineId(engine)), Incarnation(1),
                       sequence, kind, blocks};
      auto* applier = daemon.applier.get();
      events_.Schedule(options_.event_delay, [this, applier, event] {
        applier->Apply(event, events_.Now());
      });
    }
  }

  auto SampleImbalance() -> void {
    double max_requests = 0;
    double total = 0;
    for (const auto& engine : engines_) {
      const auto report = engine->Report();
      const auto requests = static_cast<double>(report.waiting_requests +
                                                report.running_requests);
      max_requests = std::max(max_requests, requests);
      total += requests;
    }
    if (total == 0 || !InMeasurementWindow(events_.Now())) return;
    imbalance_sum_ +=
        max_requests * static_cast<double>(engines_.size()) / total;
    ++imbalance_count_;
  }

  auto ScheduleReports() -> void {
    SampleImbalance();
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      const auto report = engines_[i]->Report();
      for (auto& daemon : daemons_) {
        auto load = daemon.table->LoadOf(EngineId(i));
        const auto jitter = FromSeconds(0.02 * random_.Uniform());
        events_.Schedule(options_.report_delay + jitter,
                         [load, report] { load->ApplyReport(report); });
      }
    }
    events_.Schedule(options_.report_interval, [this] { ScheduleReports(); });
  }

  auto ScheduleArrival() -> void {
    const auto gap = random_.Exponential(1 / options_.requests_per_second);
    events_.Schedule(FromSeconds(gap), [this] {
      Route(workload_.Next());
      ScheduleArrival();
    });
  }

  auto Route(const RequestPointer& request) -> void {
    request->arrival = events_.Now();
    request->daemon = random_.Below(daemons_.size());
    auto& daemon = daemons_[request->daemon];
    const auto decision =
        ChooseEngine(options_.policy, *daemon.table, *daemon.prefixes,
                     request->routing, daemon.state, events_.Now());
    const auto& entry = daemon.table->Entries()[decision->chosen.position];
    request->engine = decision->chosen.position;
    const auto uncached =
        request->routing.prompt_tokens - decision->chosen.cached_tokens;
    request->ticket = InFlightGuard::Begin(entry.load, uncached, events_.Now());
    daemon.prefixes->RecordPrompt(request->routing.blocks, entry.slot,
                                  events_.Now());
    const auto one_way_latency = FromSeconds(entry.zone_latency_ms / 1000);
    request->on_first_token = [this, raw_request = request.get(),
                               one_way_latency] {
      raw_request->ticket->OnFirstToken();
      Record(*raw_request, one_way_latency);
    };
    request->on_end = [raw_request = request.get(), end = request->on_end] {
      raw_request->ticket.reset();
      end();
    };
    events_.Schedule(one_way_latency, [this, request] {
      engines_[request->engine]->Submit(request);
    });
  }

  auto Record(const SimulatedRequest& request, Duration one_way_latency)
      -> void {
    Sample sample;
    sample.arrival = request.arrival;
    sample.first_token_ms =
        ToSeconds(events_.Now() + one_way_latency - request.arrival) * 1000;
    sample.prompt_tokens = request.routing.prompt_tokens.Value();
    sample.cached_tokens = request.cached_tokens;
    samples_.push_back(sample);
  }

  // Whether a request that arrives at this time is included in the results. The
  // warm-up is excluded, and so are the last 5 s, whose requests may be
  // unfinished under any policy.
  auto InMeasurementWindow(Timestamp arrival) const -> bool {
    return arrival >= Timestamp(options_.warm_up) &&
           arrival < Timestamp(options_.duration - std::chrono::seconds(5));
  }

  auto Summarise() const -> SimulationResult {
    constexpr double kFirstTokenTargetMs = 570;
    std::vector<double> times;
    double prompt = 0;
    double cached = 0;
    double attained = 0;
    for (const auto& sample : samples_) {
      if (!InMeasurementWindow(sample.arrival)) continue;
      times.push_back(sample.first_token_ms);
      prompt += static_cast<double>(sample.prompt_tokens);
      cached += static_cast<double>(sample.cached_tokens);
      attained += sample.first_token_ms <= kFirstTokenTargetMs ? 1 : 0;
    }
    std::sort(times.begin(), times.end());
    SimulationResult result;
    result.first_token_median_ms = times[times.size() / 2];
    result.first_token_p95_ms = times[times.size() * 95 / 100];
    result.slo_attainment = attained / static_cast<double>(times.size());
    result.hit_rate = cached / prompt;
    result.imbalance = imbalance_sum_ / static_cast<double>(imbalance_count_);
    return result;
  }

  SimulationOptions options_;
  EventQueue events_;
  Random random_;
  Workload workload_;
  ServingDocument document_;
  std::vector<std::unique_ptr<SimulatedEngine>> engines_;
  std::vector<std::int64_t> sequences_;
  std::vector<Daemon> daemons_;
  std::vector<Sample> samples_;
  double imbalance_sum_ = 0;
  std::int64_t imbalance_count_ = 0;
};

}  // namespace dotterellug::simulation
