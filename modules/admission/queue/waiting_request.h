#pragma once

#include <string>

#include "core/ids/ids.h"
#include "core/time/time.h"

namespace dotterellug {

// What is known of a request when it begins to wait for capacity.
struct WaitFacts {
  Timestamp arrival;
  // When the whole response must have ended.
  Timestamp deadline;
  // From the arrival to the first event of a stream or to the response.
  Duration latency_target{0};
  // For how long the caller waits for the first event or the response.
  Duration patience{0};
  // The usual time from sending such a request to its first event or response
  // if it does not wait at the upstream; zero while it is unknown.
  Duration first_event{0};
  // The usual time for which it occupies a slot; zero while it is unknown.
  Duration work{0};
};

// A request that waits for capacity, as WaitingQueue needs to know it.
struct WaitingRequest {
  ClientAccountId account;
  // Requests of one kind need the same capacity, such as engines with a certain
  // model. Those of other kinds do not delay them.
  std::string kind;
  // 0 is the most urgent.
  int priority = 5;
  Timestamp arrival;
  // The latest start at a free slot that still meets the latency target.
  Timestamp latest_start;
  // When the request is refused if it has not started.
  Timestamp give_up;
  // The longest wait at the upstream itself that must be expected after the
  // start.
  Duration upstream_wait{0};
  // Expected time for which the request occupies a slot.
  Duration work{0};
  // Whether it was expected on arrival to be late. It then leaves its turn to
  // requests that can be in time from the beginning; otherwise all would wait
  // until they are just late.
  bool expected_late = false;

  // Whether a start at `time` is, or was expected to be, too late for the
  // latency target.
  auto Late(Timestamp time) const -> bool {
    return expected_late || time > latest_start;
  }
  // The longest time for which the request may wait at an upstream if it is
  // sent there at `now`.
  auto AllowedUpstreamWait(Timestamp now) const -> Duration;
};

// Derives the times of a waiting request. The caller adds account, kind and
// priority.
auto MakeWaitingRequest(const WaitFacts& facts) -> WaitingRequest;

}  // namespace dotterellug
