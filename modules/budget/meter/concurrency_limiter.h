#pragma once

#include <cstdint>
#include <optional>

#include "budget/limit/budget_limit.h"
#include "budget/meter/token_bucket.h"

namespace dotterellug {

// Limits the requests in flight to a share of a fleet-wide concurrency limit.
// The number of permits is limit * share rounded down, so the permits of all
// shares together never exceed the limit. Not thread-safe.
class ConcurrencyLimiter {
 public:
  explicit ConcurrencyLimiter(ConcurrencyLimit limit) : limit_(limit) {}

  // Acquires `permits` permits; empty if fewer are free.
  auto TryAcquire(std::int64_t permits) -> std::optional<Charge>;
  // Returns the permits of a charge. Ignores a charge of tokens.
  auto Release(const Charge& charge) -> void;
  // Sets the share. A decrease takes effect only when the permits in use fit
  // into the new share. Until then the result is false and nothing is admitted
  // beyond the new share; call again to complete the decrease.
  auto ChangeShare(PartsPerMillion share) -> bool;
  // Cancels a decrease that has not taken effect, because the owner that
  // requested it has been replaced.
  auto CancelDecrease() -> void { admission_share_ = share_; }
  // Replaces the limit; the share stays the same.
  auto ChangeLimit(ConcurrencyLimit limit) -> void { limit_ = limit; }

  auto Share() const -> PartsPerMillion { return share_; }
  auto InUse() const -> std::int64_t { return in_use_; }
  // The permits of the share, in use or free.
  auto Permits() const -> std::int64_t { return PermitsOf(share_); }
  // The smallest share that contains one permit.
  auto SharePerPermit() const -> PartsPerMillion;

 private:
  auto PermitsOf(PartsPerMillion share) const -> std::int64_t {
    return limit_.permits * share.Value() / kWhole.Value();
  }

  ConcurrencyLimit limit_;
  PartsPerMillion share_;
  // The share up to which new requests are admitted; smaller than share_ while
  // a decrease is pending.
  PartsPerMillion admission_share_;
  std::int64_t in_use_ = 0;
};

}  // namespace dotterellug
