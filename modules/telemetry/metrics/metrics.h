#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/time/time.h"

namespace dotterellug {

enum class MetricKind { kCounter, kGauge, kHistogram };

// One metric family as exported; the list in docs/operations/metrics.md is
// checked against Metrics::Descriptions.
struct MetricDescription {
  std::string name;
  MetricKind kind = MetricKind::kCounter;
  std::string help;
  std::vector<std::string> labels;
};

// The counters without labels of their own beyond `reason`.
enum class Event {
  kRetry,
  kResume,
  kCrossedResponse,
  kSilentConnection,
  kCallerDisconnect,
  kStaleRevision,
  kBudgetTransfer,
  kFencedCommand,
  kStoreError,
  kPeerError,
};

// The numbers that are set rather than counted.
enum class Level {
  kRevision,
  kOpenRequests,
  kWaitingRequests,
  kLiveMembers,
  kCurrencyAgeSeconds,
  kUpstreamsUp,
};

// All metrics of a daemon, in Prometheus' text format. Thread-safe.
class Metrics {
 public:
  Metrics();
  Metrics(const Metrics&) = delete;
  auto operator=(const Metrics&) -> Metrics& = delete;
  ~Metrics();

  // A request that ended, by client account ("" on an open route), class and
  // outcome: "ok", "refused", "failed" or "cancelled".
  auto CountRequest(const std::string& account, std::string_view priority,
                    std::string_view outcome) -> void;
  // A refusal by its reason, such as "budget" or "queue_full".
  auto CountRefusal(std::string_view reason) -> void;
  auto Count(Event event, double amount = 1) -> void;
  auto Set(Level level, double value) -> void;
  auto ObserveFirstToken(const std::string& account, std::string_view priority,
                         Duration duration) -> void;
  auto ObserveTokenInterval(const std::string& account,
                            std::string_view priority, Duration duration)
      -> void;
  auto ObserveQueueWait(const std::string& account, std::string_view priority,
                        Duration duration) -> void;
  auto ObserveTotal(const std::string& account, std::string_view priority,
                    Duration duration) -> void;

  // The page of GET /metrics.
  auto Text() const -> std::string;
  static auto Descriptions() -> std::vector<MetricDescription>;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace dotterellug
