#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/core.h"
#include "fleet/messages/fleet_messages.h"

namespace dotterellug::fleet {

// Sizes of the local reserve of granted tokens.
struct GrantedTokensOptions {
  // The reserve covers the expected spending over this duration.
  Duration reserve_window = std::chrono::milliseconds(300);
  // A limit's tokens that have not been used for this long are dropped, so
  // that they do not add to a later burst.
  Duration idle_ttl = std::chrono::milliseconds(1500);
};

// The tokens of rate limits that this daemon has been granted. The limits are
// those of client accounts, and the rates that upstreams state.
// The hub deducts tokens from its buckets when it grants them, so spending them
// locally needs no message and stays within the limit even if the hub fails.
// Not thread-safe.
class GrantedTokens {
 public:
  // Starts without tokens for any limit.
  explicit GrantedTokens(GrantedTokensOptions options = {})
      : options_(options) {}

  // Spends `tokens` and returns true, or returns false and spends nothing if
  // the balance is lower.
  auto TrySpend(const RateLimitKey& key, std::int64_t tokens, Timestamp now)
      -> bool;
  // Spends `tokens` for a retry regardless of the balance. A negative balance
  // is covered by the next grants.
  auto SpendBeyondBalance(const RateLimitKey& key, std::int64_t tokens) -> void;
  // Returns the tokens of a request that did not reach an upstream.
  auto Refund(const RateLimitKey& key, std::int64_t tokens) -> void;
  // Adds `tokens` of a request that waits for at most `patience` to the demand
  // of the limit. The request added first is served first, unless
  // another one is smaller by TokenQueue::kOvertakingFactor. The demand is
  // cleared by the next TakeTokenRequests.
  auto AddWaitingDemand(const RateLimitKey& key, std::int64_t tokens,
                        Duration patience) -> void;
  // Returns the tokens to request from the hub now and clears the demand of
  // waiting requests. A reserve is requested only if it covers a whole request;
  // a smaller one would only keep the tokens from other daemons. The target
  // balance of a limit covers the reserve and the demand of its waiting
  // requests. A limit below its target is included if requests are waiting
  // for tokens or if it lacks more than a third of the target.
  auto TakeTokenRequests(Timestamp now) -> std::vector<TokenRequest>;
  // Adds granted tokens to the balance and records whether the hub has reported
  // the limit as exhausted.
  auto OnGrant(const TokenGrant& grant, Timestamp now) -> void;
  // Returns the remaining time for which the limit is considered exhausted
  // for a request of `tokens`, or nothing if it is not. A refusal by the hub
  // marks it as exhausted until the time at which the hub expects tokens,
  // capped at 250 ms, except for requests that would overtake the refused one.
  auto ExhaustedFor(const RateLimitKey& key, std::int64_t tokens,
                    Timestamp now) const -> std::optional<Duration>;
  // Whether a hub has granted, queued or refused tokens of the limit since
  // `time`. If not, it is unknown whether the limit has tokens left.
  auto AnsweredSince(const RateLimitKey& key, Timestamp time) const -> bool;
  // Drops tokens beyond `tokens`, because the limit has become lower.
  auto CapBalance(const RateLimitKey& key, std::int64_t tokens) -> void;
  // Drops all that is known of a limit that no longer exists.
  auto Forget(const RateLimitKey& key) -> void { allowances_.erase(key); }
  // Tokens available to the limit; negative after retries that exceeded the
  // balance.
  auto Balance(const RateLimitKey& key) const -> std::int64_t;

 private:
  struct Allowance {
    std::int64_t balance = 0;
    // Demand of waiting requests since the last TakeTokenRequests: in total, of
    // the first one, and the longest patience.
    std::int64_t waiting_tokens = 0;
    std::int64_t first_waiting_tokens = 0;
    Duration patience{0};
    // Moving average of the tokens spent at once.
    double mean_spent = 0;
    // Exponentially decayed spending rate as of rate_updated_at.
    double spent_per_second = 0;
    Timestamp rate_updated_at{};
    Timestamp last_used_at{};
    // Minimum of the last token request, and of the last one that was refused.
    std::int64_t requested_minimum = 0;
    std::int64_t refused_minimum = 0;
    Timestamp exhausted_until{};
    Timestamp answered_at{};
  };

  auto DecaySpendRate(Allowance& allowance, Timestamp now) const -> void;

  GrantedTokensOptions options_;
  std::map<RateLimitKey, Allowance> allowances_;
};

}  // namespace dotterellug::fleet
