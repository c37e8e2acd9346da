#pragma once

#include <optional>

#include "core/ids/ids.h"
#include "core/time/time.h"

namespace dotterellug {

// Estimates the tokens per second that a queue starts while it is congested, as
// an exponentially decayed average. Starts from an uncongested queue are
// limited by arrivals rather than by capacity and are not counted.
class DrainRate {
 public:
  // Records the start of a request of `cost` tokens; `others_waiting` tells
  // whether the queue still holds requests after it.
  auto RecordStart(Tokens cost, bool others_waiting, Timestamp now) -> void;

  // Empty until the queue has been congested for kMinCongestedSeconds in total.
  auto TokensPerSecond() const -> std::optional<double>;

 private:
  static constexpr double kDecayTimeConstantSeconds = 10.0;
  static constexpr double kMinCongestedSeconds = 0.5;

  // Decayed sums over the time in which the queue was congested.
  double tokens_ = 0;
  double seconds_ = 0;
  // The latest start if it left requests waiting.
  std::optional<Timestamp> last_congested_start_;
};

}  // namespace dotterellug
