#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/core.h"

namespace dotterellug::serving {

// Priorities of requests, 0 the most urgent.
inline constexpr int kPriorities = 10;

// Estimates how long requests wait at the engines of each pool before they run,
// from the number of requests there and from how long completed ones ran.
// Engines admit more urgent requests first, so only the waiting requests that
// are at least as urgent delay a request. A daemon knows the priorities of its
// own requests only; it takes those of all daemons to be in the same
// proportion.
class EngineWait {
 public:
  // A request of this daemon has been sent and awaits its first event or
  // response, or no longer does.
  auto AddUnanswered(const PoolId& pool, int priority, int change) -> void;
  // A request of a priority and route has completed. `first_event` is the time
  // from sending it to the first event, or to the end of a response that is no
  // stream, and `rest` the time from then to the end. `had_slot` tells whether
  // the engine certainly had a free slot, so that the request did not wait.
  auto Observe(const PoolId& pool, int priority, const std::string& route,
               Duration first_event, bool had_slot, Duration rest) -> void;

  // The usual time from sending a request to its first event or response when
  // it does not wait; zero until it is known.
  auto FirstEvent(const std::string& route) const -> Duration;
  // The usual time for which a request occupies a slot; nullopt until it is
  // known.
  auto SlotTime(const std::string& route) const -> std::optional<Duration>;
  // The same over the requests of all routes that use the pool.
  auto PoolSlotTime(const PoolId& pool) const -> std::optional<Duration>;

  // How many requests may wait at an engine, as a fraction of its slots, if a
  // further request of the priority should wait no longer than `allowed`. At
  // most `longest`, also while nothing is known.
  auto QueueFraction(const PoolId& pool, int priority, Duration allowed,
                     double longest) const -> double;

 private:
  struct RouteTimes {
    // In seconds, of requests that did not wait at the engine.
    std::optional<double> first_event;
    // Average in seconds.
    std::optional<double> slot_time;
  };
  struct PoolTimes {
    std::array<std::int64_t, kPriorities> unanswered{};
    std::optional<double> slot_time;
    // Moving averages of the completed work.
    std::array<double, kPriorities> work{};
  };

  // The part of the completed work that is more urgent.
  auto MoreUrgentWork(const PoolTimes& pool, int priority) const -> double;
  // The part of the unanswered requests that are at least as urgent.
  auto PartAhead(const PoolTimes& pool, int priority) const -> double;

  std::map<std::string, RouteTimes> routes_;
  std::map<PoolId, PoolTimes> pools_;
};

}  // namespace dotterellug::serving
