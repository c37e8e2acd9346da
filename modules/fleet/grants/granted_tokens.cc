#include "fleet/grants/granted_tokens.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dotterellug::fleet {
namespace {

// Time constant of the exponentially decayed spending rate, in seconds.
constexpr double kSpendRateTimeConstantSeconds = 1.0;
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
  account.spent_per_second +=
      static_cast<double>(tokens) / kSpendRateTimeConstantSeconds;
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
                                     std::int64_t tokens) -> void {
  accounts_[id].waiting_tokens += tokens;
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
    const auto reserve = static_cast<std::int64_t>(
        account.spent_per_second * ToSeconds(options_.reserve_window));
    const auto target = reserve + account.waiting_tokens;
    const auto shortfall = target - account.balance;
    const bool waiting = std::exchange(account.waiting_tokens, 0) > 0;
    if (shortfall > 0 && (waiting || shortfall > target / 3)) {
      token_requests.push_back({id, shortfall});
    }
  }
  return token_requests;
}

auto GrantedTokens::OnGrant(const TokenGrant& grant, Timestamp now) -> void {
  auto& account = accounts_[grant.account];
  account.balance += grant.tokens;
  // Granted tokens are kept for at least half of idle_ttl.
  account.last_used_at =
      std::max(account.last_used_at, now - options_.idle_ttl / 2);
  account.exhausted_until =
      grant.tokens > 0 || grant.time_until_available <= Duration::zero()
          ? Timestamp{}
          : now + std::min<Duration>(grant.time_until_available,
                                     kMaxExhaustedWindow);
}

auto GrantedTokens::ExhaustedFor(const ClientAccountId& id, Timestamp now) const
    -> std::optional<Duration> {
  const auto found = accounts_.find(id);
  if (found == accounts_.end()) return std::nullopt;
  const auto& account = found->second;
  if (now >= account.exhausted_until) return std::nullopt;
  return account.exhausted_until - now;
}

auto GrantedTokens::Balance(const ClientAccountId& id) const -> std::int64_t {
  const auto found = accounts_.find(id);
  return found == accounts_.end() ? 0 : found->second.balance;
}

}  // namespace dotterellug::fleet
