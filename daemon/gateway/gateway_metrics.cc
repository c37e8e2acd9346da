#include "daemon/gateway/gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>

#include "telemetry/metrics/latency_buckets.h"

namespace dotterellug::gateway {
namespace {

// Different values of a label with series of their own. A histogram takes about
// a kilobyte.
constexpr std::size_t kMostValues = 64;

struct Name {
  const char* name;
  const char* label;
  const char* help;
};

const std::array<Name, 14> kCounters{{
    {"dotterellug_gateway_requests_total", "outcome",
     "Requests that ended: ok, refused, failed or cancelled."},
    {"dotterellug_gateway_causes_total", "cause",
     "Requests that did not end well, by the cause in their log line."},
    {"dotterellug_gateway_repeats_total", "cause",
     "Attempts after the first one of a request, by what ended the one "
     "before."},
    {"dotterellug_gateway_orders_total", "outcome",
     "Orders to engines, by their outcome."},
    {"dotterellug_gateway_bad_entries_total", "kind",
     "Objects in the store that cannot be used, by the kind of error."},
    {"dotterellug_gateway_store_calls_total", "call",
     "Calls to the store, by method, kind of object and result."},
    {"dotterellug_gateway_store_restores_total", "call",
     "Restores of the store from a backup, by the call that showed them."},
    {"dotterellug_gateway_copy_fetches_total", "outcome",
     "Copies of lists in the store asked of other daemons, by outcome."},
    {"dotterellug_gateway_log_lines_dropped_total", "event",
     "Log lines that did not fit the bounds, by event."},
    {"dotterellug_gateway_stated_loads_total", "result",
     "Loads that upstreams stated in their responses: with a work factor, "
     "without one, or ignored because they cannot be right."},
    {"dotterellug_gateway_upstream_avoidances_total", "reason",
     "Decisions to avoid an upstream, or a model there, for a bounded time "
     "because of an answer."},
    {"dotterellug_gateway_client_refusals_total", "reason",
     "Clients refused to protect the memory or the descriptors of the "
     "instance."},
    {"dotterellug_gateway_queue_decisions_total", "decision",
     "Requests that found no capacity in a pool whose routes differ, by pool, "
     "priority and whether they wait in time, wait late or are refused."},
    {"dotterellug_gateway_duty_calls_total", "call",
     "Calls to the platform that one daemon at a time makes, by duty and "
     "outcome."},
}};

const std::array<Name, 20> kLevels{{
    {"dotterellug_gateway_config_version", "",
     "Version of the configuration in force."},
    {"dotterellug_gateway_open_requests", "",
     "Requests whose answer is not complete."},
    {"dotterellug_gateway_waiting_requests", "",
     "Requests that wait for tokens or for an upstream."},
    {"dotterellug_gateway_upstreams", "", "Upstreams that are known."},
    {"dotterellug_gateway_members", "", "Registered daemons."},
    {"dotterellug_gateway_order_lease_held", "",
     "1 while this daemon may order loads."},
    {"dotterellug_gateway_store_answer_age_seconds", "",
     "Time since the store last answered this daemon."},
    {"dotterellug_gateway_stalled_lists", "",
     "Lists of the store that cannot be read whole."},
    {"dotterellug_gateway_store_epoch", "",
     "Epoch of the store, which rises with each restore; 0 if it states none."},
    {"dotterellug_gateway_hub_answer_age_seconds", "",
     "Time since a hub last answered this daemon."},
    {"dotterellug_gateway_zone_hub_daemons", "",
     "Daemons that report to this daemon as their zone hub."},
    {"dotterellug_gateway_fleet_hub_daemons", "",
     "Daemons whose reports arrive here as the fleet hub."},
    {"dotterellug_gateway_quarantined_prompt_parts", "",
     "Prompt parts that end upstreams, so that requests with them are "
     "rejected."},
    {"dotterellug_gateway_restricted_upstreams", "",
     "Upstreams that state a rate of requests, leave, or asked to be left "
     "alone."},
    {"dotterellug_gateway_known_work_factors", "",
     "Upstreams whose work factor is known, from their responses or from "
     "other daemons."},
    {"dotterellug_gateway_slow_upstreams", "",
     "Upstreams that are expected to take more than 1.5 times as long as "
     "usual now."},
    {"dotterellug_gateway_avoided_upstreams", "",
     "Upstreams that are avoided for a moment because their answers said that "
     "requests were misdirected."},
    {"dotterellug_gateway_client_memory_limit_bytes", "",
     "Bound on the memory that clients cause; 0 for none."},
    {"dotterellug_gateway_client_connections", "",
     "Open connections of callers."},
    {"dotterellug_gateway_last_usage_window", "",
     "Highest window whose usage this daemon has reported to the platform; 0 "
     "if it has reported none."},
}};

const std::array<Name, 1> kPartLevels{{
    {"dotterellug_gateway_desired_engines", "subject",
     "Engines that this daemon has ordered as the holder of the order lease, "
     "by "
     "pool and zone; 0 if it holds the lease no more."},
}};

const Name kMemory{"dotterellug_gateway_client_memory_bytes", "use",
                   "Memory that clients cause, by its use."};

const std::array<Name, 4> kLatencies{{
    {"dotterellug_gateway_first_answer_seconds", "account",
     "Time from arrival to the first event of a stream or to a whole answer."},
    {"dotterellug_gateway_request_seconds", "account",
     "Time from arrival to the end of the answer."},
    {"dotterellug_gateway_wait_seconds", "route",
     "Time that a request waited for tokens or for an upstream."},
    {"dotterellug_gateway_longest_pause_seconds", "route",
     "Longest pause between two events of a stream."},
}};

// The series of one family by the value of its label. Asking prometheus-cpp for
// one builds and hashes a map of labels each time.
template <class Series>
using SeriesMap = std::map<std::string, Series*, std::less<>>;

auto Describe(const Name& name, MetricKind kind) -> MetricDescription {
  MetricDescription description{name.name, kind, name.help, {}};
  if (*name.label != '\0') description.labels.emplace_back(name.label);
  return description;
}

}  // namespace

class GatewayMetrics::Implementation {
 public:
  Implementation() {
    for (std::size_t i = 0; i < kCounters.size(); ++i) {
      counters_[i].family = &prometheus::BuildCounter()
                                 .Name(kCounters[i].name)
                                 .Help(kCounters[i].help)
                                 .Register(registry_);
    }
    for (std::size_t i = 0; i < kLevels.size(); ++i) {
      levels_[i] = &prometheus::BuildGauge()
                        .Name(kLevels[i].name)
                        .Help(kLevels[i].help)
                        .Register(registry_)
                        .Add({});
    }
    memory_.family = &prometheus::BuildGauge()
                          .Name(kMemory.name)
                          .Help(kMemory.help)
                          .Register(registry_);
    for (std::size_t i = 0; i < kPartLevels.size(); ++i) {
      part_levels_[i].family = &prometheus::BuildGauge()
                                    .Name(kPartLevels[i].name)
                                    .Help(kPartLevels[i].help)
                                    .Register(registry_);
    }
    for (std::size_t i = 0; i < kLatencies.size(); ++i) {
      latencies_[i].family = &prometheus::BuildHistogram()
                                  .Name(kLatencies[i].name)
                                  .Help(kLatencies[i].help)
                                  .Register(registry_);
    }
  }

