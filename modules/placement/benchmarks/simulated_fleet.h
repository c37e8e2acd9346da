#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/random/random.h"
#include "placement/placement.h"

// A discrete-event simulation of request arrivals and control steps, with time
// as an argument, for comparing placement policies. Engines are modelled
// coarsely: each serves `kSlotsPerEngine` requests at once, each for an
// exponentially distributed time, in order of arrival.
namespace dotterellug {

// The models of a simulated fleet and its weight store.
struct Deployment {
  std::string name;
  int models = 18;
  // Not simulated.
  int adapters = 42;
  // Loads of 32 GB models per second that the weight store serves in total.
  double weight_loads_per_second = 1.6;
};

inline constexpr int kEngines = 9;
inline constexpr int kZones = 4;
inline constexpr int kAccounts = 5;
inline constexpr int kAcceleratorsPerEngine = 8;
inline constexpr int kSlotsPerEngine = 8;
inline constexpr double kMeanServiceSeconds = 1.6;
inline constexpr int kSimulatedSeconds = 3600;
inline constexpr int kMaxParallelWeightLoads = 5;
// KV cache memory per engine, which is not available for weights.
inline constexpr std::int64_t kKvMemoryGb = 20;

// Times are in seconds. `max_wait` is the longest time from the arrival to the
// start of service.
struct Request {
  double arrival = 0;
  int model = 0;
  int account = 0;
  double max_wait = 0;
  double service_time = 0;
};

// The requests of one simulated hour. The demand of each model is 1 to 10 times
// its base rate, with a new random factor every 10 minutes.
class Workload {
 public:
  Workload(const Deployment& deployment, double load, std::uint64_t seed)
      : random_(seed) {
    const std::array<std::int64_t, 6> sizes{14, 16, 26, 30, 40, 70};
    for (int model = 0; model < deployment.models; ++model) {
      weights_gb.push_back(sizes[random_.Below(sizes.size())]);
      base_rates_.push_back(1 / std::pow(model + 1, 0.9));
      std::vector<double> factors;
      for (int period = 0;
           period <= kSimulatedSeconds / kDemandPeriodSeconds + 1; ++period) {
        factors.push_back(std::pow(10, random_.Uniform()));
      }
      demand_factors_.push_back(std::move(factors));
    }
    double sum = 0;
    for (int second = 0; second < kSimulatedSeconds; ++second) {
      for (int model = 0; model < deployment.models; ++model) {
        sum += UnscaledRate(model, second);
      }
    }
    const auto requests = load * kEngines * kSlotsPerEngine /
                          kMeanServiceSeconds * kSimulatedSeconds;
    scale_ = requests / sum;
    GenerateRequests(deployment);
  }

  // Requests per second for `model` in the given second.
  auto Rate(int model, int second) const -> double {
    return scale_ * UnscaledRate(model, second);
  }
  auto MeanRate(int model) const -> double {
    double sum = 0;
    for (int second = 0; second < kSimulatedSeconds; ++second) {
      sum += Rate(model, second);
    }
    return sum / kSimulatedSeconds;
  }
  auto PeakRate(int model) const -> double {
    double peak = 0;
    for (int second = 0; second < kSimulatedSeconds; ++second) {
      peak = std::max(peak, Rate(model, second));
    }
    return peak;
  }

  std::vector<std::int64_t> weights_gb;
  std::vector<Request> requests;

 private:
  static constexpr int kDemandPeriodSeconds = 600;

  auto UnscaledRate(int model, int second) const -> double {
    const auto period = second / kDemandPeriodSeconds;
    const auto period_fraction =
        static_cast<double>(second % kDemandPeriodSeconds) /
        kDemandPeriodSeconds;
    // The factor moves to its new value within two minutes and then stays.
    const auto progress =
        std::min(1.0, period_fraction * kDemandPeriodSeconds / 120);
    const auto from = std::log(demand_factors_[model][period]);
    const auto to = std::log(demand_factors_[model][period + 1]);
    return base_rates_[model] * std::exp(from + (to - from) * progress);
  }

