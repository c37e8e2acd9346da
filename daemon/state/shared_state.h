#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

#include "admission/admission.h"
#include "core/core.h"
#include "daemon/state/published.h"
#include "daemon/traffic/admission_gate.h"
#include "daemon/traffic/request_context.h"
#include "document/document.h"
#include "frontend/frontend.h"
#include "placement/placement.h"
#include "routing/routing.h"
#include "telemetry/telemetry.h"
#include "upstream/upstream.h"

namespace dotterellug {

// Time limits of the request path.
struct TrafficTimeouts {
  // From sending a request until the head of its response.
  Duration head = std::chrono::seconds(10);
  // Between two parts of a response; longer means a silent connection.
  Duration progress = std::chrono::seconds(5);
};

// What the traffic threads share. The control thread writes the published
// values and flags; everything else is thread-safe by itself.
struct SharedState {
  static constexpr RetryBudgetOptions kResumeOptions{kWhole, 32};

  SharedState(const InstanceId& instance, Incarnation incarnation,
              const AdmissionOptions& admission)
      : ids(instance, incarnation),
        gate(admission),
        prefixes(PrefixIndexOptions{}),
        demand(instance, incarnation),
        retry_budget(RetryBudgetOptions{}),
        resume_budget(kResumeOptions),
        retry_random(Hash64(instance.Value())) {}

  Metrics metrics;
  RequestIdSource ids;
  AdmissionGate gate;
  ExchangePool exchanges;
  PrefixIndex prefixes;
  RoutingPolicy policy = ExpectedCost{};
  TrafficTimeouts timeouts;
  JsonLimits json_limits;
  // Replaces the caller's key towards upstreams; empty sends none.
  std::string upstream_credential;

  Published<ServingSnapshot> snapshot;
  Published<RoutingTable> routing;
  // Set while this daemon cannot tell whether its revision is current.
  std::atomic<bool> isolated{false};
  // When the process is about to end and requests get their final answers.
  std::atomic<Timestamp> final_answers_at{Timestamp::max()};
  // Whether new requests are refused because the process stops.
  std::atomic<bool> refuses_requests{false};
  auto MustAnswerNow() const -> bool {
    return MonotonicNow() >= final_answers_at.load();
  }

  std::mutex demand_mutex;
  DemandCounter demand;

  std::mutex retry_mutex;
  RetryBudget retry_budget;
  // Streams that are cut off when an engine dies all at once need more than
  // the retry budget allows; a resume repeats only the rest of the work.
  RetryBudget resume_budget;
  Random retry_random;
};

}  // namespace dotterellug
