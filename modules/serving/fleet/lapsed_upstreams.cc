#include "serving/fleet/lapsed_upstreams.h"

namespace dotterellug::serving {

auto LapsedUpstreams::OnStoreAnswer(Timestamp now) -> void {
  const bool was_outage =
      outage_since_ && now - last_response_at_ > 2 * settings_.sign_of_life;
  // Counted from the return: an upstream that leaves shortly after it must not
  // be kept for longer.
  if (was_outage) retain_until_ = now + settings_.renewal_window;
  outage_since_.reset();
  last_response_at_ = now;
}

auto LapsedUpstreams::OnStoreSilence(Timestamp now) -> void {
  if (!outage_since_) outage_since_ = now;
}

auto LapsedUpstreams::OnMissing(const UpstreamId& id, Timestamp now) -> bool {
  if (now >= retain_until_) {
    retained_.erase(id);
    return true;
  }
  retained_.try_emplace(id, retain_until_);
  return false;
}

auto LapsedUpstreams::TakeGone(Timestamp now) -> std::vector<UpstreamId> {
  std::vector<UpstreamId> removed;
  // While the store is away again, entries cannot come back.
  if (outage_since_) return removed;
  for (auto retained = retained_.begin(); retained != retained_.end();) {
    if (now < retained->second) {
      ++retained;
      continue;
    }
    removed.push_back(retained->first);
    retained = retained_.erase(retained);
  }
  return removed;
}

}  // namespace dotterellug::serving
