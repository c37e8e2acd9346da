#include "placement/planner/planning_state.h"

#include <algorithm>

namespace dotterellug {

auto PlanningState::AddCopy(std::int32_t engine, std::int32_t model,
                            bool surplus) -> void {
  PlannedCopy copy;
  copy.model = model;
  copy.version = models[model].input->version;
  copy.surplus = surplus;
  copy.placed_at = now_;
  if (engines[engine].input->usable && !HasCopy(engine, model, false)) {
    models[model].hosts.push_back(engine);
  }
  engines[engine].copies.push_back(std::move(copy));
}

auto PlanningState::RemoveCopy(std::int32_t engine, std::size_t copy) -> void {
  auto& copies = engines[engine].copies;
  const auto model = copies[copy].model;
  engines[engine].load -= copies[copy].expected_load;
  copies.erase(copies.begin() + static_cast<std::ptrdiff_t>(copy));
  if (HasCopy(engine, model, false)) return;
  auto& hosts = models[model].hosts;
  hosts.erase(std::remove(hosts.begin(), hosts.end(), engine), hosts.end());
}

auto PlanningState::Evict(std::int32_t engine, const Eviction& eviction)
    -> void {
  auto copies = eviction.copies;
  std::sort(copies.rbegin(), copies.rend());
  for (const auto copy : copies) RemoveCopy(engine, copy);
}

auto PlanningState::RebuildHosts() -> void {
  for (auto& model : models) model.hosts.clear();
  for (std::size_t index = 0; index < engines.size(); ++index) {
    if (!engines[index].input->usable) continue;
    for (const auto& copy : engines[index].copies) {
      auto& hosts = models[copy.model].hosts;
      const auto engine = static_cast<std::int32_t>(index);
      if (hosts.empty() || hosts.back() != engine) hosts.push_back(engine);
    }
  }
}

auto PlanningState::EstimateLoads() -> void {
  for (auto& engine : engines) {
    engine.load = 0;
    for (auto& copy : engine.copies) copy.expected_load = 0;
  }
  std::vector<double> weights;
  for (std::int64_t round = 0; round < options_.load_estimate_rounds; ++round) {
    for (std::size_t index = 0; index < models.size(); ++index) {
      const auto& model = models[index];
      weights.clear();
      double sum = 0;
      for (const auto host : model.hosts) {
        auto& engine = engines[host];
        for (auto& copy : engine.copies) {
          if (copy.model != static_cast<std::int32_t>(index)) continue;
          engine.load -= copy.expected_load;
          copy.expected_load = 0;
        }
        // Overloaded hosts also get a small fraction of the demand.
        weights.push_back(std::max(0.02, 1 - engine.load));
        sum += weights.back();
      }
      for (std::size_t host = 0; host < model.hosts.size(); ++host) {
        auto& engine = engines[model.hosts[host]];
        const auto copy = std::find_if(
            engine.copies.begin(), engine.copies.end(), [&](const auto& item) {
              return item.model == static_cast<std::int32_t>(index);
            });
        copy->expected_load = model.input->demand * weights[host] / sum;
        engine.load += copy->expected_load;
      }
    }
  }
}

auto PlanningState::ShiftExcessDemand(std::int32_t engine, std::int32_t model,
                                      double amount) -> void {
  const auto excess = ExcessDemand(model);
  if (excess <= 0) return;
  const auto fraction = std::min(1.0, amount / excess);
  double moved = 0;
  for (const auto host : models[model].hosts) {
    if (host == engine) continue;
    auto& from = engines[host];
    const auto overload = from.load - options_.utilisation_limit;
    if (overload <= 0) continue;
    for (auto& copy : from.copies) {
      if (copy.model != model) continue;
      const auto shifted = std::min(copy.expected_load, overload) * fraction;
      copy.expected_load -= shifted;
      from.load -= shifted;
      moved += shifted;
    }
  }
  auto& to = engines[engine];
  for (auto& copy : to.copies) {
    if (copy.model != model || !copy.current) continue;
    copy.expected_load += moved;
    to.load += moved;
    return;
  }
}

auto PlanningState::ExcessDemand(std::int32_t model) const -> double {
  double excess = 0;
  for (const auto host : models[model].hosts) {
    const auto& engine = engines[host];
    const auto overload = engine.load - options_.utilisation_limit;
    if (overload <= 0) continue;
    for (const auto& copy : engine.copies) {
      if (copy.model == model) excess += std::min(copy.expected_load, overload);
    }
  }
  return excess;
}

auto PlanningState::HasCopy(std::int32_t engine, std::int32_t model,
                            bool current_only) const -> bool {
  const auto& copies = engines[engine].copies;
  return std::any_of(copies.begin(), copies.end(), [&](const auto& copy) {
    return copy.model == model && (copy.current || !current_only);
  });
}

auto PlanningState::HasCopyInZone(std::int32_t model, std::int32_t zone) const
    -> bool {
  const auto& hosts = models[model].hosts;
  return std::any_of(hosts.begin(), hosts.end(), [&](std::int32_t host) {
    return engines[host].zone == zone;
  });
}

auto PlanningState::ResidentHostCount(std::int32_t model,
                                      bool current_only) const -> std::int64_t {
  std::int64_t count = 0;
  for (const auto host : models[model].hosts) {
    const auto& copies = engines[host].copies;
    count += std::any_of(copies.begin(), copies.end(), [&](const auto& copy) {
      return copy.model == model && copy.resident &&
             (copy.current || !current_only);
    });
  }
  return count;
}

auto PlanningState::CurrentHostCount(std::int32_t model) const -> std::int64_t {
  const auto& hosts = models[model].hosts;
  return std::count_if(hosts.begin(), hosts.end(), [&](std::int32_t host) {
    return HasCopy(host, model, true);
  });
}

auto PlanningState::IsServedOrLoading(std::int32_t model,
                                      bool current_only) const -> bool {
  for (const auto host : models[model].hosts) {
    for (const auto& copy : engines[host].copies) {
      if (copy.model != model || (current_only && !copy.current)) continue;
      if (copy.resident) return true;
      if (now_ - copy.placed_at < options_.load_timeout) return true;
    }
  }
  return false;
}

auto PlanningState::FreeBytesAfter(std::int32_t engine,
                                   std::int32_t model) const -> std::int64_t {
  const auto& target = engines[engine];
  const auto& added = *models[model].input;
  auto kv_bytes = added.kv_bytes;
  auto used = added.weight_bytes;
  for (const auto& copy : target.copies) {
    const auto& hosted = *models[copy.model].input;
    kv_bytes = std::max(kv_bytes, hosted.kv_bytes);
    used += hosted.weight_bytes;
  }
  return (target.input->memory - kv_bytes - used).Value();
}

auto PlanningState::PlanEviction(std::int32_t engine, std::int32_t model,
                                 bool force) const -> std::optional<Eviction> {
  auto free_bytes = FreeBytesAfter(engine, model);
  Eviction eviction;
  if (free_bytes >= 0) return eviction;
  struct Removable {
    std::size_t copy;
    std::int64_t bytes;
    double loss;
  };
  std::vector<Removable> removable;
  const auto& copies = engines[engine].copies;
  for (std::size_t copy = 0; copy < copies.size(); ++copy) {
    const auto loss = RemovalLoss(engine, copy, force);
    if (!loss) continue;
    const auto bytes = models[copies[copy].model].input->weight_bytes.Value();
    removable.push_back({copy, bytes, *loss});
  }
  std::sort(
      removable.begin(), removable.end(),
      [](const Removable& a, const Removable& b) { return a.loss < b.loss; });
  for (const auto& candidate : removable) {
    if (free_bytes >= 0) break;
    free_bytes += candidate.bytes;
    eviction.copies.push_back(candidate.copy);
    eviction.loss += candidate.loss;
  }
  if (free_bytes < 0) return std::nullopt;
  return eviction;
}

auto PlanningState::LastCopyIsRemovable(const PlannedCopy& copy) const -> bool {
  const auto& input = *models[copy.model].input;
  return input.min_copies == 0 && input.demand < options_.idle_demand;
}

auto PlanningState::RemovalLoss(std::int32_t engine, std::size_t index,
                                bool force) const -> std::optional<double> {
  const auto& copy = engines[engine].copies[index];
  const auto& model = models[copy.model];
  if (!engines[engine].input->usable) return 0.0;
  if (LastCopyIsRemovable(copy)) return 0.0;
  const auto hosts = static_cast<std::int64_t>(model.hosts.size());
  if (hosts <= 1) return std::nullopt;
  const auto resident = ResidentHostCount(copy.model, false);
  if (resident - (copy.resident ? 1 : 0) < 1) return std::nullopt;
  // Without this check, concurrent rollouts of two models can alternately evict
  // each other's first copy of the new version.
  if (copy.current && CurrentHostCount(copy.model) <= 1) return std::nullopt;
  if (!force && hosts - 1 < model.input->min_copies) return std::nullopt;
  const bool recently_placed = now_ - copy.placed_at < options_.min_residence;
  if (!force && recently_placed && !copy.surplus) return std::nullopt;
  double headroom = 0;
  for (const auto host : model.hosts) {
    if (host == engine) continue;
    headroom += std::max(0.0, options_.utilisation_limit - engines[host].load);
  }
  // With one copy less, bursts spread over fewer engines.
  const auto removal_penalty = options_.removal_penalty_fraction *
                               model.input->demand /
                               static_cast<double>(hosts * (hosts - 1));
  // The small term breaks ties between copies whose load the other hosts can
  // take over: the one that serves least is evicted first.
  return std::max(0.0, copy.expected_load - headroom) +
         0.02 * copy.expected_load + removal_penalty;
}

}  // namespace dotterellug
