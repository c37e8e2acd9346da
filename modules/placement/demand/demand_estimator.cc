#include "placement/demand/demand_estimator.h"

#include <cmath>

namespace dotterellug {

DemandEstimator::DemandEstimator(DemandWindows windows) : windows_(windows) {}

auto DemandEstimator::Apply(Timestamp now, const ModelDemandReport& report)
    -> bool {
  auto& source = sources_[report.instance];
  if (report.incarnation < source.incarnation) return false;
  if (report.incarnation == source.incarnation &&
      report.sequence <= source.sequence) {
    return false;
  }
  source = Source{report.incarnation, report.sequence};
  for (const auto& [model, tokens] : report.models) {
    auto& decayed = models_[model];
    decayed.rate = At(now, decayed);
    decayed.at = now;
    const auto sum = static_cast<double>(tokens.Sum().Value());
    decayed.rate.fast += sum / ToSeconds(windows_.fast);
    decayed.rate.slow += sum / ToSeconds(windows_.slow);
  }
  return true;
}

auto DemandEstimator::Merge(Timestamp now, const DemandEstimator& other)
    -> void {
  for (const auto& [model, theirs] : other.models_) {
    auto& ours = models_[model];
    const auto added = other.At(now, theirs);
    ours.rate = At(now, ours);
    ours.at = now;
    ours.rate.fast += added.fast;
    ours.rate.slow += added.slow;
  }
}

auto DemandEstimator::Rate(Timestamp now, const ModelId& model) const
    -> DemandRate {
  const auto found = models_.find(model);
  if (found == models_.end()) return {};
  return At(now, found->second);
}

auto DemandEstimator::At(Timestamp now, const Decayed& decayed) const
    -> DemandRate {
  const auto age = ToSeconds(now - decayed.at);
  return {decayed.rate.fast * std::exp(-age / ToSeconds(windows_.fast)),
          decayed.rate.slow * std::exp(-age / ToSeconds(windows_.slow))};
}

}  // namespace dotterellug
