#pragma once

#include <map>

#include "core/core.h"

namespace dotterellug::fleet {

// Measures at one daemon how many engine slots the arriving requests of each
// pool occupy on average: their rate times the time that each takes. Decays
// with a time constant of 2 s. Not thread-safe.
class PoolDemandMeter {
 public:
  // Adds a request that is expected to occupy a slot for `time`.
  auto Count(const PoolId& pool, Duration time, Timestamp now) -> void;
  // Slots by pool. Pools with a negligible demand are dropped.
  auto Slots(Timestamp now) -> std::map<PoolId, double>;

 private:
  struct Rate {
    double slots = 0;
    Timestamp updated_at{};
  };

  std::map<PoolId, Rate> rates_;
};

}  // namespace dotterellug::fleet
