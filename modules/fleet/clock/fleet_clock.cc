#include "fleet/clock/fleet_clock.h"

#include <algorithm>
#include <vector>

namespace dotterellug::fleet {
namespace {

auto OffsetOf(FleetTime reading, Timestamp now) -> Duration {
  return reading.time_since_epoch() - now.time_since_epoch();
}

auto AtOffset(Duration offset, Timestamp now) -> FleetTime {
  return FleetTime(now.time_since_epoch() + offset);
}

}  // namespace

auto FleetClock::OnWallClock(FleetTime wall, Timestamp now) -> void {
  const auto offset = OffsetOf(wall, now);
  if (own_offset_ &&
      std::chrono::abs(offset - *own_offset_) >= options_.least_jump) {
    if (!differs_since_) differs_since_ = now;
    if (now - *differs_since_ < options_.jump_time) return;
  }
  differs_since_.reset();
  own_offset_ = offset;
}

auto FleetClock::OnReport(const InstanceId& daemon, FleetTime reading,
                          Timestamp now) -> void {
  reports_[daemon] = {OffsetOf(reading, now), now};
  for (auto report = reports_.begin(); report != reports_.end();) {
    const bool old = now - report->second.at > options_.reading_lifetime;
    report = old ? reports_.erase(report) : std::next(report);
  }
}

auto FleetClock::OnHubTime(FleetTime time, Timestamp now) -> void {
  hub_ = Reading{OffsetOf(time, now), now};
}

auto FleetClock::OwnReading(Timestamp now) const -> std::optional<FleetTime> {
  if (!own_offset_) return std::nullopt;
  return AtOffset(*own_offset_, now);
}

auto FleetClock::Now(Timestamp now) const -> std::optional<FleetTime> {
  if (hub_ && now - hub_->at <= options_.reading_lifetime) {
    return AtOffset(hub_->offset, now);
  }
  if (!own_offset_) return std::nullopt;
  std::vector<Duration> offsets{*own_offset_};
  for (const auto& [daemon, reading] : reports_) {
    if (now - reading.at > options_.reading_lifetime) continue;
    offsets.push_back(reading.offset);
  }
  const auto middle =
      offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return AtOffset(*middle, now);
}

}  // namespace dotterellug::fleet
