#include "admission/queue/drain_rate.h"

#include <cmath>

namespace dotterellug {

auto DrainRate::Started(Tokens cost, bool waiting, Timestamp now) -> void {
  if (busy_since_) {
    const auto elapsed = ToSeconds(now - *busy_since_);
    const auto kept = std::exp(-elapsed / kFadeSeconds);
    tokens_ = tokens_ * kept + static_cast<double>(cost.Value());
    seconds_ = seconds_ * kept + elapsed;
  }
  busy_since_ = waiting ? std::optional<Timestamp>(now) : std::nullopt;
}

auto DrainRate::TokensPerSecond() const -> std::optional<double> {
  if (seconds_ < kLeastSeconds || tokens_ <= 0) return std::nullopt;
  return tokens_ / seconds_;
}

}  // namespace dotterellug
