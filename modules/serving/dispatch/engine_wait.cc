#include "serving/dispatch/engine_wait.h"

#include <algorithm>

namespace dotterellug::serving {
namespace {

// Weight of a new observation in averages.
constexpr double kAverageWeight = 0.05;
// Weight of a new observation in the mix of priorities.
constexpr double kMixWeight = 0.02;
// Engines are taken to have at least this part of their slots for a request and
// those that are more urgent only in part.
constexpr double kLeastOwnCapacity = 0.2;
// Below this part, chance decides how many of the waiting requests are urgent.
constexpr double kLeastPartAhead = 0.25;

auto Index(int priority) -> std::size_t {
  return static_cast<std::size_t>(std::clamp(priority, 0, kPriorities - 1));
}

auto IncludeInAverage(std::optional<double>& average, double value) -> void {
  average = average ? *average + kAverageWeight * (value - *average) : value;
}

}  // namespace

auto EngineWait::AddUnanswered(const PoolId& pool, int priority, int change)
    -> void {
  pools_[pool].unanswered.at(Index(priority)) += change;
}

auto EngineWait::Observe(const PoolId& pool, int priority,
                         const std::string& route, Duration first_event,
                         bool had_slot, Duration rest) -> void {
  auto& times = routes_[route];
  const auto first = ToSeconds(first_event);
  if (had_slot || first < times.first_event.value_or(first + 1)) {
    IncludeInAverage(times.first_event, first);
  }
  const auto slot_time = *times.first_event + ToSeconds(rest);
  IncludeInAverage(times.slot_time, slot_time);
  auto& pool_times = pools_[pool];
  IncludeInAverage(pool_times.slot_time, slot_time);
  for (auto& work : pool_times.work) work *= 1 - kMixWeight;
  pool_times.work.at(Index(priority)) += kMixWeight * slot_time;
}

auto EngineWait::FirstEvent(const std::string& route) const -> Duration {
  const auto found = routes_.find(route);
  if (found == routes_.end()) return Duration(0);
  return FromSeconds(found->second.first_event.value_or(0));
}

auto EngineWait::SlotTime(const std::string& route) const
    -> std::optional<Duration> {
  const auto found = routes_.find(route);
  if (found == routes_.end() || !found->second.slot_time) return std::nullopt;
  return FromSeconds(*found->second.slot_time);
}

auto EngineWait::PoolSlotTime(const PoolId& pool) const
    -> std::optional<Duration> {
  const auto found = pools_.find(pool);
  if (found == pools_.end() || !found->second.slot_time) return std::nullopt;
  return FromSeconds(*found->second.slot_time);
}

auto EngineWait::MoreUrgentWork(const PoolTimes& pool, int priority) const
    -> double {
  double more_urgent = 0;
  double all = 0;
  for (std::size_t i = 0; i < pool.work.size(); ++i) {
    all += pool.work.at(i);
    if (i < Index(priority)) more_urgent += pool.work.at(i);
  }
  return all <= 0 ? 0 : more_urgent / all;
}

auto EngineWait::PartAhead(const PoolTimes& pool, int priority) const
    -> double {
  double ahead = 0;
  double all = 0;
  for (std::size_t i = 0; i < pool.unanswered.size(); ++i) {
    const auto count = static_cast<double>(pool.unanswered.at(i));
    all += count;
    if (i <= Index(priority)) ahead += count;
  }
  if (all <= 0) return 1;
  return std::clamp(ahead / all, kLeastPartAhead, 1.0);
}

auto EngineWait::QueueFraction(const PoolId& pool, int priority,
                               Duration allowed, double longest) const
    -> double {
  const auto found = pools_.find(pool);
  if (found == pools_.end() || !found->second.slot_time) return longest;
  const auto& times = found->second;
  // A slot becomes free every slot_time / n on average if there are n of them.
  const auto slot_time = std::max(*times.slot_time, 0.001);
  // More urgent requests that arrive meanwhile are admitted first. While there
  // is a queue at all, they take the part of the slots that is their part of
  // the work.
  const auto own_capacity =
      std::max(1 - MoreUrgentWork(times, priority), kLeastOwnCapacity);
  const auto ahead = ToSeconds(allowed) * own_capacity / slot_time;
  return std::clamp(ahead / PartAhead(times, priority), 0.0, longest);
}

}  // namespace dotterellug::serving
