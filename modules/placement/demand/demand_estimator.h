#pragma once

#include <cstdint>
#include <map>

#include "core/ids/ids.h"
#include "core/time/time.h"
#include "placement/demand/demand_report.h"

namespace dotterellug {

// Exponentially weighted rates of one model in tokens per second.
struct DemandRate {
  double fast = 0;
  double slow = 0;

  // The planner follows the larger: the fast window sees a rise at once, the
  // slow one keeps copies through a short lull.
  auto Planned() const -> double { return fast > slow ? fast : slow; }
};

struct DemandWindows {
  Duration fast = std::chrono::seconds(10);
  Duration slow = std::chrono::minutes(10);
};

// Demand per model over the fleet. The rates are sums of decayed contributions,
// so estimates of different daemons or regions merge by addition.
class DemandEstimator {
 public:
  explicit DemandEstimator(DemandWindows windows = {});

  // Ignores a report whose sequence was applied already, or whose incarnation
  // is older than one seen from the instance. Returns whether it was applied.
  auto Apply(Timestamp now, const ModelDemandReport& report) -> bool;
  // Adds the rates of an estimator with the same windows that was fed from
  // other daemons.
  auto Merge(Timestamp now, const DemandEstimator& other) -> void;

  auto Rate(Timestamp now, const ModelId& model) const -> DemandRate;

 private:
  struct DecayedRate {
    DemandRate rate;
    Timestamp updated_at;
  };
  struct LastReport {
    Incarnation incarnation;
    std::int64_t sequence = 0;
  };

  auto DecayTo(Timestamp now, const DecayedRate& entry) const -> DemandRate;

  DemandWindows windows_;
  std::map<ModelId, DecayedRate> rates_;
  std::map<InstanceId, LastReport> last_reports_;
};

}  // namespace dotterellug
