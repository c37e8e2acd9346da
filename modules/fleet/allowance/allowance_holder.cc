#include "fleet/allowance/allowance_holder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dotterellug::fleet {
namespace {

// Time constant of the measured spending.
constexpr double kRateSeconds = 1.0;
// An account is asked for again at the latest after this time, since other
// daemons may have ended.
constexpr auto kLongestExhaustion = std::chrono::milliseconds(250);

}  // namespace

auto AllowanceHolder::DecayRate(Account& account, Timestamp now) const -> void {
  const auto seconds = ToSeconds(now - account.rate_at);
  account.rate_at = now;
  account.spent_per_second *= std::exp(-seconds / kRateSeconds);
}

auto AllowanceHolder::TrySpend(const ClientAccountId& id, std::int64_t tokens,
                               Timestamp now) -> bool {
  auto& account = accounts_[id];
  if (account.held < tokens) return false;
  account.held -= tokens;
  account.used_at = now;
  DecayRate(account, now);
  account.spent_per_second += static_cast<double>(tokens) / kRateSeconds;
  return true;
}

auto AllowanceHolder::SpendAnyway(const ClientAccountId& id,
                                  std::int64_t tokens) -> void {
  accounts_[id].held -= tokens;
}

auto AllowanceHolder::Refund(const ClientAccountId& id, std::int64_t tokens)
    -> void {
  accounts_[id].held += tokens;
}

auto AllowanceHolder::Need(const ClientAccountId& id, std::int64_t tokens)
    -> void {
  accounts_[id].needed += tokens;
}

auto AllowanceHolder::TakeWants(Timestamp now) -> std::vector<AllowanceWant> {
  std::vector<AllowanceWant> wants;
  for (auto& [id, account] : accounts_) {
    DecayRate(account, now);
    if (account.needed == 0 && now - account.used_at > options_.keep) {
      account.held = std::min<std::int64_t>(account.held, 0);
      continue;
    }
    const auto ready = static_cast<std::int64_t>(account.spent_per_second *
                                                 ToSeconds(options_.ready));
    const auto target = ready + account.needed;
    const auto lacking = target - account.held;
    const bool waiting = std::exchange(account.needed, 0) > 0;
    if (lacking > 0 && (waiting || lacking > target / 3)) {
      wants.push_back({id, lacking});
    }
  }
  return wants;
}

auto AllowanceHolder::OnGrant(const AllowanceGrant& grant, Timestamp now)
    -> void {
  auto& account = accounts_[grant.account];
  account.held += grant.tokens;
  account.used_at = std::max(account.used_at, now - options_.keep / 2);
  account.exhausted_until =
      grant.tokens > 0 || grant.wait <= Duration::zero()
          ? Timestamp{}
          : now + std::min<Duration>(grant.wait, kLongestExhaustion);
}

auto AllowanceHolder::ExhaustedFor(const ClientAccountId& id,
                                   Timestamp now) const
    -> std::optional<Duration> {
  const auto found = accounts_.find(id);
  if (found == accounts_.end()) return std::nullopt;
  const auto& account = found->second;
  if (now >= account.exhausted_until) return std::nullopt;
  return account.exhausted_until - now;
}

auto AllowanceHolder::Held(const ClientAccountId& id) const -> std::int64_t {
  const auto found = accounts_.find(id);
  return found == accounts_.end() ? 0 : found->second.held;
}

}  // namespace dotterellug::fleet
