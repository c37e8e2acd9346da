#pragma once

#include "budget/budget.h"
#include "core/core.h"
#include "fleet/grants/granted_tokens.h"
#include "serving/serving.h"

namespace dotterellug::fleet {

// The rate limit by which hubs grant permits for an upstream that states a
// rate, in tokens of which a request takes kTokensPerUpstreamRequest. A rate
// near zero is raised to one that lets a request through from time to time, so
// that its answer shows when the rate ends.
auto UpstreamRateLimit(double requests_per_second) -> RateLimit;

// Permits for requests to upstreams that state a rate. The rate is for all
// daemons together, so permits come from the hub, as the tokens of client
// accounts do; upstreams that state no rate need none. Not thread-safe.
class UpstreamPermits {
 public:
  // Both must outlive this object.
  UpstreamPermits(GrantedTokens& granted_tokens,
                  const serving::BackpressureTable& backpressure)
      : granted_tokens_(granted_tokens), backpressure_(backpressure) {}

  // Takes a permit for one request and returns true, or returns false if there
  // is none.
  auto TryAcquire(const UpstreamId& upstream, Timestamp now) -> bool;
  // Whether a request could be sent to the upstream now.
  auto HasPermit(const UpstreamId& upstream) const -> bool;
  // Returns the permit of a request that did not reach the upstream.
  auto Return(const UpstreamId& upstream) -> void;
  // Requests permits for a request that waits for the upstream for at most
  // `patience`. To be called before each report while it waits.
  auto AddWaiting(const UpstreamId& upstream, Duration patience) -> void;
  // Whether the hub may have a permit, because it has not said a moment ago
  // that there is none. A request that prefers the upstream then waits for a
  // permit for up to kPreferenceWait, although others could take it: without
  // any request the end of the rate would not be noticed.
  static constexpr Duration kPreferenceWait = std::chrono::milliseconds(40);
  auto MayBeGranted(const UpstreamId& upstream, Timestamp now) const -> bool;
  // Whether the hub has said since `time` that no permit becomes available
  // while a request waits for one.
  auto RefusedSince(const UpstreamId& upstream, Timestamp time,
                    Timestamp now) const -> bool;
  // Adapts the permits that are left to a rate that has changed or ended.
  auto OnRateChanged(const UpstreamId& upstream) -> void;

 private:
  GrantedTokens& granted_tokens_;
  const serving::BackpressureTable& backpressure_;
};

}  // namespace dotterellug::fleet
