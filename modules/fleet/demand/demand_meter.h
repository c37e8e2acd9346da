#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/core.h"
#include "fleet/messages/fleet_messages.h"

namespace dotterellug::fleet {

// What callers ask of each model at one daemon, as rates over the last seconds.
// Pattern: demand for models moves within seconds, and the daemon that plans
// copies changes too. Rates that each daemon keeps for itself are complete in
// its first report to a new planner, which would otherwise move copies by what
// it saw in its first moments.
class DemandMeter {
 public:
  auto Count(const ModelId& model, std::int64_t tokens, Timestamp now) -> void;
  // Models that were asked for within the last minute or so.
  auto Rates(Timestamp now) -> std::vector<ModelDemand>;

  // Time since the first request was counted; 0 before.
  auto Age(Timestamp now) const -> Duration {
    if (first_request_at_ == Timestamp{}) return Duration::zero();
    return now - first_request_at_;
  }

  // Part of a recent rate that is left after `age`.
  static auto Decay(Duration age) -> double;

 private:
  struct Rate {
    double recent = 0;
    double sustained = 0;
    Timestamp updated_at;
  };

  // The rates as they are at `now`.
  static auto DecayedRate(const Rate& rate, Timestamp now) -> Rate;

  std::map<ModelId, Rate> rates_;
  Timestamp first_request_at_{};
};

}  // namespace dotterellug::fleet
