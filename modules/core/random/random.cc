#include "core/random/random.h"

#include <cmath>

namespace dotterellug {

auto Random::Next() -> std::uint64_t {
  state_ += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = state_;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

auto Random::Below(std::uint64_t bound) -> std::uint64_t {
  if (bound == 0) return 0;
  return Next() % bound;
}

auto Random::Uniform() -> double {
  return static_cast<double>(Next() >> 11U) * 0x1.0p-53;
}

auto Random::Exponential(double mean) -> double {
  return -mean * std::log1p(-Uniform());
}

}  // namespace dotterellug
