#include "serving/retry/retry_budget.h"

namespace dotterellug::serving {
namespace {

// Fraction of the limits that is used. Leaves a margin, because a retry may
// reach the upstream in a later window than the one it was counted in.
constexpr double kUsableFraction = 0.85;

}  // namespace

auto RetryBudget::BucketIndex(Timestamp now) const -> std::int64_t {
  return now.time_since_epoch() / (limits_.window / kBuckets);
}

auto RetryBudget::CurrentBucket(const PoolId& pool, Timestamp now) -> Bucket& {
  const auto index = BucketIndex(now);
  auto& bucket = pools_[pool][static_cast<std::size_t>(index % (kBuckets + 1))];
  if (bucket.index != index) bucket = Bucket{index, 0, 0};
  return bucket;
}

auto RetryBudget::CountRequest(const PoolId& pool, Timestamp now) -> void {
  ++CurrentBucket(pool, now).requests;
}

auto RetryBudget::TryRetry(const PoolId& pool, Timestamp now) -> bool {
  auto& current = CurrentBucket(pool, now);
  const auto index = BucketIndex(now);
  std::int64_t requests = 0;
  std::int64_t retries = 1;
  for (const auto& bucket : pools_[pool]) {
    const auto age = index - bucket.index;
    if (age < 0 || age > kBuckets) continue;
    retries += bucket.retries;
    if (age < kBuckets) requests += bucket.requests;
  }
  const auto min_retries = limits_.min_retries / static_cast<double>(daemons_);
  const auto allowed =
      kUsableFraction *
      (limits_.ratio * static_cast<double>(requests) + min_retries);
  if (static_cast<double>(retries) > allowed) return false;
  ++current.retries;
  return true;
}

}  // namespace dotterellug::serving
