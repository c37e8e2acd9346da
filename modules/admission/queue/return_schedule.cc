#include "admission/queue/return_schedule.h"

#include <algorithm>

namespace dotterellug {
namespace {

// Part of the drain rate that returning callers may ask for; requests that
// arrive for the first time need the rest.
constexpr double kReturnPart = 0.5;
// While nothing is known of the capacity, and the least delay.
constexpr auto kUnknownDelay = std::chrono::milliseconds(1000);
constexpr auto kLeastDelay = std::chrono::milliseconds(100);
// Delays vary by this part, so that daemons with equal schedules do not ask
// their callers back at the same times.
constexpr double kSpread = 0.25;
// A caller returns up to this late; its own network and timers add to the time.
constexpr auto kReturnTolerance = std::chrono::seconds(1);
// Bounds the memory of schedules and of expected returns.
constexpr std::size_t kMostKinds = 4096;
constexpr std::size_t kMostExpected = 4096;

auto Times(Duration duration, double factor) -> Duration {
  return FromSeconds(ToSeconds(duration) * factor);
}

}  // namespace

auto ReturnSchedule::Next(const Refused& refused, double random, Timestamp now)
    -> Duration {
  const auto spread = 1 + kSpread * (2 * random - 1);
  auto delay = Times(kUnknownDelay, spread);
  if (refused.work_per_second && *refused.work_per_second > 0) {
    if (last_.size() >= kMostKinds) last_.clear();
    auto& last = last_[refused.kind];
    const auto interval = FromSeconds(ToSeconds(refused.work) /
                                      (kReturnPart * *refused.work_per_second));
    const auto backlog = refused.backlog.value_or(Duration::zero());
    const Timestamp first =
        now + std::max<Duration>(Times(backlog, spread), kLeastDelay);
    last = std::max<Timestamp>(first, last + Times(interval, spread));
    delay = last - now;
  }
  if (delay > refused.longest) {
    // No time that the caller accepts is left in the schedule.
    delay = Times(refused.longest, (1 + random) / 2);
    const auto last = last_.find(refused.kind);
    if (last != last_.end()) {
      last->second = std::min<Timestamp>(last->second, now + refused.longest);
    }
  }
  if (!refused.id.Empty()) {
    if (expected_.size() >= kMostExpected) expected_.clear();
    expected_[refused.id] = now + delay;
  }
  return delay;
}

auto ReturnSchedule::TakeReturn(const RequestId& id, Timestamp now) -> bool {
  const auto found = expected_.find(id);
  if (found == expected_.end()) return false;
  const auto expected = found->second;
  expected_.erase(found);
  return now + kLeastDelay >= expected && now <= expected + kReturnTolerance;
}

}  // namespace dotterellug
