#include "serving/dispatch/service_time_estimate.h"

#include <algorithm>

namespace dotterellug::serving {
namespace {

// Weight of a new observation in the moving average.
constexpr double kNewWeight = 0.1;

auto TokenCount(std::int64_t max_output_tokens) -> double {
  return static_cast<double>(std::max<std::int64_t>(max_output_tokens, 1));
}

}  // namespace

auto ServiceTimeEstimate::Observe(const std::string& route,
                                  std::int64_t max_output_tokens, Duration time)
    -> void {
  const auto per_token = ToSeconds(time) / TokenCount(max_output_tokens);
  const auto [entry, added] = seconds_per_token_.try_emplace(route, per_token);
  if (!added) entry->second += kNewWeight * (per_token - entry->second);
}

auto ServiceTimeEstimate::Expected(const std::string& route,
                                   std::int64_t max_output_tokens) const
    -> std::optional<Duration> {
  const auto entry = seconds_per_token_.find(route);
  if (entry == seconds_per_token_.end()) return std::nullopt;
  return FromSeconds(entry->second * TokenCount(max_output_tokens));
}

}  // namespace dotterellug::serving
