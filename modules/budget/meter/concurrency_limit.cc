#include "budget/meter/concurrency_limit.h"

namespace dotterellug {

auto ConcurrencyLimit::TryAcquire(std::int64_t permits)
    -> std::optional<Charge> {
  if (in_use_ + permits > PermitsOf(admitting_share_)) return std::nullopt;
  in_use_ += permits;
  return Charge{ChargeKind::kPermits, permits, 0};
}

auto ConcurrencyLimit::Release(const Charge& charge) -> void {
  if (charge.kind != ChargeKind::kPermits) return;
  in_use_ -= charge.amount;
}

auto ConcurrencyLimit::ChangeShare(PartsPerMillion share) -> bool {
  admitting_share_ = share;
  if (share < share_ && in_use_ > PermitsOf(share)) return false;
  share_ = share;
  return true;
}

auto ConcurrencyLimit::SharePerPermit() const -> PartsPerMillion {
  if (cap_.permits <= 0) return kWhole;
  return PartsPerMillion((kWhole.Value() + cap_.permits - 1) / cap_.permits);
}

}  // namespace dotterellug
