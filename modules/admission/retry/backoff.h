#pragma once

#include "core/random/random.h"
#include "core/time/time.h"

namespace dotterellug {

struct BackoffOptions {
  Duration initial_delay = std::chrono::milliseconds(20);
  Duration max_delay = std::chrono::seconds(2);
};

// The wait before retry number `retry` (1 is the first): uniform between half
// and the whole of `first` doubled per retry, at most `longest`. The random
// half keeps requests that failed together from returning together.
auto BackoffDelay(const BackoffOptions& options, int retry, Random& random)
    -> Duration;

}  // namespace dotterellug
