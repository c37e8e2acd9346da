#include "placement/scaling/scaling_planner.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>

namespace dotterellug {

auto EnginesForModels(std::vector<double> model_mb, double engine_mb)
    -> std::int64_t {
  if (engine_mb <= 0) return 0;
  // First fit in decreasing order of size.
  std::sort(model_mb.begin(), model_mb.end(), std::greater<>());
  std::vector<double> free;
  for (const auto size : model_mb) {
    const auto found = std::find_if(free.begin(), free.end(),
                                    [&](double mb) { return mb >= size; });
    if (found != free.end()) {
      *found -= size;
    } else {
      free.push_back(engine_mb - size);
    }
  }
  return static_cast<std::int64_t>(free.size());
}

auto ScalingPlanner::Desired(const ScalingSubject& subject) const
    -> std::optional<std::int64_t> {
  const auto found = histories_.find(subject);
  if (found == histories_.end()) return std::nullopt;
  return found->second.desired;
}

auto ScalingPlanner::Demand(const ScalingState& state) const -> double {
  if (state.offered_slots <= 0) return state.running + state.waiting;
  // Requests that wait are a backlog, to be worked off within a boot time. With
  // all of them in it, demand would stay high after a swing has ended.
  const auto boot = std::max(ToSeconds(state.boot_time), 0.001);
  const auto part = std::min(ToSeconds(state.service_time) / boot, 1.0);
  return state.offered_slots + state.waiting * part;
}

auto ScalingPlanner::Observe(const ScalingState& state, History& history,
                             Timestamp now) -> void {
  const auto demand = Demand(state);
  history.demand_seen = history.demand_seen || demand > 0;
  if (!history.demand) {
    history.demand = demand;
  } else {
    const auto weight = std::exp(-ToSeconds(now - history.updated_at) /
                                 ToSeconds(options_.smoothing));
    history.demand = weight * *history.demand + (1 - weight) * demand;
  }
  history.updated_at = now;
  const auto capacity = std::max(state.slots_per_engine * state.speed, 0.001);
  const auto engines_at = [&](double utilisation) {
    return static_cast<std::int64_t>(
        std::ceil(*history.demand / (capacity * utilisation) - 1e-9));
  };
  Sample sample{now, engines_at(options_.target_utilisation),
                engines_at(options_.target_utilisation * options_.down_margin)};
  // The engines may be busier than the target as long as requests hardly wait.
  const auto total = capacity * static_cast<double>(state.engines);
  const auto excess = state.running + state.waiting - total;
  // Where times are unknown, a request takes as long as the target allows.
  const bool timed = state.service_time > Duration::zero() &&
                     state.latency_target > Duration::zero();
  const auto per_target =
      timed ? ToSeconds(state.service_time) / ToSeconds(state.latency_target)
            : 1.0;
  const bool waits =
      excess > 0 &&
      excess / std::max(total, 0.001) * per_target > options_.wait_fraction;
  const auto full = engines_at(1.0);
  if (!waits && full <= state.engines && sample.needed > state.engines &&
      *history.demand <= total * std::sqrt(options_.target_utilisation)) {
    sample.needed = state.engines;
  }
  history.samples.push_back(sample);
  const auto kept =
      FromSeconds(ToSeconds(state.boot_time) * options_.down_boot_times);
  // One sample older than the time tells that it is covered.
  while (history.samples.size() > 1 && history.samples[1].at <= now - kept) {
    history.samples.pop_front();
  }
}

auto ScalingPlanner::Target(const ScalingState& state, const History& history,
                            std::int64_t current, Timestamp now) const
    -> std::int64_t {
  const auto covers = [&](Duration time) {
    return history.samples.front().at <= now - time;
  };
  const auto up_time =
      FromSeconds(ToSeconds(state.boot_time) * options_.up_fraction);
  const auto down_time =
      FromSeconds(ToSeconds(state.boot_time) * options_.down_boot_times);
  // The number ordered before shows no effect sooner than after the boot time,
  // but demand may have grown since.
  if (covers(up_time) && now - history.changed_at >= up_time) {
    auto lowest = history.samples.back().needed;
    for (const auto& sample : history.samples) {
      if (sample.at > now - up_time) lowest = std::min(lowest, sample.needed);
    }
    if (lowest > current) return lowest;
  }
  const bool settled = now - history.changed_at >= state.boot_time;
  if (!covers(down_time) || !settled) return current;
  std::int64_t highest = 0;
  for (const auto& sample : history.samples) {
    highest = std::max(highest, sample.needed_with_margin);
  }
  if (highest >= current) return current;
  const auto step = std::max<std::int64_t>(
      static_cast<std::int64_t>(options_.down_step *
                                static_cast<double>(current)),
      1);
  return std::max(highest, current - step);
}

auto ScalingPlanner::Plan(const std::vector<ScalingState>& states,
                          Timestamp now) -> std::vector<ScalingDecision> {
  std::set<ScalingSubject> present;
  // Engines of each pool in all zones after the decisions so far.
  std::map<PoolId, std::int64_t> totals;
  const auto current_of = [&](const ScalingState& state) {
    return Desired(state.subject).value_or(state.engines);
  };
  for (const auto& state : states) {
    present.insert(state.subject);
    auto& history = histories_[state.subject];
    Observe(state, history, now);
    totals[state.subject.pool] += current_of(state);
  }
  for (auto history = histories_.begin(); history != histories_.end();) {
    const bool gone = present.count(history->first) == 0;
    history = gone ? histories_.erase(history) : std::next(history);
  }
  std::vector<ScalingDecision> decisions;
  for (const auto& state : states) {
    auto& history = histories_[state.subject];
    const auto observed =
        FromSeconds(ToSeconds(state.boot_time) * options_.up_fraction);
    if (!history.demand_seen || history.samples.front().at > now - observed) {
      continue;
    }
    const auto current = current_of(state);
    auto target = Target(state, history, current, now);
    auto& total = totals[state.subject.pool];
    // Each requested model fits on an engine of some zone.
    const auto memory = EnginesForModels(state.model_mb, state.engine_mb);
    target = std::max(target, memory - (total - current));
    target = std::clamp(target, state.min_engines, state.max_engines);
    if (target == current) continue;
    total += target - current;
    history.desired = target;
    history.changed_at = now;
    decisions.push_back({state.subject, target, *history.demand});
  }
  return decisions;
}

}  // namespace dotterellug