  auto Count(std::size_t index, std::string_view value, double amount) -> void {
    const auto add = [&](const std::string& bounded) {
      return &counters_[index].family->Add({{kCounters[index].label, bounded}});
    };
    Find(counters_[index].series, value, add)->Increment(amount);
  }

  auto Set(std::size_t index, double value) -> void {
    levels_[index]->Set(value);
  }

  auto SetMemory(std::string_view use, double bytes) -> void {
    const auto add = [&](const std::string& bounded) {
      return &memory_.family->Add({{kMemory.label, bounded}});
    };
    Find(memory_.series, use, add)->Set(bytes);
  }

  auto SetPart(std::size_t index, std::string_view part, double value) -> void {
    const auto add = [&](const std::string& bounded) {
      return &part_levels_[index].family->Add(
          {{kPartLevels[index].label, bounded}});
    };
    Find(part_levels_[index].series, part, add)->Set(value);
  }

  auto Observe(std::size_t index, std::string_view value, Duration duration)
      -> void {
    const auto add = [&](const std::string& bounded) {
      return &latencies_[index].family->Add(
          {{kLatencies[index].label, bounded}}, LatencyBuckets());
    };
    Find(latencies_[index].series, value, add)->Observe(ToSeconds(duration));
  }

  auto Text() const -> std::string {
    return prometheus::TextSerializer().Serialize(registry_.Collect());
  }

