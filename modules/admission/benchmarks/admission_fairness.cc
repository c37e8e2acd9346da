// Compares AdmissionQueue with a first-in-first-out queue of the same capacity
// on a simulated server of 16 slots and 100,000 tokens per second. Prints CSV
// with the medians over the seeds given as arguments (default 1 to 5).
//
// Scenario `alone`: each of 5 accounts uses 90% of its fair share of the
// capacity.
// Scenario `five_fold`: the first account sends five times that.
// Scenario `batch`: interactive and standard requests need 105% of the capacity
// and batch requests another 10%; batch_max_age is 60 s.

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "admission/admission.h"
#include "core/core.h"

namespace dotterellug {
namespace {

constexpr double kTokensPerSecond = 100'000;
constexpr int kSlots = 16;
constexpr double kMeanCost = 800;
constexpr std::size_t kAccounts = 5;
constexpr Duration kRunDuration = std::chrono::seconds(600);
constexpr std::size_t kQueueCapacity = 2000;

// First-in-first-out baseline. Drops a request that has passed its latest start
// when it reaches the head of the queue.
class FifoQueue {
 public:
  auto Enqueue(const QueuedRequest& request, Timestamp /*now*/)
      -> std::vector<Refusal> {
    if (requests_.size() >= kQueueCapacity) return {MakeRefusal(request)};
    requests_.push_back(request);
    return {};
  }
  auto StartNext(Timestamp now) -> StartResult {
    StartResult result;
    while (!requests_.empty() && !result.request) {
      auto request = requests_.front();
      requests_.pop_front();
      if (request.LatestStart() < now) {
        result.expired.push_back(MakeRefusal(request));
      } else {
        result.request = request;
      }
    }
    return result;
  }

 private:
  static auto MakeRefusal(const QueuedRequest& request) -> Refusal {
    Refusal refusal;
    refusal.account = request.account;
    refusal.priority = request.priority;
    return refusal;
  }

  std::deque<QueuedRequest> requests_;
};

// AdmissionQueue with the interface of FifoQueue.
class FairQueue {
 public:
  explicit FairQueue(const AdmissionOptions& options) : queue_(options) {}

  auto Enqueue(const QueuedRequest& request, Timestamp now)
      -> std::vector<Refusal> {
    auto result = queue_.Enqueue(request, now);
    if (!result.outcome) result.shed.push_back(result.outcome.error());
    return result.shed;
  }
  auto StartNext(Timestamp now) -> StartResult { return queue_.StartNext(now); }

 private:
  AdmissionQueue queue_;
};

using Queue = std::variant<FifoQueue, FairQueue>;

// A Poisson arrival process of requests of one account and class.
struct Source {
  std::size_t account = 0;
  PriorityClass priority = PriorityClass::kStandard;
  // Offered load as a fraction of the server's capacity.
  double load_fraction = 0;
  double deadline_seconds = 10;
};

// Counters of one account and class. Waits are in seconds.
struct SourceStats {
  std::int64_t arrived = 0;
  std::int64_t refused = 0;
  std::int64_t started = 0;
  double tokens = 0;
  double longest_wait_seconds = 0;
  std::vector<double> waits;
};

using SourceKey = std::pair<std::size_t, PriorityClass>;
using StatsBySource = std::map<SourceKey, SourceStats>;

auto AccountName(std::size_t account) -> ClientAccountId {
  return ClientAccountId("account" + std::to_string(account));
}

// A discrete event simulation of a server whose slots each process one request
// at a time, with a queue in front of it.
class Server {
 public:
  Server(Queue queue, std::vector<Source> sources, std::uint64_t seed)
      : queue_(std::move(queue)),
        sources_(std::move(sources)),
        random_(seed),
        slots_(kSlots) {
    for (std::size_t i = 0; i < kAccounts; ++i) accounts_[AccountName(i)] = i;
    for (const auto& source : sources_) next_.push_back(ArrivalGap(source));
  }

  // Simulates kRunDuration of arrivals.
  auto Run() -> StatsBySource {
    for (;;) {
      const auto source = static_cast<std::size_t>(
          std::min_element(next_.begin(), next_.end()) - next_.begin());
      const auto slot = std::min_element(slots_.begin(), slots_.end());
      const auto now = std::max(now_, *slot);
      if (queue_may_be_nonempty_ && now <= next_[source]) {
        Start(*slot, now);
        continue;
      }
      if (next_[source] > Timestamp(kRunDuration)) return stats_;
      now_ = next_[source];
      Arrive(sources_[source]);
      next_[source] += ArrivalGap(sources_[source]).time_since_epoch();
    }
  }

