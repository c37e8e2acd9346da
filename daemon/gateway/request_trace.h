#pragma once

#include <cstdint>
#include <string>

#include "core/core.h"
#include "daemon/gateway/gateway_context.h"

namespace dotterellug::gateway {

// What is known of a request at its end.
struct RequestEnd {
  const serving::ServiceRequest& request;
  // Null when no route was found.
  const serving::ServiceRoute* route = nullptr;
  // Empty without a key.
  ClientAccountId account{};
  std::int64_t charged_tokens = 0;
  // Version of the configuration that decided; -1 if none was known.
  std::int64_t config = -1;
  // Attempts made, and the upstream of the last one; empty if none.
  int sent = 0;
  UpstreamId upstream{};
  // Because of which the request was rejected; empty if it was not.
  PromptPartId quarantined_part{};
  // "ok", "refused", "failed" or "cancelled".
  const char* outcome = "";
  // Empty when all went well.
  const char* cause = "";
  // 0 when the connection was closed instead of an answer.
  int status = 0;
};

// What is known of an attempt whose upstream broke the connection.
struct BrokenAttempt {
  UpstreamId upstream;
  // Start of the upstream's process, as its record states it.
  std::int64_t upstream_started_ms = 0;
  Timestamp sent_at;
  // 0 if the connection broke before a response head.
  int status = 0;
  // Complete events of the stream that this attempt delivered.
  std::int64_t events = 0;
};

// Writes the log lines of one request and observes its latencies.
class RequestTrace {
 public:
  RequestTrace(GatewayContext& context, Timestamp arrival)
      : context_(context), arrival_(arrival) {}

  // It waits for `reason` until `until` at the latest.
  auto Waits(const RequestId& request, const char* reason, Timestamp until)
      -> void;
  // An attempt leaves for `upstream`, whose load decided.
  auto Sent(const RequestId& request, int attempt,
            const serving::UpstreamView& upstream, Duration time_left,
            std::int64_t config) -> void;
  // An attempt ended because its upstream broke the connection.
  auto BrokenOff(const serving::ServiceRequest& request,
                 const BrokenAttempt& attempt) -> void;
  // The answer, or an event of it, was passed on.
  auto Passed(Timestamp now) -> void;
  auto Ended(const RequestEnd& end) -> void;

 private:
  auto StopWaiting(Timestamp now) -> void;
  auto Observe(const RequestEnd& end, Timestamp now) -> void;

  GatewayContext& context_;
  Timestamp arrival_;
  // Zero while it does not wait.
  Timestamp waits_since_{};
  Duration waited_{0};
  Timestamp first_passed_{};
  Timestamp last_passed_{};
  Duration longest_pause_{0};
};

}  // namespace dotterellug::gateway
