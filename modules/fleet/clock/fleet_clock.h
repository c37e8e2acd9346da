#pragma once

#include <chrono>
#include <map>
#include <optional>

#include "core/core.h"
#include "core/time/fleet_time.h"

namespace dotterellug::fleet {

// When a difference between clocks is believed.
struct FleetClockOptions {
  // A wall clock that disagrees with the time kept so far for less than this
  // is not believed: such jumps last for seconds and end again.
  Duration jump_time = std::chrono::seconds(60);
  // Smallest difference that counts as a jump; smaller ones are followed.
  Duration least_jump = std::chrono::milliseconds(100);
  // A hub's time is used for this long after its last answer, and a daemon's
  // reading counts among the others for as long.
  Duration reading_lifetime = std::chrono::seconds(10);
};

// The time of day on which the daemons agree although single wall clocks are
// off by seconds. A hub takes the median of its own reading and those in the
// reports; other daemons follow their hub's answers. In between, the time
// advances with a clock that also counts while the machine is suspended
// (SuspendAwareNow), which all times given here are of. Transit times of
// datagrams, some milliseconds, are neglected. Not thread-safe.
class FleetClock {
 public:
  explicit FleetClock(FleetClockOptions options = {}) : options_(options) {}

  // A reading of this machine's wall clock. Call about once a second or more
  // often.
  auto OnWallClock(FleetTime wall, Timestamp now) -> void;
  // The reading in the report of a daemon for which this one is the hub.
  auto OnReport(const InstanceId& daemon, FleetTime reading, Timestamp now)
      -> void;
  // The time in the hub's answer.
  auto OnHubTime(FleetTime time, Timestamp now) -> void;

  // This machine's own reading, for reports; nothing before the first.
  auto OwnReading(Timestamp now) const -> std::optional<FleetTime>;
  // The agreed time.
  auto Now(Timestamp now) const -> std::optional<FleetTime>;

 private:
  // A clock's difference from the suspend-aware clock of this process.
  struct Reading {
    Duration offset{0};
    Timestamp at{};
  };

  FleetClockOptions options_;
  std::optional<Duration> own_offset_;
  // Since when the wall clock differs from own_offset_.
  std::optional<Timestamp> differs_since_;
  std::optional<Reading> hub_;
  std::map<InstanceId, Reading> reports_;
};

}  // namespace dotterellug::fleet
