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
// Upper bound of the time for which an exhausted account is refused without
// another request to the hub. Tokens can become available sooner than the hub
// estimated when other daemons terminate.
constexpr auto kMaxExhaustedWindow = std::chrono::milliseconds(250);

}  // namespace

auto GrantedTokens::DecaySpendRate(Account& account, Timestamp now) const
    -> void {
  const auto seconds = ToSeconds(now - account.rate_updated_at);
  account.rate_updated_at = now;
  account.spent_per_second *=
      std::exp(-seconds / kSpendRateTimeConstantSeconds);
}

auto GrantedTokens::TrySpend(const ClientAccountId& id, std::int64_t tokens,
                             Timestamp now) -> bool {
  auto& account = accounts_[id];
  if (account.balance < tokens) return false;
  account.balance -= tokens;
  account.last_used_at = now;
  DecaySpendRate(account, now);
  const auto amount = static_cast<double>(tokens);
  account.spent_per_second += amount / kSpendRateTimeConstantSeconds;
  account.mean_spent += account.mean_spent == 0
                            ? amount
                            : kMeanSpentWeight * (amount - account.mean_spent);
  return true;
}

auto GrantedTokens::SpendBeyondBalance(const ClientAccountId& id,
                                       std::int64_t tokens) -> void {
  accounts_[id].balance -= tokens;
}

auto GrantedTokens::Refund(const ClientAccountId& id, std::int64_t tokens)
    -> void {
  accounts_[id].balance += tokens;
}

auto GrantedTokens::AddWaitingDemand(const ClientAccountId& id,
                                     std::int64_t tokens, Duration patience)
    -> void {
  auto& account = accounts_[id];
  // The hub lets a much smaller request overtake as well.
  if (account.waiting_tokens == 0 ||
      tokens * TokenQueue::kOvertakingFactor <= account.first_waiting_tokens) {
    account.first_waiting_tokens = tokens;
  }
  account.waiting_tokens += tokens;
  account.patience = std::max(account.patience, patience);
}

auto GrantedTokens::TakeTokenRequests(Timestamp now)
    -> std::vector<TokenRequest> {
  std::vector<TokenRequest> token_requests;
  for (auto& [id, account] : accounts_) {
    DecaySpendRate(account, now);
    if (account.waiting_tokens == 0 &&
        now - account.last_used_at > options_.idle_ttl) {
      account.balance = std::min<std::int64_t>(account.balance, 0);
      continue;
    }
    auto reserve =
        account.spent_per_second * ToSeconds(options_.reserve_window);
    if (reserve < account.mean_spent) reserve = 0;
    const auto target =
        static_cast<std::int64_t>(reserve) + account.waiting_tokens;
    const auto shortfall = target - account.balance;
    const bool waiting = std::exchange(account.waiting_tokens, 0) > 0;
    const auto patience = std::exchange(account.patience, Duration::zero());
    if (shortfall <= 0 || (!waiting && shortfall <= target / 3)) continue;
    TokenRequest request{id, shortfall, 0, patience};
    if (waiting) {
      request.minimum = std::clamp<std::int64_t>(
          account.first_waiting_tokens - account.balance, 1, shortfall);
    }
    account.requested_minimum = request.minimum;
    token_requests.push_back(request);
  }
  return token_requests;
}

auto GrantedTokens::OnGrant(const TokenGrant& grant, Timestamp now) -> void {
  auto& account = accounts_[grant.account];
  account.balance += grant.tokens;
  account.answered_at = now;
  account.refused_minimum = account.requested_minimum;
  // Granted tokens are kept for at least half of idle_ttl.
  account.last_used_at =
      std::max(account.last_used_at, now - options_.idle_ttl / 2);
  account.exhausted_until =
      grant.tokens > 0 || grant.queued ||
              grant.time_until_available <= Duration::zero()
          ? Timestamp{}
          : now + std::min<Duration>(grant.time_until_available,
                                     kMaxExhaustedWindow);
}

auto GrantedTokens::ExhaustedFor(const ClientAccountId& id, std::int64_t tokens,
                                 Timestamp now) const
    -> std::optional<Duration> {
  const auto found = accounts_.find(id);
  if (found == accounts_.end()) return std::nullopt;
  const auto& account = found->second;
  if (now >= account.exhausted_until) return std::nullopt;
  if (tokens * TokenQueue::kOvertakingFactor <= account.refused_minimum) {
    return std::nullopt;
  }
  return account.exhausted_until - now;
}

auto GrantedTokens::AnsweredSince(const ClientAccountId& id,
                                  Timestamp time) const -> bool {
  const auto found = accounts_.find(id);
  return found != accounts_.end() && found->second.answered_at >= time;
}

auto GrantedTokens::Balance(const ClientAccountId& id) const -> std::int64_t {
  const auto found = accounts_.find(id);
  return found == accounts_.end() ? 0 : found->second.balance;
}

}  // namespace dotterellug::fleet
