#pragma once

#include <cstdint>
#include <map>

#include "core/ids/ids.h"
#include "core/time/time.h"
#include "placement/demand/demand_report.h"

namespace dotterellug {

// Exponentially weighted rates of one model in tokens per second, over a short
// and a long window.
struct DemandRate {
  double fast = 0;
  double slow = 0;

  // The rate to plan for, the larger of the two: the fast window follows a rise
  // within seconds, and the slow one keeps copies loaded during a short drop in
  // demand.
  auto PlanningRate() const -> double { return fast > slow ? fast : slow; }
};

// Time constants of the exponentially weighted rates.
struct DemandWindows {
  Duration fast = std::chrono::seconds(10);
  Duration slow = std::chrono::minutes(10);
};

// Estimates the demand per model over the fleet. The rates are sums of decayed
// contributions, so estimates of different daemons or regions are merged by
// addition.
class DemandEstimator {
 public:
  explicit DemandEstimator(DemandWindows windows = {});

  // Adds a report. Ignores one whose sequence number was applied already or
  // whose incarnation is older than one seen from the instance. Returns whether
  // it was applied.
  auto Apply(Timestamp now, const ModelDemandReport& report) -> bool;
  // Adds the rates of `other`, which must have the same windows and must have
  // applied the reports of other daemons only; reports applied by both would
  // count twice.
  auto Merge(Timestamp now, const DemandEstimator& other) -> void;

  // The estimate for `model` at `now`; zero for an unknown model.
  auto Rate(Timestamp now, const ModelId& model) const -> DemandRate;

 private:
  // The rates of a model, decayed to the time of the last update.
  struct RateEntry {
    DemandRate rate;
    Timestamp updated_at;
  };
  // The last report that was applied from an instance.
  struct LastReport {
    Incarnation incarnation;
    std::int64_t sequence = 0;
  };

  // The entry's rates decayed from its last update to `now`.
  auto DecayTo(Timestamp now, const RateEntry& entry) const -> DemandRate;

  DemandWindows windows_;
  std::map<ModelId, RateEntry> rates_;
  std::map<InstanceId, LastReport> last_reports_;
};

}  // namespace dotterellug
