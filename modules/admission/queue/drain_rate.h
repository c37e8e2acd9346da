#pragma once

#include <optional>

#include "core/ids/ids.h"
#include "core/time/time.h"

namespace dotterellug {

// Estimates the tokens per second that a queue dispatches while requests are
// waiting, as an exponentially decayed average. When no requests are waiting,
// starts are limited by arrivals rather than by capacity and are not counted.
class DrainRate {
 public:
  // `decay_time` is the time constant of the average: a longer one tolerates
  // gaps between starts, a shorter one follows changes of the capacity sooner.
  explicit DrainRate(Duration decay_time = std::chrono::seconds(10))
      : decay_seconds_(ToSeconds(decay_time)) {}

  // Records the start of a request of `cost` tokens; `requests_left_waiting` is
  // true if the queue still holds requests after it.
  auto RecordStart(Tokens cost, bool requests_left_waiting, Timestamp now)
      -> void;

  // Empty until requests have been waiting for kMinBusySeconds in total.
  auto TokensPerSecond() const -> std::optional<double>;

 private:
  static constexpr double kMinBusySeconds = 0.5;

  double decay_seconds_;
  // Decayed sums over the time in which requests were waiting.
  double tokens_ = 0;
  double seconds_ = 0;
  // The latest start if it left requests waiting.
  std::optional<Timestamp> last_busy_start_;
};

}  // namespace dotterellug
