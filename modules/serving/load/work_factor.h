#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "core/core.h"
#include "serving/load/stated_load.h"

namespace dotterellug::serving {

// How long work takes on the machine of one upstream process, relative to a
// usual machine. The usual factor includes the engine's own speed; the current
// one also what else the machine runs at the moment. A machine may be slow for
// about 600 ms at a time and is then as fast as usual again, so the current
// factor counts only for a while.
class WorkFactor {
 public:
  // A response that arrived at `at` stated `factor`. Returns false if a later
  // one is known.
  auto Observe(double factor, Timestamp at) -> bool;
  // Takes what another daemon observed at `at`, which is later than what is
  // known here. It is no sample, since daemons tell of slow periods first.
  auto Adopt(const SharedWorkFactor& fact, Timestamp at) -> void;

  auto Known() const -> bool { return observed_at_ != Timestamp{}; }
  // The factor that the latest response stated, and when it arrived.
  auto Current() const -> double { return current_; }
  auto ObservedAt() const -> Timestamp { return observed_at_; }
  // A low quantile of what was observed; the latest factor before the first
  // one is known. To be called only if the factor is known.
  auto Usual() const -> double { return usual_; }
  // Whether slow periods of usual length cannot have decided the usual factor.
  auto UsualSettled() const -> bool { return settled_; }
  // The factor that is to be expected now: the current one, which turns into
  // the usual one as it ages. To be called only if the factor is known.
  auto Expected(Timestamp now) const -> double;

 private:
  // Samples that decide the usual factor. They are at least 250 ms apart, so a
  // slow period of 600 ms is at most 3 of them.
  static constexpr std::size_t kSamples = 16;

  auto AddSample(double factor, Timestamp at) -> void;

  double current_ = 1;
  Timestamp observed_at_{};
  double usual_ = 1;
  bool settled_ = false;
  std::array<float, kSamples> samples_{};
  std::size_t sample_count_ = 0;
  std::size_t next_sample_ = 0;
  Timestamp sampled_at_{};
};

}  // namespace dotterellug::serving
