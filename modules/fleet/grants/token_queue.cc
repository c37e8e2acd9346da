#include "fleet/grants/token_queue.h"

#include <algorithm>
#include <utility>

namespace dotterellug::fleet {
namespace {

// Whether a new request of `tokens` goes before the entry.
auto Overtakes(std::int64_t tokens, const TokenQueue::Entry& entry) -> bool {
  return tokens * TokenQueue::kOvertakingFactor <= entry.minimum;
}

}  // namespace

auto TokenQueue::Put(const RateLimitKey& key, Entry entry) -> void {
  auto& queue = queues_[key];
  const auto found = std::find_if(
      queue.begin(), queue.end(),
      [&](const Entry& other) { return other.daemon == entry.daemon; });
  if (found != queue.end()) {
    *found = std::move(entry);
    return;
  }
  const auto position = std::find_if(
      queue.begin(), queue.end(),
      [&](const Entry& other) { return Overtakes(entry.minimum, other); });
  queue.insert(position, std::move(entry));
}

auto TokenQueue::Remove(const RateLimitKey& key, const InstanceId& daemon)
    -> void {
  const auto found = queues_.find(key);
  if (found == queues_.end()) return;
  auto& queue = found->second;
  queue.erase(std::remove_if(
                  queue.begin(), queue.end(),
                  [&](const Entry& entry) { return entry.daemon == daemon; }),
              queue.end());
  if (queue.empty()) queues_.erase(found);
}

auto TokenQueue::TokensAhead(const RateLimitKey& key, const InstanceId& daemon,
                             std::int64_t minimum, Timestamp now) const
    -> std::int64_t {
  const auto found = queues_.find(key);
  if (found == queues_.end()) return 0;
  std::int64_t before_daemon = 0;
  std::optional<std::int64_t> before_new;
  for (const auto& entry : found->second) {
    if (entry.daemon == daemon) return before_daemon;
    if (entry.expires_at < now) continue;
    if (!before_new && Overtakes(minimum, entry)) before_new = before_daemon;
    before_daemon += entry.minimum;
  }
  return before_new.value_or(before_daemon);
}

auto TokenQueue::Serve(const TryGrant& try_grant, Timestamp now)
    -> std::map<InstanceId, std::vector<TokenGrant>> {
  std::map<InstanceId, std::vector<TokenGrant>> grants;
  for (auto item = queues_.begin(); item != queues_.end();) {
    auto& [key, queue] = *item;
    while (!queue.empty()) {
      const auto& entry = queue.front();
      if (entry.expires_at >= now) {
        const auto grant = try_grant(key, entry);
        if (!grant) break;
        grants[entry.daemon].push_back(*grant);
      }
      queue.pop_front();
    }
    item = queue.empty() ? queues_.erase(item) : std::next(item);
  }
  return grants;
}

}  // namespace dotterellug::fleet
