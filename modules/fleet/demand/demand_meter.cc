#include "fleet/demand/demand_meter.h"

#include <cmath>

namespace dotterellug::fleet {
namespace {

// Time constants of the rates, in seconds. The recent rate follows a step in
// demand within seconds but not single requests. The sustained rate covers
// several requests of a model that is requested every few seconds.
constexpr double kRecentRateTimeConstantSeconds = 2.0;
constexpr double kSustainedRateTimeConstantSeconds = 15.0;
// Models with a lower sustained rate are dropped. After a single request of
// 1,000 tokens, the rate decays below this value in about a minute.
constexpr double kMinReportedTokensPerSecond = 1.0;

}  // namespace

auto DemandMeter::RecentRateFraction(Duration age) -> double {
  return std::exp(-ToSeconds(age) / kRecentRateTimeConstantSeconds);
}

auto DemandMeter::DecayedRate(const Rate& rate, Timestamp now) -> Rate {
  const Duration age = now - rate.updated_at;
  return {rate.recent * RecentRateFraction(age),
          rate.sustained *
              std::exp(-ToSeconds(age) / kSustainedRateTimeConstantSeconds),
          now};
}

auto DemandMeter::Count(const ModelId& model, std::int64_t tokens,
                        Timestamp now) -> void {
  if (first_request_at_ == Timestamp{}) first_request_at_ = now;
  auto& rate = rates_[model];
  const auto amount = static_cast<double>(tokens);
  rate = DecayedRate(rate, now);
  rate.recent += amount / kRecentRateTimeConstantSeconds;
  rate.sustained += amount / kSustainedRateTimeConstantSeconds;
}

auto DemandMeter::Rates(Timestamp now) -> std::vector<ModelDemand> {
  std::vector<ModelDemand> demand;
  for (auto entry = rates_.begin(); entry != rates_.end();) {
    const auto rate = DecayedRate(entry->second, now);
    if (rate.sustained < kMinReportedTokensPerSecond) {
      entry = rates_.erase(entry);
      continue;
    }
    demand.push_back({entry->first, static_cast<std::int64_t>(rate.recent),
                      static_cast<std::int64_t>(rate.sustained * 1000)});
    ++entry;
  }
  return demand;
}

}  // namespace dotterellug::fleet