 private:
  template <class Series>
  struct Family {
    prometheus::Family<Series>* family = nullptr;
    SeriesMap<Series> series;
  };

  template <class Series, class Add>
  static auto Find(SeriesMap<Series>& series, std::string_view value,
                   const Add& add) -> Series* {
    const auto found = series.find(value);
    if (found != series.end()) return found->second;
    const auto bounded =
        std::string(series.size() < kMostValues ? value : "other");
    auto& entry = series[bounded];
    if (entry == nullptr) entry = add(bounded);
    return entry;
  }

  prometheus::Registry registry_;
  std::array<Family<prometheus::Counter>, kCounters.size()> counters_;
  std::array<prometheus::Gauge*, kLevels.size()> levels_{};
  Family<prometheus::Gauge> memory_;
  std::array<Family<prometheus::Gauge>, kPartLevels.size()> part_levels_;
  std::array<Family<prometheus::Histogram>, kLatencies.size()> latencies_;
};

GatewayMetrics::GatewayMetrics()
    : implementation_(std::make_unique<Implementation>()) {}

GatewayMetrics::~GatewayMetrics() = default;

auto GatewayMetrics::Count(GatewayCounter counter, std::string_view value,
                           double amount) -> void {
  implementation_->Count(static_cast<std::size_t>(counter), value, amount);
}

auto GatewayMetrics::Set(GatewayLevel level, double value) -> void {
  implementation_->Set(static_cast<std::size_t>(level), value);
}

auto GatewayMetrics::SetMemory(std::string_view use, double bytes) -> void {
  implementation_->SetMemory(use, bytes);
}

auto GatewayMetrics::Set(GatewayPartLevel level, std::string_view part,
                         double value) -> void {
  implementation_->SetPart(static_cast<std::size_t>(level), part, value);
}

auto GatewayMetrics::Observe(GatewayLatency latency, std::string_view value,
                             Duration duration) -> void {
  implementation_->Observe(static_cast<std::size_t>(latency), value, duration);
}

auto GatewayMetrics::Text() const -> std::string {
  return implementation_->Text();
}

auto GatewayMetrics::Descriptions() -> std::vector<MetricDescription> {
  std::vector<MetricDescription> all;
  all.reserve(kCounters.size() + kLevels.size() + kPartLevels.size() +
              kLatencies.size() + 1);
  for (const auto& name : kCounters) {
    all.push_back(Describe(name, MetricKind::kCounter));
  }
  for (const auto& name : kLevels) {
    all.push_back(Describe(name, MetricKind::kGauge));
  }
  all.push_back(Describe(kMemory, MetricKind::kGauge));
  for (const auto& name : kPartLevels) {
    all.push_back(Describe(name, MetricKind::kGauge));
  }
  for (const auto& name : kLatencies) {
    all.push_back(Describe(name, MetricKind::kHistogram));
  }
  return all;
}

}  // namespace dotterellug::gateway
