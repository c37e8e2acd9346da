#pragma once

#include <cstdint>
#include <optional>

#include "core/core.h"
#include "serving/dispatch/service_time_estimate.h"

namespace dotterellug::serving {

// How long the work of a pool's requests takes where the work factor is 1.
struct WorkTimes {
  // From the start of a request without prompt to its first event.
  Duration first_event = std::chrono::milliseconds(30);
  // Prefill of 1,000 prompt tokens, whichever request they belong to.
  Duration prefill_1000_tokens = std::chrono::microseconds(37'500);
  // Time for which a request occupies a slot.
  Duration slot = std::chrono::seconds(1);
  // Whether the times were observed; otherwise they are the defaults above,
  // which are those of engines measured before.
  bool observed = false;
};

// Learns the work times of pools from responses. All observed times are divided
// by the work factor of the upstream that responded.
class WorkTimeEstimate {
 public:
  // A request that found a free slot got its first event, or a whole response,
  // after `time`. `prefill_tokens` includes those of requests ahead of it.
  auto ObserveFirstEvent(const PoolId& pool, std::int64_t prefill_tokens,
                         Duration time) -> void;
  // A request occupied a slot for `time`.
  auto ObserveSlot(const PoolId& pool, Duration time) -> void;
  auto Expected(const PoolId& pool) const -> WorkTimes;

 private:
  ServiceTimeEstimate first_events_;
  ServiceTimeEstimate slots_;
};

}  // namespace dotterellug::serving
