#pragma once

#include <prometheus/histogram.h>

namespace dotterellug {

// Bucket boundaries of all latency histograms, in seconds. They include the
// targets of the known deployments: 31 ms between two tokens, 350 and 570 ms
// for the first one.
inline auto LatencyBuckets() -> prometheus::Histogram::BucketBoundaries {
  return {0.001, 0.002, 0.005, 0.01, 0.02, 0.031, 0.05, 0.1,  0.2,
          0.35,  0.57,  1.0,   2.0,  5.0,  10.0,  30.0, 120.0};
}

}  // namespace dotterellug
