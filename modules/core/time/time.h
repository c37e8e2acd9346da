#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>

namespace dotterellug {

using Duration = std::chrono::microseconds;

// A point on the monotonic clock of one process. Decision code receives it as
// an argument and never reads a clock. Points of different processes cannot be
// compared.
using Timestamp = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Calendar time for records that people read. Never used to decide an order of
// events.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

// Clock readings for adapters and programs; decision modules and tests do not
// call them.
auto MonotonicNow() -> Timestamp;
auto WallNow() -> WallTime;
// Like MonotonicNow, but also counts while the machine is suspended; for the
// validity of leases. Points of the two clocks cannot be compared.
auto SuspendAwareNow() -> Timestamp;

// `time` as ISO 8601 in UTC with milliseconds, for logs and history.
auto FormatWallTime(WallTime time) -> std::string;

inline auto ToSeconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

// Longest duration that all clocks and timers can hold, about thirty years.
inline constexpr double kMostSeconds = 1e9;

// Durations beyond kMostSeconds are cut to it, and no number is no time, since
// seconds may come from other processes.
inline auto FromSeconds(double seconds) -> Duration {
  if (std::isnan(seconds)) return Duration::zero();
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      std::clamp(seconds, -kMostSeconds, kMostSeconds)));
}

}  // namespace dotterellug
