#include "serving/retry/repeat_budget.h"

namespace dotterellug::serving {
namespace {

// Part of the limits that is used; the rest covers attempts that reach an
// upstream later than they were counted.
constexpr double kUsedPart = 0.85;

}  // namespace

auto RepeatBudget::PartIndex(Timestamp now) const -> std::int64_t {
  return now.time_since_epoch() / (limits_.window / kParts);
}

auto RepeatBudget::Current(const PoolId& pool, Timestamp now) -> Part& {
  const auto index = PartIndex(now);
  auto& part = pools_[pool][static_cast<std::size_t>(index % (kParts + 1))];
  if (part.index != index) part = Part{index, 0, 0};
  return part;
}

auto RepeatBudget::CountRequest(const PoolId& pool, Timestamp now) -> void {
  ++Current(pool, now).requests;
}

auto RepeatBudget::TryRepeat(const PoolId& pool, Timestamp now) -> bool {
  auto& current = Current(pool, now);
  const auto index = PartIndex(now);
  std::int64_t requests = 0;
  std::int64_t repeats = 1;
  for (const auto& part : pools_[pool]) {
    const auto age = index - part.index;
    if (age < 0 || age > kParts) continue;
    repeats += part.repeats;
    if (age < kParts) requests += part.requests;
  }
  const auto slack = limits_.slack / static_cast<double>(daemons_);
  const auto allowed =
      kUsedPart * (limits_.ratio * static_cast<double>(requests) + slack);
  if (static_cast<double>(repeats) > allowed) return false;
  ++current.repeats;
  return true;
}

}  // namespace dotterellug::serving
