#include "admission/queue/drain_rate.h"

#include <cmath>

namespace dotterellug {

auto DrainRate::RecordStart(Tokens cost, bool requests_left_waiting,
                            Timestamp now) -> void {
  if (last_busy_start_) {
    const auto elapsed = ToSeconds(now - *last_busy_start_);
    const auto decay_factor = std::exp(-elapsed / decay_seconds_);
    tokens_ = tokens_ * decay_factor + static_cast<double>(cost.Value());
    seconds_ = seconds_ * decay_factor + elapsed;
  }
  last_busy_start_ =
      requests_left_waiting ? std::optional<Timestamp>(now) : std::nullopt;
}

auto DrainRate::TokensPerSecond() const -> std::optional<double> {
  if (seconds_ < kMinBusySeconds || tokens_ <= 0) return std::nullopt;
  return tokens_ / seconds_;
}

}  // namespace dotterellug
