#pragma once

#include <cstdint>
#include <map>
#include <variant>

#include "core/ids/ids.h"
#include "core/time/time.h"

namespace dotterellug {

// Thresholds for slow start.
struct SlowStartOptions {
  // Maximum ratio of response time to expected time of an on-time response.
  double max_on_time_ratio = 2;
  // `cold_responses` consecutive responses with at least this ratio show that
  // the upstream turned cold; a single one can result from a long queue or a
  // lost packet.
  double min_cold_ratio = 5;
  std::int64_t cold_responses = 3;
};

// A response of the upstream. Responses to requests that were sent before the
// last change of the limit (`sent_at`) are ignored, because they result from
// the old limit.
struct ResponseReceived {
  UpstreamId upstream;
  Timestamp sent_at;
  Duration response_time;
  Duration expected_time;
  bool failed = false;
};

// The upstream reported its incarnation, which grows with each of its starts.
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
// concurrency, doubles after as many on-time responses as the limit, and halves
// on a failed or moderately late response. It drops to at most the cold
// concurrency after several very late responses in a row, and returns to it
// when the upstream restarts or its zone recovers. The limit is for the whole
// fleet; each daemon uses a fraction of it (LimitForDaemon).
class SlowStartLimiter {
 public:
  explicit SlowStartLimiter(SlowStartOptions options = {});

  // Adds an upstream with the limit at `cold_concurrency`, or changes the cold
  // and warm concurrency of a known one; its limit is lowered to
  // `warm_concurrency` if it exceeds that.
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
  auto IsBelowWarmLimit(const UpstreamId& upstream) const -> bool;
  // The limit for a daemon that is assigned `fraction` of it, rounded down,
  // possibly to 0, so that the sum over the daemons doesn't exceed the limit.
  auto LimitForDaemon(const UpstreamId& upstream,
                      PartsPerMillion fraction) const -> std::int64_t;

 private:
  struct UpstreamState {
    AvailabilityZoneId zone;
    std::int64_t cold_limit = 1;
    std::int64_t warm_limit = 1;
    std::int64_t limit = 1;
    // On-time responses since the last change of the limit.
    std::int64_t on_time_responses = 0;
    // Consecutive responses with a ratio of at least min_cold_ratio.
    std::int64_t consecutive_cold_responses = 0;
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