  auto GenerateRequests(const Deployment& deployment) -> void {
    // A few large accounts, each with its own preference among the models.
    const std::array<double, kAccounts> sizes{0.5, 0.25, 0.12, 0.08, 0.05};
    std::vector<std::vector<double>> account_demand_weights;
    for (int model = 0; model < deployment.models; ++model) {
      std::vector<double> demand_weights;
      demand_weights.reserve(sizes.size());
      for (const auto size : sizes) {
        demand_weights.push_back(size * (0.2 + random_.Uniform()));
      }
      account_demand_weights.push_back(std::move(demand_weights));
    }
    for (int second = 0; second < kSimulatedSeconds; ++second) {
      for (int model = 0; model < deployment.models; ++model) {
        const auto rate = Rate(model, second);
        double arrival = random_.Exponential(1 / rate);
        while (arrival < 1) {
          requests.push_back(MakeRequest(model, second + arrival,
                                         account_demand_weights[model]));
          arrival += random_.Exponential(1 / rate);
        }
      }
    }
    std::sort(
        requests.begin(), requests.end(),
        [](const auto& a, const auto& b) { return a.arrival < b.arrival; });
  }

  auto MakeRequest(int model, double arrival,
                   const std::vector<double>& account_demand_weights)
      -> Request {
    Request request{arrival, model, 0, 0,
                    random_.Exponential(kMeanServiceSeconds)};
    const auto kind = random_.Uniform();
    request.max_wait = kind < 0.6 ? 1 : (kind < 0.9 ? 5 : 60);
    double sum = 0;
    for (const auto weight : account_demand_weights) sum += weight;
    auto draw = random_.Uniform() * sum;
    while (request.account < kAccounts - 1 &&
           draw >= account_demand_weights[request.account]) {
      draw -= account_demand_weights[request.account++];
    }
    return request;
  }

  Random random_;
  double scale_ = 1;
  std::vector<double> base_rates_;
  std::vector<std::vector<double>> demand_factors_;
};

// A copy of a model on an engine; not resident while it is loading.
struct SimulatedCopy {
  int model = 0;
  bool resident = false;
  double last_used = 0;
};

// An engine with a fixed number of slots, each busy until the given second.
struct SimulatedEngine {
  int zone = 0;
  bool up = true;
  std::vector<SimulatedCopy> copies;
  std::array<double, kSlotsPerEngine> busy_until{};

  auto Find(int model) -> SimulatedCopy* {
    for (auto& copy : copies) {
      if (copy.model == model) return &copy;
    }
    return nullptr;
  }
  // The time at which the next free slot can start a request.
  auto EarliestStart(double now) const -> double {
    return std::max(now,
                    *std::min_element(busy_until.begin(), busy_until.end()));
  }
};

struct SimulationOptions {
  Deployment deployment;
  // Request rate as a fraction of what all slots can serve.
  double load = 0.7;
  std::uint64_t seed = 1;
  std::int64_t engine_memory_gb = 160;
  // Zone 0 has an outage in this period; its engines return with empty memory.
  double zone_outage_start = -1;
  double zone_outage_end = -1;
  // This model is not loaded at the start and not requested before
  // `unloaded_until`.
  int initially_unloaded_model = -1;
  double unloaded_until = 0;
};

// Attained requests are those served in time; `attained` is their fraction of
// all requests.
struct SimulationResult {
  double attained = 0;
  // Lowest attained fraction of any account.
  double min_account_attained = 0;
  // Loads that the policy started after the start of the simulation.
  double weight_loads = 0;
  // Wait of the first request served for the initially unloaded model; -1 if
  // none.
  double first_response_seconds = -1;
  // Sum over models of the seconds without a resident copy.
  double unreachable_seconds = 0;
  std::vector<double> offered_by_second =
      std::vector<double>(kSimulatedSeconds);
  std::vector<double> attained_by_second =
      std::vector<double>(kSimulatedSeconds);
};

class Simulation;

// The callbacks of a policy, which change the placement: at the start, once per
// simulated second, and for each request that no copy can serve in time.
class PlacementPolicy {
 public:
  std::function<void(Simulation&)> start;
  std::function<void(Simulation&)> every_second;
  std::function<void(Simulation&, int model)> on_miss;
  bool unlimited_memory = false;
};

// Replays a workload against a policy and counts the requests served in time.
class Simulation {
 public:
  Simulation(SimulationOptions options, const Workload& workload,
             PlacementPolicy& policy)
      : options_(std::move(options)), workload_(workload), policy_(policy) {
    engines.resize(kEngines);
    for (int i = 0; i < kEngines; ++i) engines[i].zone = i % kZones;
    waiting_.resize(workload.weights_gb.size());
  }

