#pragma once

#include <cstdint>

namespace dotterellug {

// Deterministic random numbers from a seed (SplitMix64). Decision code takes
// one as an argument so that the same seed gives the same decisions. Not for
// secrets.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  auto Next() -> std::uint64_t;
  // Uniform in [0, bound); 0 when bound is 0.
  auto Below(std::uint64_t bound) -> std::uint64_t;
  // Uniform in [0, 1).
  auto Uniform() -> double;
  // Exponentially distributed with the given mean, for arrival processes and
  // jitter.
  auto Exponential(double mean) -> double;

 private:
  std::uint64_t state_;
};

}  // namespace dotterellug
