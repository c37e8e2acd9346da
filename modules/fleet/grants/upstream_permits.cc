#include "fleet/grants/upstream_permits.h"

#include <algorithm>
#include <cstdint>

namespace dotterellug::fleet {
namespace {

// Requests per second that an upstream gets at least.
constexpr double kMinRate = 0.4;
// Requests that may accrue while no daemon asks, and the time over which they
// accrue at high rates. At least one whole request must fit into the bucket of
// a hub that has only a part of the daemons.
constexpr double kBurstRequests = 2.5;
constexpr double kBurstSeconds = 0.25;
// Time kept for a grant to reach a request before the request gives up. A
// permit that comes too late is lost to the other daemons.
constexpr auto kDeliveryTime = std::chrono::milliseconds(15);
// Permits that are kept when the rate becomes lower cover this time.
constexpr double kKeptSeconds = 0.3;

auto ToTokens(double requests) -> std::int64_t {
  return static_cast<std::int64_t>(
      requests * static_cast<double>(kTokensPerUpstreamRequest));
}

}  // namespace

auto UpstreamRateLimit(double requests_per_second) -> RateLimit {
  const auto rate = std::max(requests_per_second, kMinRate);
  return {Tokens(ToTokens(rate)),
          Tokens(ToTokens(kBurstRequests + kBurstSeconds * rate))};
}

auto UpstreamPermits::TryAcquire(const UpstreamId& upstream, Timestamp now)
    -> bool {
  if (!backpressure_.RateLimit(upstream)) return true;
  return granted_tokens_.TrySpend(upstream, kTokensPerUpstreamRequest, now);
}

auto UpstreamPermits::HasPermit(const UpstreamId& upstream) const -> bool {
  return !backpressure_.RateLimit(upstream) ||
         granted_tokens_.Balance(upstream) >= kTokensPerUpstreamRequest;
}

auto UpstreamPermits::Return(const UpstreamId& upstream) -> void {
  if (!backpressure_.RateLimit(upstream)) return;
  granted_tokens_.Refund(upstream, kTokensPerUpstreamRequest);
}

auto UpstreamPermits::AddWaiting(const UpstreamId& upstream, Duration patience)
    -> void {
  granted_tokens_.AddWaitingDemand(
      upstream, kTokensPerUpstreamRequest,
      std::max<Duration>(patience - kDeliveryTime, Duration::zero()));
}

auto UpstreamPermits::MayBeGranted(const UpstreamId& upstream,
                                   Timestamp now) const -> bool {
  return !granted_tokens_.ExhaustedFor(upstream, kTokensPerUpstreamRequest, now)
              .has_value();
}

auto UpstreamPermits::RefusedSince(const UpstreamId& upstream, Timestamp time,
                                   Timestamp now) const -> bool {
  return granted_tokens_.AnsweredSince(upstream, time) &&
         !MayBeGranted(upstream, now);
}

auto UpstreamPermits::OnRateChanged(const UpstreamId& upstream) -> void {
  const auto rate = backpressure_.RateLimit(upstream);
  if (!rate) return granted_tokens_.Forget(upstream);
  granted_tokens_.CapBalance(
      upstream,
      std::max(kTokensPerUpstreamRequest, ToTokens(*rate * kKeptSeconds)));
}

}  // namespace dotterellug::fleet
