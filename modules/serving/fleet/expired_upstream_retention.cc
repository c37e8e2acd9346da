#include "serving/fleet/expired_upstream_retention.h"

namespace dotterellug::serving {

auto ExpiredUpstreamRetention::OnStoreResponse(Timestamp now) -> void {
  const bool was_outage =
      failing_since_ &&
      now - last_response_at_ > 2 * settings_.heartbeat_interval;
  // The window starts when the store recovers: an upstream that leaves shortly
  // afterwards must not be retained for longer.
  if (was_outage) renewal_window_end_ = now + settings_.renewal_window;
  failing_since_.reset();
  last_response_at_ = now;
}

auto ExpiredUpstreamRetention::OnStoreFailure(Timestamp now) -> void {
  if (!failing_since_) failing_since_ = now;
}

auto ExpiredUpstreamRetention::OnEntryMissing(const UpstreamId& id,
                                              Timestamp now) -> bool {
  if (now >= renewal_window_end_) {
    retained_.erase(id);
    return true;
  }
  retained_.try_emplace(id, renewal_window_end_);
  return false;
}

auto ExpiredUpstreamRetention::TakeExpired(Timestamp now)
    -> std::vector<UpstreamId> {
  std::vector<UpstreamId> removed;
  // During another outage of the store, upstreams cannot renew their entries.
  if (failing_since_) return removed;
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
