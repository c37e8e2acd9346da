#pragma once

#include "core/random/random.h"
#include "core/time/time.h"

namespace dotterellug {

// Parameters of the exponential backoff between retries.
struct BackoffOptions {
  // Upper bound of the delay before the first retry; doubles with each further
  // retry.
  Duration initial_delay = std::chrono::milliseconds(20);
  // Upper bound of all delays.
  Duration max_delay = std::chrono::seconds(2);
};

// Returns the delay before retry number `retry` (1 is the first):
// `initial_delay` doubled for each previous retry and capped at `max_delay`,
// with a uniformly random reduction of up to one half. The jitter spreads out
// the retries of requests that failed at the same time.
auto BackoffDelay(const BackoffOptions& options, int retry, Random& random)
    -> Duration;

}  // namespace dotterellug
