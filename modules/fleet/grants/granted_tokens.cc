#include "fleet/grants/granted_tokens.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "fleet/grants/token_queue.h"

namespace dotterellug::fleet {
namespace {

// Time constant of the exponentially decayed spending rate, in seconds.
constexpr double kSpendRateTimeConstantSeconds = 1.0;
// Weight of the last amount in the moving average of amounts spent.
constexpr double kMeanSpentWeight = 0.2;
// Upper bound of the time for which an exhausted limit is refused without
// another request to the hub. Tokens can become available sooner than the hub
// estimated when other daemons terminate.
constexpr auto kMaxExhaustedWindow = std::chrono::milliseconds(250);

}  // namespace

auto GrantedTokens::DecaySpendRate(Allowance& allowance, Timestamp now) const
    -> void {
  const auto seconds = ToSeconds(now - allowance.rate_updated_at);
  allowance.rate_updated_at = now;
  allowance.spent_per_second *=
      std::exp(-seconds / kSpendRateTimeConstantSeconds);
}

auto GrantedTokens::TrySpend(const RateLimitKey& key, std::int64_t tokens,
                             Timestamp now) -> bool {
  auto& allowance = allowances_[key];
  if (allowance.balance < tokens) return false;
  allowance.balance -= tokens;
  allowance.last_used_at = now;
  DecaySpendRate(allowance, now);
  const auto amount = static_cast<double>(tokens);
  allowance.spent_per_second += amount / kSpendRateTimeConstantSeconds;
  allowance.mean_spent +=
      allowance.mean_spent == 0
          ? amount
          : kMeanSpentWeight * (amount - allowance.mean_spent);
  return true;
}

auto GrantedTokens::SpendBeyondBalance(const RateLimitKey& key,
                                       std::int64_t tokens) -> void {
  allowances_[key].balance -= tokens;
}

auto GrantedTokens::Refund(const RateLimitKey& key, std::int64_t tokens)
    -> void {
  allowances_[key].balance += tokens;
}

auto GrantedTokens::AddWaitingDemand(const RateLimitKey& key,
                                     std::int64_t tokens, Duration patience)
    -> void {
  auto& allowance = allowances_[key];
  // The hub lets a much smaller request overtake as well.
  if (allowance.waiting_tokens == 0 || tokens * TokenQueue::kOvertakingFactor <=
                                           allowance.first_waiting_tokens) {
    allowance.first_waiting_tokens = tokens;
  }
  allowance.waiting_tokens += tokens;
  allowance.patience = std::max(allowance.patience, patience);
}

auto GrantedTokens::TakeTokenRequests(Timestamp now)
    -> std::vector<TokenRequest> {
  std::vector<TokenRequest> token_requests;
  for (auto& [key, allowance] : allowances_) {
    DecaySpendRate(allowance, now);
    if (allowance.waiting_tokens == 0 &&
        now - allowance.last_used_at > options_.idle_ttl) {
      allowance.balance = std::min<std::int64_t>(allowance.balance, 0);
      continue;
    }
    auto reserve =
        allowance.spent_per_second * ToSeconds(options_.reserve_window);
    if (reserve < allowance.mean_spent) reserve = 0;
    const auto target =
        static_cast<std::int64_t>(reserve) + allowance.waiting_tokens;
    const auto shortfall = target - allowance.balance;
    const bool waiting = std::exchange(allowance.waiting_tokens, 0) > 0;
    const auto patience = std::exchange(allowance.patience, Duration::zero());
    if (shortfall <= 0 || (!waiting && shortfall <= target / 3)) continue;
    TokenRequest request{key, shortfall, 0, patience};
    if (waiting) {
      request.minimum = std::clamp<std::int64_t>(
          allowance.first_waiting_tokens - allowance.balance, 1, shortfall);
    }
    allowance.requested_minimum = request.minimum;
    token_requests.push_back(request);
  }
  return token_requests;
}

auto GrantedTokens::OnGrant(const TokenGrant& grant, Timestamp now) -> void {
  auto& allowance = allowances_[grant.key];
  allowance.balance += grant.tokens;
  allowance.answered_at = now;
  allowance.refused_minimum = allowance.requested_minimum;
  // Granted tokens are kept for at least half of idle_ttl.
  allowance.last_used_at =
      std::max(allowance.last_used_at, now - options_.idle_ttl / 2);
  allowance.exhausted_until =
      grant.tokens > 0 || grant.queued ||
              grant.time_until_available <= Duration::zero()
          ? Timestamp{}
          : now + std::min<Duration>(grant.time_until_available,
                                     kMaxExhaustedWindow);
}

auto GrantedTokens::ExhaustedFor(const RateLimitKey& key, std::int64_t tokens,
                                 Timestamp now) const
    -> std::optional<Duration> {
  const auto found = allowances_.find(key);
  if (found == allowances_.end()) return std::nullopt;
  const auto& allowance = found->second;
  if (now >= allowance.exhausted_until) return std::nullopt;
  if (tokens * TokenQueue::kOvertakingFactor <= allowance.refused_minimum) {
    return std::nullopt;
  }
  return allowance.exhausted_until - now;
}

auto GrantedTokens::AnsweredSince(const RateLimitKey& key, Timestamp time) const
    -> bool {
  const auto found = allowances_.find(key);
  return found != allowances_.end() && found->second.answered_at >= time;
}

auto GrantedTokens::CapBalance(const RateLimitKey& key, std::int64_t tokens)
    -> void {
  const auto found = allowances_.find(key);
  if (found == allowances_.end()) return;
  found->second.balance = std::min(found->second.balance, tokens);
}

auto GrantedTokens::Balance(const RateLimitKey& key) const -> std::int64_t {
  const auto found = allowances_.find(key);
  return found == allowances_.end() ? 0 : found->second.balance;
}

}  // namespace dotterellug::fleet
