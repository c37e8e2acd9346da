#include "fleet/demand/pool_demand_meter.h"

#include <cmath>

namespace dotterellug::fleet {
namespace {

constexpr double kTimeConstant = 2.0;
// Slots below which a pool is forgotten.
constexpr double kNegligible = 0.001;

auto Decayed(double slots, Duration age) -> double {
  return slots * std::exp(-ToSeconds(age) / kTimeConstant);
}

}  // namespace

auto PoolDemandMeter::Count(const PoolId& pool, Duration time, Timestamp now)
    -> void {
  auto& rate = rates_[pool];
  rate.slots = Decayed(rate.slots, now - rate.updated_at) +
               ToSeconds(time) / kTimeConstant;
  rate.updated_at = now;
}

auto PoolDemandMeter::Slots(Timestamp now) -> std::map<PoolId, double> {
  std::map<PoolId, double> slots;
  for (auto rate = rates_.begin(); rate != rates_.end();) {
    const auto current =
        Decayed(rate->second.slots, now - rate->second.updated_at);
    if (current < kNegligible) {
      rate = rates_.erase(rate);
    } else {
      slots[rate->first] = current;
      ++rate;
    }
  }
  return slots;
}

}  // namespace dotterellug::fleet
