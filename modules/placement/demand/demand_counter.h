#pragma once

#include <cstdint>
#include <map>

#include "core/ids/ids.h"
#include "placement/demand/demand_report.h"

namespace dotterellug {

// Sums demand in one daemon between two reports to the placement owner.
class DemandCounter {
 public:
  DemandCounter(InstanceId instance, Incarnation incarnation);

  // `queued` counts a request when it enters a queue; it is not counted as
  // admitted again when it leaves the queue.
  auto Add(const ModelId& model, const DemandTokens& tokens) -> void;
  // The sums since the last call, to be sent until acknowledged.
  auto TakeReport() -> ModelDemandReport;

 private:
  InstanceId instance_;
  Incarnation incarnation_;
  std::int64_t last_sequence_ = 0;
  std::map<ModelId, DemandTokens> tokens_by_model_;
};

}  // namespace dotterellug
