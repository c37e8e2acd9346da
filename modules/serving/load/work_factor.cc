#include "serving/load/work_factor.h"

#include <algorithm>
#include <cmath>

namespace dotterellug::serving {
namespace {

// Least time between two samples.
constexpr auto kSampleInterval = std::chrono::milliseconds(250);
// Samples after which the usual factor is settled: two more than a slow period
// of 600 ms can be.
constexpr std::size_t kSettledSamples = 5;
// The usual factor is this quantile of the samples. Machines are slow for about
// 15% of the time; a machine that has become slower for good has a new usual
// factor after about 3 s.
constexpr double kUsualQuantile = 0.3;
// Time constant with which the current factor turns into the usual one. What is
// left of a slow period of 600 ms is 300 ms on average.
constexpr auto kCurrentTimeConstant = std::chrono::milliseconds(400);
// Multiple of the time constant after which the current factor is disregarded.
constexpr int kDisregardAfter = 6;

}  // namespace

auto WorkFactor::Observe(double factor, Timestamp at) -> bool {
  if (Known() && at < observed_at_) return false;
  observed_at_ = at;
  current_ = factor;
  if (sample_count_ == 0 || at - sampled_at_ >= kSampleInterval) {
    AddSample(factor, at);
  }
  return true;
}

auto WorkFactor::AddSample(double factor, Timestamp at) -> void {
  sampled_at_ = at;
  samples_[next_sample_] = static_cast<float>(factor);
  next_sample_ = (next_sample_ + 1) % kSamples;
  sample_count_ = std::min(sample_count_ + 1, kSamples);
  // What another daemon has settled is worth more than a few own samples.
  if (settled_ && sample_count_ < kSettledSamples) return;
  settled_ = sample_count_ >= kSettledSamples;
  auto sorted = samples_;
  const auto rank = static_cast<std::size_t>(
      kUsualQuantile * static_cast<double>(sample_count_ - 1));
  const auto begin = sorted.begin();
  std::nth_element(begin, begin + static_cast<std::ptrdiff_t>(rank),
                   begin + static_cast<std::ptrdiff_t>(sample_count_));
  usual_ = sorted[rank];
}

auto WorkFactor::Adopt(const SharedWorkFactor& fact, Timestamp at) -> void {
  const bool known = Known();
  observed_at_ = at;
  current_ = fact.current;
  if (sample_count_ >= kSettledSamples) return;
  if (fact.usual) {
    usual_ = *fact.usual;
    settled_ = true;
  } else if (!settled_) {
    usual_ = known ? std::min(usual_, fact.current) : fact.current;
  }
}

auto WorkFactor::Expected(Timestamp now) const -> double {
  const auto age = now - observed_at_;
  if (age >= kDisregardAfter * kCurrentTimeConstant) return usual_;
  const auto weight =
      std::exp(-ToSeconds(std::max<Duration>(age, Duration::zero())) /
               ToSeconds(kCurrentTimeConstant));
  return usual_ + weight * (current_ - usual_);
}

}  // namespace dotterellug::serving
