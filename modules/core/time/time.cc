#include "core/time/time.h"

#include <array>
#include <cstdio>
#include <ctime>

namespace dotterellug {

auto MonotonicNow() -> Timestamp {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

auto WallNow() -> WallTime {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

auto SuspendAwareNow() -> Timestamp {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Timestamp(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

auto FormatWallTime(WallTime time) -> std::string {
  const auto milliseconds = time.time_since_epoch().count();
  const auto seconds = static_cast<std::time_t>(milliseconds / 1000);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> date{};
  const auto length =
      std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 8> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%03dZ",
                static_cast<int>(milliseconds % 1000));
  return std::string(date.data(), length) + fraction.data();
}

}  // namespace dotterellug
