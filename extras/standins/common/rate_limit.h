#pragma once

#include <algorithm>
#include <chrono>

#include "core/time/time.h"

namespace dotterellug::standins {

// Token bucket of one second's worth of calls. Not thread-safe.
class RateLimit {
 public:
  explicit RateLimit(double per_second)
      : per_second_(per_second), level_(per_second) {}

  // Whether a call at `now` is within the rate; takes one token when it is.
  auto Allow(Timestamp now) -> bool {
    if (last_ != Timestamp{}) {
      level_ =
          std::min(per_second_, level_ + ToSeconds(now - last_) * per_second_);
    }
    last_ = now;
    if (level_ < 1.0) return false;
    level_ -= 1.0;
    return true;
  }

 private:
  double per_second_;
  double level_;
  Timestamp last_{};
};

}  // namespace dotterellug::standins
