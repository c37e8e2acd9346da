#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

#include "core/core.h"

namespace dotterellug::serving {

// Bounds on the attempts beyond the first of each request, over the fleet.
struct RetryLimits {
  // Repeated attempts as a part of the requests of the window.
  double ratio = 0.2;
  // Repeated attempts in a window that need no requests beside them.
  double slack = 50;
  Duration window = std::chrono::seconds(10);
};

// This daemon's part of the repeated attempts that a pool may receive. Every
// daemon keeps to the ratio of its own requests and to an equal part of the
// slack, so the sum holds without any message, also for a daemon that is alone
// or has just started.
class RepeatBudget {
 public:
  explicit RepeatBudget(RetryLimits limits) : limits_(limits) {}

  // `daemons` is the number of daemons that may be running, at least 1.
  auto SetDaemons(std::int64_t daemons) -> void { daemons_ = daemons; }
  auto SetLimits(const RetryLimits& limits) -> void { limits_ = limits; }
  auto CountRequest(const PoolId& pool, Timestamp now) -> void;
  // Takes one repeated attempt; false when the window's are used up.
  auto TryRepeat(const PoolId& pool, Timestamp now) -> bool;

 private:
  // The window is kept in eighths. Repeated attempts are counted over nine of
  // them and requests over seven whole ones, so the bound holds for windows
  // that begin at any moment.
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