 private:
  // Exponentially distributed time between two arrivals of a source.
  auto ArrivalGap(const Source& source) -> Timestamp {
    const auto rate = source.load_fraction * kTokensPerSecond / kMeanCost;
    return Timestamp(FromSeconds(random_.Exponential(1 / rate)));
  }

  // Log-normally distributed cost with mean kMeanCost, capped at 20,000 tokens.
  auto RandomCost() -> Tokens {
    const auto u = 1 - random_.Uniform();
    const auto v = random_.Uniform();
    const auto normal = std::sqrt(-2 * std::log(u)) * std::cos(2 * M_PI * v);
    return Tokens(1 + static_cast<std::int64_t>(
                          std::min(kMeanCost * std::exp(normal - 0.5), 2e4)));
  }

  auto Arrive(const Source& source) -> void {
    QueuedRequest request;
    request.account = AccountName(source.account);
    request.priority = source.priority;
    request.cost = RandomCost();
    request.arrival = now_;
    request.deadline = now_ + FromSeconds(source.deadline_seconds);
    ++stats_[{source.account, source.priority}].arrived;
    Refuse(std::visit([&](auto& queue) { return queue.Enqueue(request, now_); },
                      queue_));
    queue_may_be_nonempty_ = true;
  }

  // Starts the next request, if there is one, in a slot that is free at `now`.
  auto Start(Timestamp& slot, Timestamp now) -> void {
    now_ = now;
    const auto result =
        std::visit([&](auto& queue) { return queue.StartNext(now); }, queue_);
    Refuse(result.expired);
    queue_may_be_nonempty_ = result.request.has_value();
    if (!result.request) return;
    const auto& request = *result.request;
    auto& stats = stats_[{accounts_.at(request.account), request.priority}];
    const auto wait = ToSeconds(now - request.arrival);
    ++stats.started;
    stats.tokens += static_cast<double>(request.cost.Value());
    stats.longest_wait_seconds = std::max(stats.longest_wait_seconds, wait);
    stats.waits.push_back(wait);
    slot = now + FromSeconds(static_cast<double>(request.cost.Value()) *
                             kSlots / kTokensPerSecond);
  }

  auto Refuse(const std::vector<Refusal>& refusals) -> void {
    for (const auto& refusal : refusals) {
      ++stats_[{accounts_.at(refusal.account), refusal.priority}].refused;
    }
  }

