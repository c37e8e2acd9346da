#include "telemetry/metrics/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <sstream>

#include "telemetry/metrics/label_limit.h"
#include "telemetry/metrics/latency_buckets.h"

namespace dotterellug {
namespace {

// Client accounts with series of their own; 4 histograms and a counter each.
constexpr std::size_t kMaxAccounts = 200;

const std::array<const char*, 10> kEventNames{
    "dotterellug_retries_total",
    "dotterellug_stream_resumes_total",
    "dotterellug_crossed_responses_total",
    "dotterellug_silent_connections_total",
    "dotterellug_caller_disconnects_total",
    "dotterellug_stale_revisions_total",
    "dotterellug_budget_transfers_total",
    "dotterellug_fenced_commands_total",
    "dotterellug_store_errors_total",
    "dotterellug_peer_errors_total"};

const std::array<const char*, 10> kEventHelp{
    "Attempts repeated on another upstream.",
    "Streams continued on another upstream after a cut.",
    "Responses discarded because they belonged to another request.",
    "Connections closed because nothing came within the progress deadline.",
    "Requests ended because their caller closed the connection.",
    "Revisions ignored because a higher one was in force.",
    "Token transfers requested from other daemons.",
    "Commands or grants ignored because of an old term.",
    "Failed calls to the object API.",
    "Failed calls to other daemons."};

const std::array<const char*, 6> kLevelNames{"dotterellug_revision",
                                             "dotterellug_open_requests",
                                             "dotterellug_waiting_requests",
                                             "dotterellug_live_members",
                                             "dotterellug_currency_age_seconds",
                                             "dotterellug_upstreams_up"};

const std::array<const char*, 6> kLevelHelp{
    "Revision of the serving document in force.",
    "Requests whose response is not complete.",
    "Requests waiting for capacity.",
    "Daemons this daemon considers live, itself included.",
    "Age of the last proof that the revision is current.",
    "Upstreams that answer load reports."};

struct HistogramName {
  const char* name;
  const char* help;
};

const std::array<HistogramName, 4> kHistograms{{
    {"dotterellug_first_token_seconds",
     "Time from arrival to the first token."},
    {"dotterellug_token_interval_seconds", "Time between two tokens."},
    {"dotterellug_queue_wait_seconds", "Time waited for capacity."},
    {"dotterellug_request_seconds",
     "Time from arrival to the end of the response."},
}};

using HistogramFamily = prometheus::Family<prometheus::Histogram>;

}  // namespace

class Metrics::Implementation {
 public:
  Implementation() : accounts_(kMaxAccounts) {
    requests_ = &prometheus::BuildCounter()
                     .Name("dotterellug_requests_total")
                     .Help("Requests that ended, by outcome.")
                     .Register(registry_);
    refusals_ = &prometheus::BuildCounter()
                     .Name("dotterellug_refusals_total")
                     .Help("Requests refused before they ran, by reason.")
                     .Register(registry_);
    for (std::size_t i = 0; i < kEventNames.size(); ++i) {
      events_[i] = &prometheus::BuildCounter()
                        .Name(kEventNames[i])
                        .Help(kEventHelp[i])
                        .Register(registry_)
                        .Add({});
    }
    for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
      levels_[i] = &prometheus::BuildGauge()
                        .Name(kLevelNames[i])
                        .Help(kLevelHelp[i])
                        .Register(registry_)
                        .Add({});
    }
    for (std::size_t i = 0; i < kHistograms.size(); ++i) {
      histograms_[i] = &prometheus::BuildHistogram()
                            .Name(kHistograms[i].name)
                            .Help(kHistograms[i].help)
                            .Register(registry_);
    }
  }

  auto CountRequest(const std::string& account, std::string_view priority,
                    std::string_view outcome) -> void {
    requests_
        ->Add({{"account", accounts_.Bound(account)},
               {"class", std::string(priority)},
               {"outcome", std::string(outcome)}})
        .Increment();
  }

  auto CountRefusal(std::string_view reason) -> void {
    refusals_->Add({{"reason", std::string(reason)}}).Increment();
  }

  auto Count(Event event, double amount) -> void {
    events_[static_cast<std::size_t>(event)]->Increment(amount);
  }

  auto Set(Level level, double value) -> void {
    levels_[static_cast<std::size_t>(level)]->Set(value);
  }

  auto Observe(std::size_t histogram, const std::string& account,
               std::string_view priority, Duration duration) -> void {
    histograms_[histogram]
        ->Add({{"account", accounts_.Bound(account)},
               {"class", std::string(priority)}},
              LatencyBuckets())
        .Observe(ToSeconds(duration));
  }

  auto Text() const -> std::string {
    return prometheus::TextSerializer().Serialize(registry_.Collect());
  }

 private:
  prometheus::Registry registry_;
  LabelLimit accounts_;
  prometheus::Family<prometheus::Counter>* requests_ = nullptr;
  prometheus::Family<prometheus::Counter>* refusals_ = nullptr;
  std::array<prometheus::Counter*, kEventNames.size()> events_{};
  std::array<prometheus::Gauge*, kLevelNames.size()> levels_{};
  std::array<HistogramFamily*, kHistograms.size()> histograms_{};
};

Metrics::Metrics() : implementation_(std::make_unique<Implementation>()) {}
Metrics::~Metrics() = default;

auto Metrics::CountRequest(const std::string& account,
                           std::string_view priority, std::string_view outcome)
    -> void {
  implementation_->CountRequest(account, priority, outcome);
}

auto Metrics::CountRefusal(std::string_view reason) -> void {
  implementation_->CountRefusal(reason);
}

auto Metrics::Count(Event event, double amount) -> void {
  implementation_->Count(event, amount);
}

auto Metrics::Set(Level level, double value) -> void {
  implementation_->Set(level, value);
}

auto Metrics::ObserveFirstToken(const std::string& account,
                                std::string_view priority, Duration duration)
    -> void {
  implementation_->Observe(0, account, priority, duration);
}

auto Metrics::ObserveTokenInterval(const std::string& account,
                                   std::string_view priority, Duration duration)
    -> void {
  implementation_->Observe(1, account, priority, duration);
}

auto Metrics::ObserveQueueWait(const std::string& account,
                               std::string_view priority, Duration duration)
    -> void {
  implementation_->Observe(2, account, priority, duration);
}

auto Metrics::ObserveTotal(const std::string& account,
                           std::string_view priority, Duration duration)
    -> void {
  implementation_->Observe(3, account, priority, duration);
}

auto Metrics::Text() const -> std::string { return implementation_->Text(); }

auto Metrics::Descriptions() -> std::vector<MetricDescription> {
  std::vector<MetricDescription> all{
      {"dotterellug_requests_total",
       MetricKind::kCounter,
       "Requests that ended, by outcome.",
       {"account", "class", "outcome"}},
      {"dotterellug_refusals_total",
       MetricKind::kCounter,
       "Requests refused before they ran, by reason.",
       {"reason"}}};
  for (std::size_t i = 0; i < kEventNames.size(); ++i) {
    all.push_back({kEventNames[i], MetricKind::kCounter, kEventHelp[i], {}});
  }
  for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
    all.push_back({kLevelNames[i], MetricKind::kGauge, kLevelHelp[i], {}});
  }
  for (const auto& histogram : kHistograms) {
    all.push_back({histogram.name,
                   MetricKind::kHistogram,
                   histogram.help,
                   {"account", "class"}});
  }
  return all;
}

}  // namespace dotterellug
