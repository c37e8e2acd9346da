#include "placement/planner/plan_work.h"

#include <algorithm>

namespace dotterellug {

auto PlanWork::AddCopy(std::int32_t engine, std::int32_t model, bool spare)
    -> void {
  WorkCopy copy;
  copy.model = model;
  copy.version = models[model].input->version;
  copy.spare = spare;
  copy.placed_at = now_;
  if (engines[engine].input->usable && !Hosts(engine, model, false)) {
    models[model].hosts.push_back(engine);
  }
  engines[engine].copies.push_back(std::move(copy));
}

auto PlanWork::RemoveCopy(std::int32_t engine, std::size_t copy) -> void {
  auto& copies = engines[engine].copies;
  const auto model = copies[copy].model;
  engines[engine].load -= copies[copy].share;
  copies.erase(copies.begin() + static_cast<std::ptrdiff_t>(copy));
  if (Hosts(engine, model, false)) return;
  auto& hosts = models[model].hosts;
  hosts.erase(std::remove(hosts.begin(), hosts.end(), engine), hosts.end());
}

auto PlanWork::Evict(std::int32_t engine, const Eviction& eviction) -> void {
  auto copies = eviction.copies;
  std::sort(copies.rbegin(), copies.rend());
  for (const auto copy : copies) RemoveCopy(engine, copy);
}

auto PlanWork::IndexHosts() -> void {
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

auto PlanWork::SplitLoads() -> void {
  for (auto& engine : engines) {
    engine.load = 0;
    for (auto& copy : engine.copies) copy.share = 0;
  }
  std::vector<double> weights;
  for (std::int64_t round = 0; round < options_.split_rounds; ++round) {
    for (std::size_t index = 0; index < models.size(); ++index) {
      const auto& model = models[index];
      weights.clear();
      double sum = 0;
      for (const auto host : model.hosts) {
        auto& engine = engines[host];
        for (auto& copy : engine.copies) {
          if (copy.model != static_cast<std::int32_t>(index)) continue;
          engine.load -= copy.share;
          copy.share = 0;
        }
        weights.push_back(std::max(0.02, 1 - engine.load));
        sum += weights.back();
      }
      for (std::size_t host = 0; host < model.hosts.size(); ++host) {
        auto& engine = engines[model.hosts[host]];
        const auto copy = std::find_if(
            engine.copies.begin(), engine.copies.end(), [&](const auto& item) {
              return item.model == static_cast<std::int32_t>(index);
            });
        copy->share = model.input->demand * weights[host] / sum;
        engine.load += copy->share;
      }
    }
  }
}

auto PlanWork::Relieve(std::int32_t engine, std::int32_t model, double amount)
    -> void {
  const auto relief = Relief(model);
  if (relief <= 0) return;
  const auto part = std::min(1.0, amount / relief);
  double moved = 0;
  for (const auto host : models[model].hosts) {
    if (host == engine) continue;
    auto& from = engines[host];
    const auto over = from.load - options_.utilisation_limit;
    if (over <= 0) continue;
    for (auto& copy : from.copies) {
      if (copy.model != model) continue;
      const auto step = std::min(copy.share, over) * part;
      copy.share -= step;
      from.load -= step;
      moved += step;
    }
  }
  auto& to = engines[engine];
  for (auto& copy : to.copies) {
    if (copy.model != model || !copy.current) continue;
    copy.share += moved;
    to.load += moved;
    return;
  }
}

auto PlanWork::Relief(std::int32_t model) const -> double {
  double relief = 0;
  for (const auto host : models[model].hosts) {
    const auto& engine = engines[host];
    const auto over = engine.load - options_.utilisation_limit;
    if (over <= 0) continue;
    for (const auto& copy : engine.copies) {
      if (copy.model == model) relief += std::min(copy.share, over);
    }
  }
  return relief;
}

auto PlanWork::Hosts(std::int32_t engine, std::int32_t model,
                     bool current_only) const -> bool {
  const auto& copies = engines[engine].copies;
  return std::any_of(copies.begin(), copies.end(), [&](const auto& copy) {
    return copy.model == model && (copy.current || !current_only);
  });
}

auto PlanWork::HostsInZone(std::int32_t model, std::int32_t zone) const
    -> bool {
  const auto& hosts = models[model].hosts;
  return std::any_of(hosts.begin(), hosts.end(), [&](std::int32_t host) {
    return engines[host].zone == zone;
  });
}

auto PlanWork::ResidentHosts(std::int32_t model, bool current_only) const
    -> std::int64_t {
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

auto PlanWork::CurrentHosts(std::int32_t model) const -> std::int64_t {
  const auto& hosts = models[model].hosts;
  return std::count_if(hosts.begin(), hosts.end(), [&](std::int32_t host) {
    return Hosts(host, model, true);
  });
}

auto PlanWork::Served(std::int32_t model, bool current_only) const -> bool {
  for (const auto host : models[model].hosts) {
    for (const auto& copy : engines[host].copies) {
      if (copy.model != model || (current_only && !copy.current)) continue;
      if (copy.resident) return true;
      if (now_ - copy.placed_at < options_.load_patience) return true;
    }
  }
  return false;
}

auto PlanWork::RoomAfter(std::int32_t engine, std::int32_t model) const
    -> std::int64_t {
  const auto& target = engines[engine];
  const auto& added = *models[model].input;
  auto kv_bytes = added.kv_bytes;
  auto used = added.weight_bytes;
  for (const auto& copy : target.copies) {
    const auto& held = *models[copy.model].input;
    kv_bytes = std::max(kv_bytes, held.kv_bytes);
    used += held.weight_bytes;
  }
  return (target.input->memory - kv_bytes - used).Value();
}

auto PlanWork::MakeRoom(std::int32_t engine, std::int32_t model,
                        bool must) const -> std::optional<Eviction> {
  auto room = RoomAfter(engine, model);
  Eviction eviction;
  if (room >= 0) return eviction;
  struct Removable {
    std::size_t copy;
    std::int64_t bytes;
    double loss;
  };
  std::vector<Removable> removable;
  const auto& copies = engines[engine].copies;
  for (std::size_t copy = 0; copy < copies.size(); ++copy) {
    const auto loss = RemovalLoss(engine, copy, must);
    if (!loss) continue;
    const auto bytes = models[copies[copy].model].input->weight_bytes.Value();
    removable.push_back({copy, bytes, *loss});
  }
  std::sort(
      removable.begin(), removable.end(),
      [](const Removable& a, const Removable& b) { return a.loss < b.loss; });
  for (const auto& choice : removable) {
    if (room >= 0) break;
    room += choice.bytes;
    eviction.copies.push_back(choice.copy);
    eviction.loss += choice.loss;
  }
  if (room < 0) return std::nullopt;
  return eviction;
}

auto PlanWork::LastCopyIsRemovable(const WorkCopy& copy) const -> bool {
  const auto& input = *models[copy.model].input;
  return input.min_copies == 0 && input.demand < options_.idle_demand;
}

auto PlanWork::RemovalLoss(std::int32_t engine, std::size_t index,
                           bool must) const -> std::optional<double> {
  const auto& copy = engines[engine].copies[index];
  const auto& model = models[copy.model];
  if (!engines[engine].input->usable) return 0.0;
  if (LastCopyIsRemovable(copy)) return 0.0;
  const auto hosts = static_cast<std::int64_t>(model.hosts.size());
  if (hosts <= 1) return std::nullopt;
  const auto resident = ResidentHosts(copy.model, false);
  if (resident - (copy.resident ? 1 : 0) < 1) return std::nullopt;
  // Otherwise two models that change version take the room of each other's
  // first new copy in turn.
  if (copy.current && CurrentHosts(copy.model) <= 1) return std::nullopt;
  if (!must && hosts - 1 < model.input->min_copies) return std::nullopt;
  const bool young = now_ - copy.placed_at < options_.min_residence;
  if (!must && young && !copy.spare) return std::nullopt;
  double spare = 0;
  for (const auto host : model.hosts) {
    if (host == engine) continue;
    spare += std::max(0.0, options_.utilisation_limit - engines[host].load);
  }
  // Bursts spread over the remaining copies only.
  const auto choice = options_.flexibility * model.input->demand /
                      static_cast<double>(hosts * (hosts - 1));
  // The small part prefers copies that serve little when none is missed.
  return std::max(0.0, copy.share - spare) + 0.02 * copy.share + choice;
}

}  // namespace dotterellug
