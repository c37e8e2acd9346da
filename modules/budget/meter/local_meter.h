#pragma once

#include <optional>
#include <variant>

#include "budget/limit/budget_limit.h"
#include "budget/meter/concurrency_limiter.h"
#include "budget/meter/token_bucket.h"
#include "core/time/time.h"

namespace dotterellug {

// Admits requests against a share of one fleet-wide limit: by a token bucket
// for a rate limit, and by a concurrency limiter for a concurrency limit, whose
// amounts are permits. Not thread-safe.
class LocalMeter {
 public:
  // Starts with a share of zero and without tokens.
  LocalMeter(const BudgetLimit& limit, Timestamp now);

  // Takes `amount` tokens or permits; empty if fewer are available. Does not
  // allocate memory.
  auto TryCharge(Tokens amount, Timestamp now) -> std::optional<Charge>;
  // Completes a charge: corrects it to the `used` tokens, or returns its
  // permits (`used` is then ignored).
  auto CompleteCharge(const Charge& charge, Tokens used, Timestamp now) -> void;
  // Sets the share; see TokenBucket::ChangeShare. Returns the tokens released
  // (0 for a concurrency limit); empty while a decrease of a concurrency limit
  // waits for permits in use.
  auto ChangeShare(PartsPerMillion share, MicroTokens added_tokens,
                   Timestamp now) -> std::optional<MicroTokens>;
  // See ConcurrencyLimiter::CancelDecrease. No effect on a rate limit, whose
  // decreases take effect at once.
  auto CancelDecrease() -> void;
  // Replaces the limit. If the kind of limit changes, the share is kept and the
  // new meter starts without tokens.
  auto ChangeLimit(const BudgetLimit& limit, Timestamp now) -> void;
  // Takes exactly `amount` tokens for a transfer; returns `amount`, or 0 if
  // there are fewer. Always 0 for a concurrency limit, which has no transfers.
  auto TakeExactly(Tokens amount, Timestamp now) -> Tokens;
  // See TokenBucket::DecayDuring; 0 for a concurrency limit.
  auto DecayDuring(Duration duration) const -> Tokens;
  // See TokenBucket::AddTransferred; no effect on a concurrency limit.
  auto AddTransferred(Tokens amount, Timestamp requested_at, Timestamp now)
      -> void;

  auto Share() const -> PartsPerMillion;
  // The granularity with which the owner changes shares: one permit for a
  // concurrency limit, 0.01% of the limit for a rate.
  auto ShareStep() const -> PartsPerMillion;
  // Tokens or permits that can be taken now.
  auto Available(Timestamp now) -> Tokens;

 private:
  std::variant<TokenBucket, ConcurrencyLimiter> meter_;
};

}  // namespace dotterellug
