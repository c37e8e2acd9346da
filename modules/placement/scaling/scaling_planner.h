#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "core/core.h"

namespace dotterellug {

// The engines of one pool in one zone, whose number is planned.
struct ScalingSubject {
  PoolId pool;
  AvailabilityZoneId zone;

  friend auto operator<(const ScalingSubject& a, const ScalingSubject& b)
      -> bool {
    return std::tie(a.pool, a.zone) < std::tie(b.pool, b.zone);
  }
  friend auto operator==(const ScalingSubject& a, const ScalingSubject& b)
      -> bool {
    return a.pool == b.pool && a.zone == b.zone;
  }
};

// What is known of a subject at one planning call.
struct ScalingState {
  ScalingSubject subject;
  std::int64_t min_engines = 1;
  std::int64_t max_engines = 1;
  // Time from an order until a new engine serves.
  Duration boot_time = std::chrono::seconds(6);
  // Engines that serve.
  std::int64_t engines = 0;
  // Request slots of one engine.
  double slots_per_engine = 1;
  // How fast the engines work, relative to the usual speed.
  double speed = 1;
  // Slots that arriving requests occupy on average, from the service times
  // learned; 0 while these are unknown.
  double offered_slots = 0;
  // Requests in flight at the engines, and those that wait in daemons.
  double running = 0;
  double waiting = 0;
  // Latency target of the pool's requests, and the time that one takes; 0 if
  // unknown.
  Duration latency_target{0};
  Duration service_time{0};
  // Weights of the models that were requested lately, and memory for weights of
  // one engine, in MB. An engine of a pool without models has 0.
  std::vector<double> model_mb;
  double engine_mb = 0;
};

// When the number of engines is changed.
struct ScalingPlannerOptions {
  // Part of the slots that is to be used; the rest is headroom for fluctuations
  // within the boot time.
  double target_utilisation = 0.7;
  // Part of the latency target that requests may be expected to wait.
  double wait_fraction = 0.25;
  // Demand must have been high for this part of the boot time before engines
  // are added. A swing that ends before is over before an engine could help.
  double up_fraction = 0.6;
  // Demand must have been low for so many boot times before engines are taken
  // away, and a boot time lies between two steps. An engine's models go with
  // it, and loading them elsewhere costs callers more than its idle time does
  // unless demand stays low for about a minute.
  double down_boot_times = 10;
  // Largest part of the engines that one step takes away; at least one engine.
  double down_step = 0.25;
  // Utilisation after a step down must stay below this part of the target, so
  // that the step is not taken back.
  double down_margin = 0.85;
  // Demand is averaged with this time constant before it is compared.
  Duration smoothing = std::chrono::milliseconds(250);
};

// A number of engines to order.
struct ScalingDecision {
  ScalingSubject subject;
  std::int64_t desired = 0;
  // Smoothed demand in slots, for the log.
  double demand = 0;
};

// Decides how many engines each pool runs in each zone. Scales up when demand
// has been above what the engines, including those ordered, can take for a
// part of the boot time; scales down in steps after demand was low for several
// boot times. A new planner begins with the engines that serve and orders
// nothing before it has seen demand. Not thread-safe.
class ScalingPlanner {
 public:
  explicit ScalingPlanner(ScalingPlannerOptions options = {})
      : options_(options) {}

  // The orders to send now; at most one for each subject. Call it several times
  // a second with all subjects.
  auto Plan(const std::vector<ScalingState>& states, Timestamp now)
      -> std::vector<ScalingDecision>;
  // Forgets everything, as at a takeover.
  auto Reset() -> void { histories_.clear(); }
  // The engines desired for a subject; nothing before the first order.
  auto Desired(const ScalingSubject& subject) const
      -> std::optional<std::int64_t>;

 private:
  struct Sample {
    Timestamp at{};
    // Engines needed to take the demand with and without the margin for
    // scaling down.
    std::int64_t needed = 0;
    std::int64_t needed_with_margin = 0;
  };
  struct History {
    std::optional<double> demand;
    Timestamp updated_at{};
    bool demand_seen = false;
    std::deque<Sample> samples;
    std::optional<std::int64_t> desired;
    Timestamp changed_at{};
  };

  auto Observe(const ScalingState& state, History& history, Timestamp now)
      -> void;
  auto Demand(const ScalingState& state) const -> double;
  // The number of engines for a subject from its own demand.
  auto Target(const ScalingState& state, const History& history,
              std::int64_t current, Timestamp now) const -> std::int64_t;

  ScalingPlannerOptions options_;
  std::map<ScalingSubject, History> histories_;
};

// Fewest engines of `engine_mb` that hold all models, each on one engine.
auto EnginesForModels(std::vector<double> model_mb, double engine_mb)
    -> std::int64_t;

}  // namespace dotterellug
