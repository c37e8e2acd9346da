#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/core.h"

namespace dotterellug::serving {

// How long requests take from being sent to an upstream to the end of the
// response, learned from completed ones: a moving average for each route, in
// proportion to the tokens that a request may generate.
class ServiceTimeEstimate {
 public:
  // A request of `route` took `time`. `max_output_tokens` is 0 for requests
  // that generate none.
  auto Observe(const std::string& route, std::int64_t max_output_tokens,
               Duration time) -> void;
  // The expected time of a request; nullopt if none of its route has completed.
  auto Expected(const std::string& route, std::int64_t max_output_tokens) const
      -> std::optional<Duration>;

 private:
  // Seconds per output token, by route.
  std::unordered_map<std::string, double> seconds_per_token_;
};

}  // namespace dotterellug::serving
