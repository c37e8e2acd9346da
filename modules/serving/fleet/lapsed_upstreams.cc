#include "serving/fleet/lapsed_upstreams.h"

namespace dotterellug::serving {

auto LapsedUpstreams::OnStoreAnswer(Timestamp now) -> void {
  const bool away =
      silent_since_ && now - answered_at_ > 2 * times_.sign_of_life;
  // Counted from the return: an upstream that leaves shortly after it must not
  // be kept for longer.
  if (away) until_ = now + times_.return_time;
  silent_since_.reset();
  answered_at_ = now;
}

auto LapsedUpstreams::OnStoreSilence(Timestamp now) -> void {
  if (!silent_since_) silent_since_ = now;
}

auto LapsedUpstreams::OnMissing(const UpstreamId& id, Timestamp now) -> bool {
  if (now >= until_) {
    missing_.erase(id);
    return true;
  }
  missing_.try_emplace(id, until_);
  return false;
}

auto LapsedUpstreams::TakeGone(Timestamp now) -> std::vector<UpstreamId> {
  std::vector<UpstreamId> gone;
  // While the store is away again, entries cannot come back.
  if (silent_since_) return gone;
  for (auto missing = missing_.begin(); missing != missing_.end();) {
    if (now < missing->second) {
      ++missing;
      continue;
    }
    gone.push_back(missing->first);
    missing = missing_.erase(missing);
  }
  return gone;
}

}  // namespace dotterellug::serving
