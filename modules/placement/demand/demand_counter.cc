#include "placement/demand/demand_counter.h"

#include <utility>

namespace dotterellug {

DemandCounter::DemandCounter(InstanceId instance, Incarnation incarnation)
    : instance_(std::move(instance)), incarnation_(incarnation) {}

auto DemandCounter::Add(const ModelId& model, const DemandTokens& tokens)
    -> void {
  auto& sum = tokens_by_model_[model];
  sum.admitted += tokens.admitted;
  sum.queued += tokens.queued;
  sum.refused += tokens.refused;
}

auto DemandCounter::TakeReport() -> ModelDemandReport {
  ModelDemandReport report{instance_, incarnation_, ++last_sequence_, {}};
  report.models.swap(tokens_by_model_);
  return report;
}

}  // namespace dotterellug
