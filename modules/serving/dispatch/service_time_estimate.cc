#include "serving/dispatch/service_time_estimate.h"

#include <algorithm>

namespace dotterellug::serving {
namespace {

// Least weight of a new observation; the first ones count equally.
constexpr double kNewWeight = 0.05;
constexpr int kLeastObservations = 5;
// Below this variance the sizes do not tell the time per token.
constexpr double kLeastVariance = 1;

}  // namespace

auto ServiceTimeEstimate::Observe(const std::string& route,
                                  std::int64_t max_output_tokens, Duration time)
    -> void {
  auto& moments = routes_[route];
  const auto tokens = static_cast<double>(max_output_tokens);
  const auto seconds = ToSeconds(time);
  ++moments.count;
  const auto weight = std::max(kNewWeight, 1.0 / moments.count);
  const auto include = [&](double& mean, double value) {
    mean += weight * (value - mean);
  };
  include(moments.tokens, tokens);
  include(moments.seconds, seconds);
  include(moments.tokens_squared, tokens * tokens);
  include(moments.tokens_times_seconds, tokens * seconds);
}

auto ServiceTimeEstimate::Expected(const std::string& route,
                                   std::int64_t max_output_tokens) const
    -> std::optional<Duration> {
  const auto entry = routes_.find(route);
  if (entry == routes_.end() || entry->second.count < kLeastObservations) {
    return std::nullopt;
  }
  const auto& moments = entry->second;
  const auto variance =
      moments.tokens_squared - moments.tokens * moments.tokens;
  const auto covariance =
      moments.tokens_times_seconds - moments.tokens * moments.seconds;
  const auto per_token =
      variance < kLeastVariance ? 0 : std::max(covariance / variance, 0.0);
  const auto beyond_mean =
      static_cast<double>(max_output_tokens) - moments.tokens;
  const auto seconds = moments.seconds + per_token * beyond_mean;
  return FromSeconds(std::max(seconds, 0.0));
}

}  // namespace dotterellug::serving