  auto Run() -> SimulationResult {
    policy_.start(*this);
    std::size_t next = 0;
    for (int second = 0; second < kSimulatedSeconds; ++second) {
      now = second;
      ApplyZoneOutage();
      FinishLoads(second);
      for (auto& count : arrivals) count = 0;
      while (next < workload_.requests.size() &&
             workload_.requests[next].arrival < second + 1) {
        const auto& request = workload_.requests[next++];
        FinishLoads(request.arrival);
        now = request.arrival;
        if (request.model == options_.initially_unloaded_model &&
            request.arrival < options_.unloaded_until) {
          continue;
        }
        Dispatch(request);
      }
      now = second + 1;
      CountUnreachable();
      if (policy_.every_second) policy_.every_second(*this);
    }
    return BuildResult();
  }

  // Reserves memory and queues the load; the caller must have freed the memory.
  auto Load(int engine, int model, bool initial) -> void {
    engines[engine].copies.push_back({model, initial, now});
    if (initial) return;
    ++result_.weight_loads;
    load_queue_.push_back({engine, model});
    StartLoads();
  }
  auto Unload(int engine, int model) -> void {
    auto& copies = engines[engine].copies;
    copies.erase(
        std::remove_if(copies.begin(), copies.end(),
                       [&](const auto& copy) { return copy.model == model; }),
        copies.end());
    load_queue_.erase(std::remove_if(load_queue_.begin(), load_queue_.end(),
                                     [&](const auto& load) {
                                       return load.engine == engine &&
                                              load.model == model;
                                     }),
                      load_queue_.end());
  }
  auto FreeMemory(int engine) const -> std::int64_t {
    auto free = options_.engine_memory_gb - kKvMemoryGb;
    for (const auto& copy : engines[engine].copies) {
      free -= workload_.weights_gb[copy.model];
    }
    return free;
  }
  auto GetWorkload() const -> const Workload& { return workload_; }
  auto Options() const -> const SimulationOptions& { return options_; }

  double now = 0;
  std::vector<SimulatedEngine> engines;
  // Requests per model in the current second.
  std::vector<double> arrivals = std::vector<double>(64);

 private:
  struct PendingLoad {
    int engine = 0;
    int model = 0;
  };

  auto CountUnreachable() -> void {
    if (policy_.unlimited_memory) return;
    const auto count = static_cast<int>(workload_.weights_gb.size());
    for (int model = 0; model < count; ++model) {
      if (model == options_.initially_unloaded_model &&
          now < options_.unloaded_until) {
        continue;
      }
      const bool reachable =
          std::any_of(engines.begin(), engines.end(), [&](auto& engine) {
            const auto* copy = engine.Find(model);
            return engine.up && copy != nullptr && copy->resident;
          });
      if (!reachable) result_.unreachable_seconds += 1;
    }
  }

