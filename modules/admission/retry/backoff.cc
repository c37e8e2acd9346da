#include "admission/retry/backoff.h"

#include <algorithm>

namespace dotterellug {

auto BackoffDelay(const BackoffOptions& options, int retry, Random& random)
    -> Duration {
  // Prevents overflow of the shift; max_delay is reached with far fewer
  // doublings.
  constexpr int kMaxDoublings = 20;
  const auto doublings = std::clamp(retry - 1, 0, kMaxDoublings);
  const auto full_delay =
      std::min(options.max_delay,
               options.initial_delay * (std::int64_t{1} << doublings));
  const auto half = full_delay / 2;
  return half + FromSeconds(ToSeconds(full_delay - half) * random.Uniform());
}

}  // namespace dotterellug
