#pragma once

#include <cstdint>
#include <map>
#include <variant>

#include "core/ids/ids.h"
#include "core/time/time.h"

namespace dotterellug {

struct SlowStartOptions {
  // A response within this multiple of the expected time counts as in time.
  double max_on_time_ratio = 2;
  // Responses beyond this multiple, so many in a row, show that the upstream
  // turned cold; a single one can be a long queue or a lost packet.
  double min_cold_ratio = 5;
  std::int64_t cold_responses = 3;
};

// A response of the upstream. `sent_at` lets the ramp ignore the outcome of
// requests sent before its last change, which the old allowance caused.
struct ResponseReceived {
  UpstreamId upstream;
  Timestamp sent_at;
  Duration response_time;
  Duration expected_time;
  bool failed = false;
};

// A load report, whose incarnation grows with each start of the upstream.
struct IncarnationReported {
  UpstreamId upstream;
  Incarnation incarnation;
};

// The zone gets work again after it was out or silent.
struct ZoneRecovered {
  AvailabilityZoneId zone;
};

using SlowStartEvent =
    std::variant<ResponseReceived, IncarnationReported, ZoneRecovered>;

// Admissible requests in flight per upstream: begins with its cold concurrency,
// doubles after as many responses in time as the allowance, halves on failure
// or slowness, and restarts when the upstream turned cold. The allowance is for
// the fleet; a daemon uses its share of it (ShareOfLimit).
class SlowStartLimiter {
 public:
  explicit SlowStartLimiter(SlowStartOptions options = {});

  // Starts cold. Known upstreams keep their state.
  auto AddUpstream(const UpstreamId& upstream, const AvailabilityZoneId& zone,
                   std::int64_t cold_concurrency, std::int64_t warm_concurrency)
      -> void;
  auto RemoveUpstream(const UpstreamId& upstream) -> void;
  auto Handle(Timestamp now, const SlowStartEvent& event) -> void;

  // 0 for an unknown upstream.
  auto ConcurrencyLimit(const UpstreamId& upstream) const -> std::int64_t;
  auto IsCold(const UpstreamId& upstream) const -> bool;
  // Part of the allowance for a holder of `share`, rounded down, so that the
  // parts never add up to more than the allowance.
  auto ShareOfLimit(const UpstreamId& upstream, PartsPerMillion share) const
      -> std::int64_t;

 private:
  struct UpstreamState {
    AvailabilityZoneId zone;
    std::int64_t cold_limit = 1;
    std::int64_t warm_limit = 1;
    std::int64_t limit = 1;
    std::int64_t on_time_responses = 0;
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