  auto ApplyZoneOutage() -> void {
    for (auto& engine : engines) {
      if (engine.zone != 0) continue;
      if (now == options_.zone_outage_start) {
        engine.up = false;
        if (!policy_.unlimited_memory) {
          for (auto& copy : engine.copies) copy.resident = false;
        }
      }
      if (now == options_.zone_outage_end) {
        engine.up = true;
        engine.busy_until.fill(now);
        // Lost copies that the policy has not removed are loaded again, as the
        // static policies need.
        const auto index = static_cast<int>(&engine - engines.data());
        for (const auto& copy : engine.copies) {
          if (!copy.resident) load_queue_.push_back({index, copy.model});
        }
        StartLoads();
      }
    }
  }

  auto StartLoads() -> void {
    while (!load_queue_.empty() &&
           static_cast<int>(running_loads_.size()) < kMaxParallelWeightLoads) {
      const auto load = load_queue_.front();
      load_queue_.erase(load_queue_.begin());
      const auto rate = options_.deployment.weight_loads_per_second;
      const auto size =
          static_cast<double>(workload_.weights_gb[load.model]) / 32;
      running_loads_.emplace(now + kMaxParallelWeightLoads / rate * size, load);
    }
  }

  auto FinishLoads(double until) -> void {
    while (!running_loads_.empty() && running_loads_.begin()->first <= until) {
      now = running_loads_.begin()->first;
      const auto load = running_loads_.begin()->second;
      running_loads_.erase(running_loads_.begin());
      auto& engine = engines[load.engine];
      if (auto* copy = engine.Find(load.model); copy != nullptr && engine.up) {
        copy->resident = true;
        auto requests = std::move(waiting_[load.model]);
        waiting_[load.model].clear();
        for (const auto& request : requests) Dispatch(request);
      }
      StartLoads();
    }
  }

  auto Dispatch(const Request& request) -> void {
    const bool waited = request.arrival < now;
    if (!waited) {
      arrivals[request.model] += 1;
      ++offered_[request.account];
      result_.offered_by_second[static_cast<int>(request.arrival)] += 1;
    }
    SimulatedEngine* best = nullptr;
    for (auto& engine : engines) {
      if (!engine.up) continue;
      auto* copy = engine.Find(request.model);
      const bool is_loaded =
          policy_.unlimited_memory || (copy != nullptr && copy->resident);
      if (!is_loaded) continue;
      if (copy != nullptr) copy->last_used = now;
      if (best == nullptr ||
          engine.EarliestStart(now) < best->EarliestStart(now)) {
        best = &engine;
      }
    }
    if (best == nullptr) {
      if (request.arrival + request.max_wait > now) {
        waiting_[request.model].push_back(request);
      }
      if (policy_.on_miss && !waited) policy_.on_miss(*this, request.model);
      return;
    }
    const auto start = best->EarliestStart(now);
    if (start - request.arrival > request.max_wait) {
      if (policy_.on_miss && !waited) policy_.on_miss(*this, request.model);
      return;
    }
    *std::min_element(best->busy_until.begin(), best->busy_until.end()) =
        start + request.service_time;
    ++attained_[request.account];
    result_.attained_by_second[static_cast<int>(request.arrival)] += 1;
    if (request.model == options_.initially_unloaded_model &&
        result_.first_response_seconds < 0) {
      result_.first_response_seconds = start - request.arrival;
    }
  }

  auto BuildResult() -> SimulationResult {
    double offered = 0;
    double attained = 0;
    result_.min_account_attained = 1;
    for (int account = 0; account < kAccounts; ++account) {
      offered += offered_[account];
      attained += attained_[account];
      result_.min_account_attained = std::min(
          result_.min_account_attained, attained_[account] / offered_[account]);
    }
    result_.attained = attained / offered;
    return result_;
  }

  SimulationOptions options_;
  const Workload& workload_;
  PlacementPolicy& policy_;
  std::vector<std::vector<Request>> waiting_;
  std::vector<PendingLoad> load_queue_;
  std::multimap<double, PendingLoad> running_loads_;
  std::array<double, kAccounts> offered_{};
  std::array<double, kAccounts> attained_{};
  SimulationResult result_;
};

}  // namespace dotterellug
