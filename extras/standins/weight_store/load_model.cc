#include "standins/weight_store/load_model.h"

#include <algorithm>

namespace dotterellug::standins {

auto LoadModel::Start(Timestamp now) -> LoadId {
  Advance(now);
  next_ = next_.Next();
  remaining_[next_] = 1.0;
  return next_;
}

auto LoadModel::IsComplete(LoadId load, Timestamp now) -> bool {
  Advance(now);
  const auto found = remaining_.find(load);
  return found == remaining_.end() || found->second <= 0.0;
}

auto LoadModel::Finish(LoadId load, Timestamp now) -> void {
  Advance(now);
  remaining_.erase(load);
}

auto LoadModel::Advance(Timestamp now) -> void {
  const auto running = static_cast<std::int64_t>(
      std::count_if(remaining_.begin(), remaining_.end(),
                    [](const auto& entry) { return entry.second > 0.0; }));
  const auto sharing = std::max(running, rate_.parallel_loads);
  const auto speed = rate_.loads_per_second /
                     static_cast<double>(std::max<std::int64_t>(sharing, 1));
  const auto work = ToSeconds(now - last_) * speed;
  for (auto& [load, left] : remaining_) left -= work;
  last_ = now;
}

}  // namespace dotterellug::standins
