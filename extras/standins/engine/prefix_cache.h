#pragma once

#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dotterellug::standins {

// A cache event: a block of a prompt prefix was stored or evicted.
struct CacheEvent {
  std::int64_t number = 0;
  std::uint64_t block = 0;
  bool evicted = false;
};

// Prefix cache of the engine stand-in: blocks of prompt text, each identified
// by the hash of all text up to its end, evicted in order of last use.
class PrefixCache {
 public:
  static constexpr std::size_t kBlockBytes = 64;

  explicit PrefixCache(std::size_t max_blocks) : max_blocks_(max_blocks) {}

  // Bytes of the prompt found in the cache; stores the rest.
  auto Use(std::string_view model, std::string_view prompt) -> std::size_t;
  // Events after `number`, at most `limit`.
  auto EventsAfter(std::int64_t number, std::size_t limit) const
      -> std::vector<CacheEvent>;
  auto Clear() -> void;

 private:
  auto Record(std::uint64_t block, bool evicted) -> void;

  mutable std::mutex mutex_;
  std::size_t max_blocks_;
  std::list<std::uint64_t> order_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
  std::list<CacheEvent> events_;
  std::int64_t last_event_ = 0;
};

}  // namespace dotterellug::standins
