#pragma once

#include <cstdint>
#include <map>
#include <variant>

#include "core/ids/ids.h"
#include "core/time/time.h"

namespace dotterellug {

// Thresholds on the ratio of the response time to the expected time.
struct SlowStartOptions {
  // A response within this multiple of the expected time is on time.
  double max_on_time_ratio = 2;
  // `cold_responses` consecutive responses at or beyond this multiple of the
  // expected time show that the upstream turned cold; a single one can result
  // from a long queue or a lost packet.
  double min_cold_ratio = 5;
  std::int64_t cold_responses = 3;
};

// A response of the upstream. Requests sent before the last change of the limit
// (`sent_at`) are ignored, as their outcome results from the old limit.
struct ResponseReceived {
  UpstreamId upstream;
  Timestamp sent_at;
  Duration response_time;
  Duration expected_time;
  bool failed = false;
};

// A load report of the upstream, whose incarnation grows with each start.
struct IncarnationReported {
  UpstreamId upstream;
  Incarnation incarnation;
};

// The zone receives requests again after it was out of service or unresponsive.
struct ZoneRecovered {
  AvailabilityZoneId zone;
};

using SlowStartEvent =
    std::variant<ResponseReceived, IncarnationReported, ZoneRecovered>;

// Limits the requests in flight per upstream by slow start, because a cold
// upstream can't take full load. The limit begins at the upstream's cold
// concurrency, doubles after as many on-time responses as the limit, halves on
// a failed or late response, and returns to the cold concurrency when the
// upstream turns cold. The limit is for the whole fleet; a daemon uses its
// share of it (ShareOfLimit).
class SlowStartLimiter {
 public:
  explicit SlowStartLimiter(SlowStartOptions options = {});

  // Adds an upstream with the limit at `cold_concurrency`, or updates the
  // bounds of a known one, which keeps its limit within them.
  auto AddUpstream(const UpstreamId& upstream, const AvailabilityZoneId& zone,
                   std::int64_t cold_concurrency, std::int64_t warm_concurrency)
      -> void;
  auto RemoveUpstream(const UpstreamId& upstream) -> void;
  // Updates the limits; events of unknown upstreams are ignored.
  auto Handle(Timestamp now, const SlowStartEvent& event) -> void;

  // Requests that the fleet may have in flight; 0 for an unknown upstream.
  auto ConcurrencyLimit(const UpstreamId& upstream) const -> std::int64_t;
  // Whether the limit is below the warm concurrency; true for an unknown
  // upstream.
  auto IsCold(const UpstreamId& upstream) const -> bool;
  // The part of the limit for a daemon with `share` of it, rounded down so that
  // the parts never add up to more than the limit.
  auto ShareOfLimit(const UpstreamId& upstream, PartsPerMillion share) const
      -> std::int64_t;

 private:
  struct UpstreamState {
    AvailabilityZoneId zone;
    std::int64_t cold_limit = 1;
    std::int64_t warm_limit = 1;
    std::int64_t limit = 1;
    // On-time responses since the last change of the limit.
    std::int64_t on_time_responses = 0;
    // Consecutive responses at or beyond min_cold_ratio.
    std::int64_t consecutive_slow = 0;
    Timestamp limit_changed_at;
    Incarnation incarnation;
  };

  auto HandleResponse(Timestamp now, const ResponseReceived& response) -> void;
  static auto SetLimit(Timestamp now, UpstreamState& state, std::int64_t limit)
      -> void;

  SlowStartOptions options_;
  std::map<UpstreamId, UpstreamState> upstreams_;
};

}  // namespace dotterellug
