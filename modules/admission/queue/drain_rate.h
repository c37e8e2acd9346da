#pragma once

#include <optional>

#include "core/ids/ids.h"
#include "core/time/time.h"

namespace dotterellug {

// Measures the tokens per second that leave a queue while others wait. Starts
// of an uncongested queue say nothing about capacity and are not counted.
class DrainRate {
 public:
  // A request of `cost` tokens started; `waiting` says whether others still
  // wait.
  auto RecordStart(Tokens cost, bool others_waiting, Timestamp now) -> void;

  // Nothing until the queue was congested for half a second in total.
  auto TokensPerSecond() const -> std::optional<double>;

 private:
  // Older measurements fade with this time constant.
  static constexpr double kDecayTimeConstantSeconds = 10.0;
  static constexpr double kMinCongestedSeconds = 0.5;

  double tokens_ = 0;
  double seconds_ = 0;
  // The last start that left others waiting.
  std::optional<Timestamp> last_congested_start_;
};

}  // namespace dotterellug
