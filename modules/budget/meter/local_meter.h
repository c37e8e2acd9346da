#pragma once

#include <optional>
#include <variant>

#include "budget/limit/budget_limit.h"
#include "budget/meter/concurrency_limiter.h"
#include "budget/meter/token_bucket.h"
#include "core/time/time.h"

namespace dotterellug {

// Admission against a share of one fleet-wide limit: a token bucket for a rate,
// a concurrency limit for a number in flight. Not thread-safe.
class LocalMeter {
 public:
  LocalMeter(const BudgetLimit& limit, Timestamp now);

  // Takes `amount` tokens or permits if available. Does not allocate.
  auto TryCharge(Tokens amount, Timestamp now) -> std::optional<Charge>;
  // Ends a charge. `used` is ignored by a concurrency limit.
  auto Settle(const Charge& charge, Tokens used, Timestamp now) -> void;
  // Sets the share; see TokenBucket::ChangeShare. The result is empty while a
  // decrease waits for permits in use.
  auto ChangeShare(PartsPerMillion share, MicroTokens added_tokens,
                   Timestamp now) -> std::optional<MicroTokens>;
  auto CancelDecrease() -> void;
  // Applies a changed limit. A limit of the other kind starts with the same
  // share and without tokens.
  auto ChangeLimit(const BudgetLimit& limit, Timestamp now) -> void;
  // Tokens for a transfer; 0 from a concurrency limit.
  auto Give(Tokens amount, Timestamp now) -> Tokens;
  auto DecayDuring(Duration duration) const -> Tokens;
  auto AddTransferred(Tokens amount, Timestamp requested_at, Timestamp now)
      -> void;

  auto Share() const -> PartsPerMillion;
  // Smallest step in which a share is worth moving: one permit for a
  // concurrency limit, a ten-thousandth of the whole for a rate.
  auto ShareStep() const -> PartsPerMillion;
  // Tokens or permits that could be taken now.
  auto Available(Timestamp now) -> Tokens;

 private:
  std::variant<TokenBucket, ConcurrencyLimiter> meter_;
};

}  // namespace dotterellug