  Queue queue_;
  std::vector<Source> sources_;
  Random random_;
  // The time at which each slot becomes free.
  std::vector<Timestamp> slots_;
  // The time of the next arrival of each source.
  std::vector<Timestamp> next_;
  std::map<ClientAccountId, std::size_t> accounts_;
  Timestamp now_{};
  bool queue_may_be_nonempty_ = false;
  StatsBySource stats_;
};

auto Median(std::vector<double> values) -> double {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

auto FairnessSources(double first_account_load_factor) -> std::vector<Source> {
  std::vector<Source> sources;
  for (std::size_t i = 0; i < kAccounts; ++i) {
    const double load_factor = i == 0 ? first_account_load_factor : 1;
    sources.push_back(
        Source{i, PriorityClass::kStandard, load_factor * 0.9 / kAccounts, 10});
  }
  return sources;
}

auto BatchSources() -> std::vector<Source> {
  std::vector<Source> sources;
  for (std::size_t i = 0; i < kAccounts; ++i) {
    sources.push_back(
        Source{i, PriorityClass::kInteractive, 0.75 / kAccounts, 10});
    sources.push_back(
        Source{i, PriorityClass::kStandard, 0.30 / kAccounts, 30});
    sources.push_back(Source{i, PriorityClass::kBatch, 0.10 / kAccounts, 3600});
  }
  return sources;
}

auto MakeQueue(const std::string& name) -> Queue {
  AdmissionOptions options;
  options.max_requests_per_class = kQueueCapacity;
  options.max_requests = kQueueCapacity;
  options.batch_max_age = std::chrono::seconds(60);
  if (name == "fifo") return FifoQueue{};
  if (name == "fair_without_aging") options.batch_max_age = kRunDuration * 10;
  return FairQueue(options);
}

// Prints, over the accounts other than the first: the smallest fraction of
// requests started, the largest fraction refused and the largest median wait.
auto PrintFairness(const char* scenario, double load_factor, const char* name,
                   const std::vector<std::uint64_t>& seeds) -> void {
  std::vector<double> other_started_fractions;
  std::vector<double> refused;
  std::vector<double> waits;
  std::vector<double> first_account_started;
  for (const auto seed : seeds) {
    const auto all_stats =
        Server(MakeQueue(name), FairnessSources(load_factor), seed).Run();
    double min_started_fraction = 1;
    double max_refused_fraction = 0;
    double max_median_wait = 0;
    for (const auto& [key, stats] : all_stats) {
      const auto arrived = static_cast<double>(stats.arrived);
      const auto started_fraction =
          static_cast<double>(stats.started) / arrived;
      if (key.first == 0) {
        first_account_started.push_back(started_fraction);
        continue;
      }
      min_started_fraction = std::min(min_started_fraction, started_fraction);
      max_refused_fraction = std::max(
          max_refused_fraction, static_cast<double>(stats.refused) / arrived);
      max_median_wait = std::max(max_median_wait, Median(stats.waits));
    }
    other_started_fractions.push_back(min_started_fraction);
    refused.push_back(max_refused_fraction);
    waits.push_back(max_median_wait);
  }
  std::printf("%s,%s,%.4f,%.4f,%.3f,%.3f\n", scenario, name,
              Median(other_started_fractions), Median(refused), Median(waits),
              Median(first_account_started));
}

// Prints the fraction of requests started for each class, median waits, and the
// capacity used and longest wait of the batch class.
auto PrintBatch(const char* name, const std::vector<std::uint64_t>& seeds)
    -> void {
  std::array<std::vector<double>, kPriorityClasses> started;
  std::array<std::vector<double>, kPriorityClasses> waits;
  std::vector<double> batch_capacity_fraction;
  std::vector<double> longest_batch_wait;
  for (const auto seed : seeds) {
    const auto all_stats = Server(MakeQueue(name), BatchSources(), seed).Run();
    std::array<SourceStats, kPriorityClasses> classes;
    for (const auto& [key, stats] : all_stats) {
      auto& sum = classes[static_cast<std::size_t>(key.second)];
      sum.arrived += stats.arrived;
      sum.started += stats.started;
      sum.tokens += stats.tokens;
      sum.longest_wait_seconds =
          std::max(sum.longest_wait_seconds, stats.longest_wait_seconds);
      sum.waits.insert(sum.waits.end(), stats.waits.begin(), stats.waits.end());
    }
    for (std::size_t i = 0; i < kPriorityClasses; ++i) {
      started[i].push_back(static_cast<double>(classes[i].started) /
                           static_cast<double>(classes[i].arrived));
      waits[i].push_back(Median(classes[i].waits));
    }
    batch_capacity_fraction.push_back(
        classes[2].tokens / (kTokensPerSecond * ToSeconds(kRunDuration)));
    longest_batch_wait.push_back(classes[2].longest_wait_seconds);
  }
  std::printf("batch,%s,%.3f,%.3f,%.3f,%.3f,%.3f,%.3f,%.1f\n", name,
              Median(started[0]), Median(waits[0]), Median(started[1]),
              Median(waits[1]), Median(started[2]),
              Median(batch_capacity_fraction), Median(longest_batch_wait));
}

}  // namespace
}  // namespace dotterellug

auto main(int argc, char** argv) -> int {
  std::vector<std::uint64_t> seeds;
  for (int i = 1; i < argc; ++i) {
    seeds.push_back(std::strtoull(argv[i], nullptr, 10));
  }
  if (seeds.empty()) seeds = {1, 2, 3, 4, 5};
  std::printf("# seeds:");
  for (const auto seed : seeds) {
    std::printf(" %llu", static_cast<unsigned long long>(seed));
  }
  std::printf(
      "\nscenario,queue,worst_other_started,worst_other_refused,"
      "worst_other_median_wait_s,first_account_started\n");
  for (const auto* name : {"fifo", "fair"}) {
    dotterellug::PrintFairness("alone", 1, name, seeds);
    dotterellug::PrintFairness("five_fold", 5, name, seeds);
  }
  std::printf(
      "scenario,queue,interactive_started,interactive_median_wait_s,"
      "standard_started,standard_median_wait_s,batch_started,"
      "batch_capacity_part,batch_longest_wait_s\n");
  for (const auto* name : {"fifo", "fair_without_aging", "fair"}) {
    dotterellug::PrintBatch(name, seeds);
  }
  return 0;
}
