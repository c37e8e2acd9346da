#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/core.h"
#include "fleet/messages/fleet_messages.h"

namespace dotterellug::fleet {

// Measures the token demand for each model at one daemon as exponentially
// decayed rates. Demand changes within seconds, and so can the daemon that
// plans model placement. Each daemon therefore keeps its own rates, and a new
// planner gets complete rates with the first report of each daemon. Otherwise
// it would move model copies according to the few requests seen since it became
// the planner. Not thread-safe.
class DemandMeter {
 public:
  // Adds the tokens of one request.
  auto Count(const ModelId& model, std::int64_t tokens, Timestamp now) -> void;
  // Rates of the models with recent demand. Models with a negligible sustained
  // rate are dropped, about a minute after a single request of 1,000 tokens.
  auto Rates(Timestamp now) -> std::vector<ModelDemand>;

  // Time since the first request; 0 if there has been none.
  auto TimeSinceFirstRequest(Timestamp now) const -> Duration {
    if (first_request_at_ == Timestamp{}) return Duration::zero();
    return now - first_request_at_;
  }

  // Fraction of a recent rate that remains after `age`.
  static auto RecentRateFraction(Duration age) -> double;

 private:
  struct Rate {
    // Tokens per second, with a short and a long time constant.
    double recent = 0;
    double sustained = 0;
    Timestamp updated_at;
  };

  // Returns `rate` decayed to `now`.
  static auto DecayedRate(const Rate& rate, Timestamp now) -> Rate;

  std::map<ModelId, Rate> rates_;
  Timestamp first_request_at_{};
};

}  // namespace dotterellug::fleet
