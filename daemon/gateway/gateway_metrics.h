#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "telemetry/metrics/metrics.h"

namespace dotterellug::gateway {

// What a gateway counts. Each has one label; see GatewayMetrics::Descriptions.
enum class GatewayCounter {
  kRequests,
  kCauses,
  kRepeats,
  kOrders,
  kBadEntries,
  kStoreCalls,
  kStoreRestores,
  kCopyFetches,
  kDroppedLines,
  kStatedLoads,
  kAvoidances,
  kClientRefusals,
  // The label is pool/priority/decision.
  kQueueDecisions,
  kDutyCalls,
};

// What a gateway states as it is now.
enum class GatewayLevel {
  kConfigVersion,
  kOpenRequests,
  kWaitingRequests,
  kUpstreams,
  kMembers,
  kOrderLeaseHeld,
  kStoreAnswerAge,
  kStalledLists,
  kStoreEpoch,
  kHubAnswerAge,
  kZoneHubDaemons,
  kFleetHubDaemons,
  kQuarantinedParts,
  kRestrictedUpstreams,
  kKnownWorkFactors,
  kSlowUpstreams,
  kAvoidedUpstreams,
  kMemoryLimit,
  kClientConnections,
  kLastUsageWindow,
};

// The same with a label.
enum class GatewayPartLevel {
  // By pool and zone.
  kDesiredEngines,
};

// Durations of requests, as histograms.
enum class GatewayLatency {
  // From arrival to the first event of a stream or to a whole answer, for each
  // client account.
  kFirstAnswer,
  // From arrival to the end, for each client account.
  kTotal,
  // Time that a request waited for tokens or for an upstream, for each route.
  kWait,
  // Longest pause between two events of a stream, for each route.
  kLongestPause,
};

// Metrics of one gateway, in Prometheus' text format. Used by one thread.
class GatewayMetrics {
 public:
  GatewayMetrics();
  GatewayMetrics(const GatewayMetrics&) = delete;
  auto operator=(const GatewayMetrics&) -> GatewayMetrics& = delete;
  ~GatewayMetrics();

  // Counts one event of a kind, such as (kRequests, "ok").
  auto Count(GatewayCounter counter, std::string_view value, double amount = 1)
      -> void;
  auto Set(GatewayLevel level, double value) -> void;
  // Sets the bytes that clients cause for a use.
  auto SetMemory(std::string_view use, double bytes) -> void;
  // States one part, such as (kDesiredEngines, "pool/zone").
  auto Set(GatewayPartLevel level, std::string_view part, double value) -> void;
  // `value` is the account or the route; beyond a number of different ones it
  // is counted as "other".
  auto Observe(GatewayLatency latency, std::string_view value,
               Duration duration) -> void;
  // The page of GET /metrics.
  auto Text() const -> std::string;

  // All families; docs/OPERATIONS.md is checked against them.
  static auto Descriptions() -> std::vector<MetricDescription>;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace dotterellug::gateway
