#pragma once

#include <cstdint>
#include <optional>

#include "budget/limit/budget_limit.h"
#include "budget/meter/token_bucket.h"

namespace dotterellug {

// A share of a limit on things in flight. The permits are the whole number
// below limit * share, so the permits of all shares never exceed the limit.
class ConcurrencyLimiter {
 public:
  explicit ConcurrencyLimiter(ConcurrencyLimit limit) : limit_(limit) {}

  auto TryAcquire(std::int64_t permits) -> std::optional<Charge>;
  auto Release(const Charge& charge) -> void;
  // Sets the share. A decrease takes effect only when the permits in use fit
  // the new share; until then nothing new is admitted beyond it, and the result
  // is false. Repeat the call to complete it.
  auto ChangeShare(PartsPerMillion share) -> bool;
  // Forgets a decrease that has not taken effect, because the owner that asked
  // for it has been replaced.
  auto CancelDecrease() -> void { admission_share_ = share_; }
  auto ChangeLimit(ConcurrencyLimit limit) -> void { limit_ = limit; }

  auto Share() const -> PartsPerMillion { return share_; }
  auto InUse() const -> std::int64_t { return in_use_; }
  auto Permits() const -> std::int64_t { return PermitsOf(share_); }
  // Smallest share that gives one permit.
  auto SharePerPermit() const -> PartsPerMillion;

 private:
  auto PermitsOf(PartsPerMillion share) const -> std::int64_t {
    return limit_.permits * share.Value() / kWhole.Value();
  }

  ConcurrencyLimit limit_;
  PartsPerMillion share_;
  // The share up to which new work is admitted; below share_ while a decrease
  // waits for permits in use.
  PartsPerMillion admission_share_;
  std::int64_t in_use_ = 0;
};

}  // namespace dotterellug
