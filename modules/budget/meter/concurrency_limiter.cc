#include "budget/meter/concurrency_limiter.h"

namespace dotterellug {

auto ConcurrencyLimiter::TryAcquire(std::int64_t permits)
    -> std::optional<Charge> {
  if (in_use_ + permits > PermitsOf(admission_share_)) return std::nullopt;
  in_use_ += permits;
  return Charge{ChargeKind::kPermits, permits, 0};
}

auto ConcurrencyLimiter::Release(const Charge& charge) -> void {
  if (charge.kind != ChargeKind::kPermits) return;
  in_use_ -= charge.amount;
}

auto ConcurrencyLimiter::ChangeShare(PartsPerMillion share) -> bool {
  admission_share_ = share;
  if (share < share_ && in_use_ > PermitsOf(share)) return false;
  share_ = share;
  return true;
}

auto ConcurrencyLimiter::SharePerPermit() const -> PartsPerMillion {
  if (limit_.permits <= 0) return kWhole;
  return PartsPerMillion((kWhole.Value() + limit_.permits - 1) /
                         limit_.permits);
}

}  // namespace dotterellug
