#include "placement/demand/demand_estimator.h"

#include <cmath>

namespace dotterellug {

DemandEstimator::DemandEstimator(DemandWindows windows) : windows_(windows) {}

auto DemandEstimator::Apply(Timestamp now, const ModelDemandReport& report)
    -> bool {
  auto& last_report = last_reports_[report.instance];
  if (report.incarnation < last_report.incarnation) return false;
  if (report.incarnation == last_report.incarnation &&
      report.sequence <= last_report.sequence) {
    return false;
  }
  last_report = LastReport{report.incarnation, report.sequence};
  for (const auto& [model, tokens] : report.models) {
    auto& entry = rates_[model];
    entry.rate = DecayTo(now, entry);
    entry.updated_at = now;
    const auto sum = static_cast<double>(tokens.Sum().Value());
    entry.rate.fast += sum / ToSeconds(windows_.fast);
    entry.rate.slow += sum / ToSeconds(windows_.slow);
  }
  return true;
}

auto DemandEstimator::Merge(Timestamp now, const DemandEstimator& other)
    -> void {
  for (const auto& [model, other_entry] : other.rates_) {
    auto& own_entry = rates_[model];
    const auto other_rate = other.DecayTo(now, other_entry);
    own_entry.rate = DecayTo(now, own_entry);
    own_entry.updated_at = now;
    own_entry.rate.fast += other_rate.fast;
    own_entry.rate.slow += other_rate.slow;
  }
}

auto DemandEstimator::Rate(Timestamp now, const ModelId& model) const
    -> DemandRate {
  const auto found = rates_.find(model);
  if (found == rates_.end()) return {};
  return DecayTo(now, found->second);
}

auto DemandEstimator::DecayTo(Timestamp now, const RateEntry& entry) const
    -> DemandRate {
  const auto age = ToSeconds(now - entry.updated_at);
  return {entry.rate.fast * std::exp(-age / ToSeconds(windows_.fast)),
          entry.rate.slow * std::exp(-age / ToSeconds(windows_.slow))};
}

}  // namespace dotterellug
