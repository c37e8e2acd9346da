#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/core.h"

namespace dotterellug::serving {

// How long requests take from being sent to an upstream to the end of the
// response, learned from completed ones. For each route, a fixed time and a
// time per output token are fitted by least squares; older requests count less.
class ServiceTimeEstimate {
 public:
  // A request of `route` took `time`. `max_output_tokens` is 0 for requests
  // that generate none.
  auto Observe(const std::string& route, std::int64_t max_output_tokens,
               Duration time) -> void;
  // The expected time of a request; nullopt while too few of its route have
  // completed.
  auto Expected(const std::string& route, std::int64_t max_output_tokens) const
      -> std::optional<Duration>;

 private:
  // Weighted means of the observations of one route.
  struct Moments {
    int count = 0;
    double tokens = 0;
    double seconds = 0;
    double tokens_squared = 0;
    double tokens_times_seconds = 0;
  };

  std::unordered_map<std::string, Moments> routes_;
};

}  // namespace dotterellug::serving
