#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "core/core.h"
#include "fleet/messages/fleet_messages.h"

namespace dotterellug::fleet {

// Token requests of daemons that wait until their limit has enough tokens,
// in order of arrival for each limit. Without the order, requests of
// similar size would take the tokens for which an earlier one waits. A request
// overtakes those that are larger by a factor: it delays them little, and its
// caller usually waits for a short answer. Not thread-safe.
class TokenQueue {
 public:
  // A request overtakes those of at least this multiple of its tokens.
  static constexpr std::int64_t kOvertakingFactor = 8;

  struct Entry {
    InstanceId daemon;
    // Fields of the token request.
    std::int64_t tokens = 0;
    std::int64_t minimum = 0;
    Timestamp expires_at;
  };
  // Returns the grant for an entry, or nothing if it has to wait.
  using TryGrant = std::function<std::optional<TokenGrant>(const RateLimitKey&,
                                                           const Entry&)>;

  // Adds an entry. A daemon has one entry for each limit; an earlier one is
  // updated and keeps its position.
  auto Put(const RateLimitKey& key, Entry entry) -> void;
  auto Remove(const RateLimitKey& key, const InstanceId& daemon) -> void;
  auto Empty() const -> bool { return queues_.empty(); }
  // Minimum tokens for the entries before that of the daemon, or before a new
  // one with the given minimum, without expired ones.
  auto TokensAhead(const RateLimitKey& key, const InstanceId& daemon,
                   std::int64_t minimum, Timestamp now) const -> std::int64_t;
  // Grants entries from the front of each queue until one has to wait, and
  // drops expired entries. Returns the grants by daemon.
  auto Serve(const TryGrant& try_grant, Timestamp now)
      -> std::map<InstanceId, std::vector<TokenGrant>>;
  auto Entries() const -> const std::map<RateLimitKey, std::deque<Entry>>& {
    return queues_;
  }

 private:
  std::map<RateLimitKey, std::deque<Entry>> queues_;
};

}  // namespace dotterellug::fleet
