#include "serving/fleet/response_suspicion.h"

#include <algorithm>

namespace dotterellug::serving {
namespace {

// Duration of the first suspicion. It doubles with each repetition, up to four
// seconds: an address that another instance has taken gets one trial from each
// daemon in that time, and an upstream in trouble returns soon.
constexpr auto kInitialDuration = std::chrono::milliseconds(1000);
constexpr int kMaxDoublings = 2;
// Time between two trials without a response. Covers the response time of plain
// services.
constexpr auto kTrialInterval = std::chrono::milliseconds(250);

}  // namespace

auto ResponseSuspicion::Record(Timestamp sent_at, Timestamp now) -> bool {
  if (count_ > 0 && sent_at < recorded_at_) return false;
  const auto doublings = std::min(count_, kMaxDoublings);
  ++count_;
  recorded_at_ = now;
  until_ = now + kInitialDuration * (1 << doublings);
  return true;
}

auto ResponseSuspicion::RecordSent(Timestamp now) -> void {
  if (count_ == 0 || Active(now)) return;
  until_ = now + kTrialInterval;
}

}  // namespace dotterellug::serving
