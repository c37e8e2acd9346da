#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

#include "core/core.h"

namespace dotterellug::serving {

// Limits on the retries to one pool from all daemons together. Retries are the
// attempts of a request after the first.
struct RetryLimits {
  // Retries as a fraction of the requests in the window.
  double ratio = 0.2;
  // Retries in a window that are allowed regardless of the number of requests.
  double min_retries = 50;
  Duration window = std::chrono::seconds(10);
};

// This daemon's share of the retries that a pool may receive. Every daemon
// limits its retries to the ratio of its own requests plus an equal share of
// `min_retries`. The fleet-wide limit therefore holds without communication,
// also for a daemon that is cut off from the others or has just started.
class RetryBudget {
 public:
  explicit RetryBudget(RetryLimits limits) : limits_(limits) {}

  // Sets the upper bound on the number of running daemons, at least 1.
  auto SetDaemonCount(std::int64_t daemons) -> void { daemons_ = daemons; }
  auto SetLimits(const RetryLimits& limits) -> void { limits_ = limits; }
  auto CountRequest(const PoolId& pool, Timestamp now) -> void;
  // Counts a retry and returns true, or returns false if the retries of the
  // window are used up.
  auto TryRetry(const PoolId& pool, Timestamp now) -> bool;

 private:
  // The limit must hold for windows that begin at any time, so retries are
  // overcounted and requests undercounted: the window has eight buckets,
  // retries are summed over nine buckets, and requests over seven complete ones
  // and the current one.
  static constexpr std::int64_t kBuckets = 8;
  struct Bucket {
    std::int64_t index = INT64_MIN;
    std::int64_t requests = 0;
    std::int64_t retries = 0;
  };
  using Buckets = std::array<Bucket, kBuckets + 1>;

  auto CurrentBucket(const PoolId& pool, Timestamp now) -> Bucket&;
  auto BucketIndex(Timestamp now) const -> std::int64_t;

  RetryLimits limits_;
  std::int64_t daemons_ = 1;
  std::unordered_map<PoolId, Buckets> pools_;
};

}  // namespace dotterellug::serving
