#pragma once

#include <cstdint>
#include <map>

#include "core/ids/strong_integer.h"
#include "core/time/time.h"

namespace dotterellug::standins {

// Rate of the weight store.
struct WeightStoreRate {
  double loads_per_second = 1.5;
  // Loads that run at full speed together. Each then takes
  // parallel_loads / loads_per_second.
  std::int64_t parallel_loads = 5;
};

using LoadId = StrongInteger<struct LoadIdTag>;

// How far each load of the weight store has got. The total rate stays at
// loads_per_second when more loads than parallel_loads run, so each of them is
// proportionally slower. Not thread-safe; time is injected.
class LoadModel {
 public:
  explicit LoadModel(WeightStoreRate rate) : rate_(rate) {}

  auto Start(Timestamp now) -> LoadId;
  // Whether the load is complete at `now`.
  auto IsComplete(LoadId load, Timestamp now) -> bool;
  auto Finish(LoadId load, Timestamp now) -> void;
  auto InFlight() const -> std::size_t { return remaining_.size(); }

 private:
  auto Advance(Timestamp now) -> void;

  WeightStoreRate rate_;
  Timestamp last_{};
  LoadId next_;
  // Work left of each load; 1 is a whole load.
  std::map<LoadId, double> remaining_;
};

}  // namespace dotterellug::standins
