#include "serving/dispatch/cold_start_limiter.h"

#include <algorithm>

namespace dotterellug::serving {
namespace {

// Maximum number of daemons that share the rate of a cold upstream. Each may
// send one request at once beyond its rate, so more daemons would mean larger
// bursts.
constexpr std::size_t kMaxSenders = 8;
constexpr auto kBucketTtl = std::chrono::seconds(30);

}  // namespace

auto ColdStartLimiter::SetMembers(std::vector<InstanceId> members) -> void {
  members_ = std::move(members);
  eligible_.clear();
}

auto ColdStartLimiter::Eligible(const UpstreamId& upstream) -> bool {
  if (members_.size() <= kMaxSenders) return true;
  const auto [entry, added] = eligible_.try_emplace(upstream, false);
  if (added) entry->second = RanksAmongSenders(upstream);
  return entry->second;
}

auto ColdStartLimiter::RanksAmongSenders(const UpstreamId& upstream) const
    -> bool {
  const auto weight = [&](const InstanceId& member) {
    return RendezvousWeight(upstream.Value(), member.Value());
  };
  const auto own = weight(self_);
  const auto higher_ranked =
      std::count_if(members_.begin(), members_.end(), [&](const auto& member) {
        return member != self_ && weight(member) > own;
      });
  return static_cast<std::size_t>(higher_ranked) < kMaxSenders;
}

auto ColdStartLimiter::TryAcquire(const UpstreamView& upstream,
                                  double per_second, Timestamp now) -> bool {
  const auto& id = upstream.record.id;
  if (!Eligible(id)) return false;
  const auto sender_count =
      std::clamp<std::size_t>(members_.size(), 1, kMaxSenders);
  auto& bucket = buckets_[id];
  if (bucket.updated_at != Timestamp{}) {
    const auto rate = per_second / static_cast<double>(sender_count);
    bucket.tokens = std::min(
        1.0, bucket.tokens + rate * ToSeconds(now - bucket.updated_at));
  }
  bucket.updated_at = now;
  if (bucket.tokens < 1) return false;
  bucket.tokens -= 1;
  return true;
}

auto ColdStartLimiter::Sweep(Timestamp now) -> void {
  for (auto bucket = buckets_.begin(); bucket != buckets_.end();) {
    const bool old = now - bucket->second.updated_at > kBucketTtl;
    if (old) eligible_.erase(bucket->first);
    bucket = old ? buckets_.erase(bucket) : std::next(bucket);
  }
}

}  // namespace dotterellug::serving
