#include "admission/retry/backoff.h"

#include <algorithm>

namespace dotterellug {

auto BackoffDelay(const BackoffOptions& options, int retry, Random& random)
    -> Duration {
  // More doublings than this exceed any useful limit and would overflow.
  constexpr int kMostDoublings = 20;
  const auto doublings = std::clamp(retry - 1, 0, kMostDoublings);
  const auto whole =
      std::min(options.longest, options.first * (std::int64_t{1} << doublings));
  const auto half = whole / 2;
  return half + FromSeconds(ToSeconds(whole - half) * random.Uniform());
}

}  // namespace dotterellug
