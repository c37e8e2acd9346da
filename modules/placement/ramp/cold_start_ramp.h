#pragma once

#include <cstdint>
#include <map>
#include <variant>

#include "core/ids/ids.h"
#include "core/time/time.h"

namespace dotterellug {

struct RampOptions {
  // A response within this multiple of the expected time counts as in time.
  double in_time_factor = 2;
  // Responses beyond this multiple, so many in a row, show that the upstream
  // turned cold; a single one can be a long queue or a lost packet.
  double cold_factor = 5;
  std::int64_t cold_responses = 3;
};

// A response of the upstream. `sent_at` lets the ramp ignore the outcome of
// requests sent before its last change, which the old allowance caused.
struct ResponseSeen {
  UpstreamId upstream;
  Timestamp sent_at;
  Duration took;
  Duration expected;
  bool failed = false;
};

// A load report, whose incarnation grows with each start of the upstream.
struct IncarnationSeen {
  UpstreamId upstream;
  Incarnation incarnation;
};

// The zone gets work again after it was out or silent.
struct ZoneReturned {
  AvailabilityZoneId zone;
};

using RampEvent = std::variant<ResponseSeen, IncarnationSeen, ZoneReturned>;

// Admissible requests in flight per upstream: begins with its cold concurrency,
// doubles after as many responses in time as the allowance, halves on failure
// or slowness, and restarts when the upstream turned cold. The allowance is for
// the fleet; a daemon uses its share of it (PartOf).
class ColdStartRamp {
 public:
  explicit ColdStartRamp(RampOptions options = {});

  // Starts cold. Known upstreams keep their state.
  auto AddUpstream(const UpstreamId& upstream, const AvailabilityZoneId& zone,
                   std::int64_t cold_concurrency, std::int64_t warm_concurrency)
      -> void;
  auto RemoveUpstream(const UpstreamId& upstream) -> void;
  auto Handle(Timestamp now, const RampEvent& event) -> void;

  // 0 for an unknown upstream.
  auto Allowance(const UpstreamId& upstream) const -> std::int64_t;
  auto IsCold(const UpstreamId& upstream) const -> bool;
  // Part of the allowance for a holder of `share`, rounded down, so that the
  // parts never add up to more than the allowance.
  auto PartOf(const UpstreamId& upstream, PartsPerMillion share) const
      -> std::int64_t;

 private:
  struct State {
    AvailabilityZoneId zone;
    std::int64_t cold = 1;
    std::int64_t warm = 1;
    std::int64_t allowance = 1;
    std::int64_t in_time = 0;
    std::int64_t very_slow = 0;
    Timestamp changed_at;
    Incarnation incarnation;
  };

  auto HandleResponse(Timestamp now, const ResponseSeen& response) -> void;
  static auto SetAllowance(Timestamp now, State& state, std::int64_t allowance)
      -> void;

  RampOptions options_;
  std::map<UpstreamId, State> upstreams_;
};

}  // namespace dotterellug
