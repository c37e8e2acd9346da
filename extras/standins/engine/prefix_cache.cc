#include "standins/engine/prefix_cache.h"

#include "core/hash/hash.h"

namespace dotterellug::standins {
namespace {

constexpr std::size_t kKeptEvents = 4096;

}  // namespace

auto PrefixCache::Use(std::string_view model, std::string_view prompt)
    -> std::size_t {
  const std::lock_guard lock(mutex_);
  std::uint64_t hash = Hash64(model);
  std::size_t hit = 0;
  bool prefix_known = true;
  for (std::size_t begin = 0; begin + kBlockBytes <= prompt.size();
       begin += kBlockBytes) {
    hash = Hash64(prompt.substr(begin, kBlockBytes), hash);
    const auto found = blocks_.find(hash);
    if (found != blocks_.end()) {
      order_.splice(order_.begin(), order_, found->second);
      if (prefix_known) hit += kBlockBytes;
      continue;
    }
    prefix_known = false;
    order_.push_front(hash);
    blocks_[hash] = order_.begin();
    Record(hash, false);
  }
  while (blocks_.size() > max_blocks_) {
    Record(order_.back(), true);
    blocks_.erase(order_.back());
    order_.pop_back();
  }
  return hit;
}

auto PrefixCache::EventsAfter(std::int64_t number, std::size_t limit) const
    -> std::vector<CacheEvent> {
  const std::lock_guard lock(mutex_);
  std::vector<CacheEvent> result;
  for (const auto& event : events_) {
    if (event.number > number && result.size() < limit) result.push_back(event);
  }
  return result;
}

auto PrefixCache::Clear() -> void {
  const std::lock_guard lock(mutex_);
  order_.clear();
  blocks_.clear();
  events_.clear();
}

auto PrefixCache::Record(std::uint64_t block, bool evicted) -> void {
  events_.push_back({++last_event_, block, evicted});
  if (events_.size() > kKeptEvents) events_.pop_front();
}

}  // namespace dotterellug::standins
