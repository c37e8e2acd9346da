#pragma once

#include <cstdint>
#include <map>

#include "core/ids/ids.h"
#include "placement/demand/demand_report.h"

namespace dotterellug {

// Sums the demand that one daemon observes between two reports to the placement
// owner, the daemon that currently runs the Planner. The owner is not elected
// by the order lease.
class DemandCounter {
 public:
  DemandCounter(InstanceId instance, Incarnation incarnation);

  // Adds the tokens of one request. A request that enters a queue counts as
  // queued and is not counted as admitted when it leaves the queue.
  auto Add(const ModelId& model, const DemandTokens& tokens) -> void;
  // Returns the sums since the last call as a report with a new sequence
  // number. The caller retries sending it until it is acknowledged.
  auto TakeReport() -> ModelDemandReport;

 private:
  InstanceId instance_;
  Incarnation incarnation_;
  std::int64_t last_sequence_ = 0;
  std::map<ModelId, DemandTokens> tokens_by_model_;
};

}  // namespace dotterellug
