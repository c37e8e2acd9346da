#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/core.h"
#include "fleet/messages/fleet_messages.h"

namespace dotterellug::fleet {

struct GrantedTokensOptions {
  // Tokens are held ready for what is used in this time.
  Duration reserve_window = std::chrono::milliseconds(300);
  // Tokens held ready and not used for this long are given up, so that they do
  // not add to a later burst.
  Duration idle_ttl = std::chrono::milliseconds(1500);
};

// The tokens of the accounts' limits that this daemon holds. They were deducted
// at a hub before they came here, so spending them needs no message and stays
// within the limit whatever happens to the hub.
class AllowanceHolder {
 public:
  explicit AllowanceHolder(GrantedTokensOptions options = {})
      : options_(options) {}

  // Spends tokens; false when there are too few.
  auto TrySpend(const ClientAccountId& account, std::int64_t tokens,
                Timestamp now) -> bool;
  // Spends tokens for a repeated attempt; what is missing is owed and covered
  // by the next grants.
  auto SpendAnyway(const ClientAccountId& account, std::int64_t tokens) -> void;
  // Gives tokens back whose request did not reach an upstream.
  auto Refund(const ClientAccountId& account, std::int64_t tokens) -> void;
  // Notes tokens that a waiting request needs; holds until the next TakeWants.
  auto Need(const ClientAccountId& account, std::int64_t tokens) -> void;
  // What to ask the hub for now.
  auto TakeWants(Timestamp now) -> std::vector<TokenRequest>;
  auto OnGrant(const TokenGrant& grant, Timestamp now) -> void;
  // While a hub has said that the account's tokens are used up: the time until
  // `tokens` are expected.
  auto ExhaustedFor(const ClientAccountId& account, Timestamp now) const
      -> std::optional<Duration>;
  auto Held(const ClientAccountId& account) const -> std::int64_t;

 private:
  struct Account {
    std::int64_t balance = 0;
    std::int64_t waiting_tokens = 0;
    double spent_per_second = 0;
    Timestamp rate_updated_at{};
    Timestamp last_used_at{};
    Timestamp exhausted_until{};
  };

  auto DecaySpendRate(Account& account, Timestamp now) const -> void;

  GrantedTokensOptions options_;
  std::map<ClientAccountId, Account> accounts_;
};

}  // namespace dotterellug::fleet
