#include "ownership/lease/placement_lease.h"

namespace dotterellug {

auto LeaseHolder::BeginRenewal(Timestamp now) -> void {
  if (!pending_since_) pending_since_ = now;
}

auto LeaseHolder::ConfirmRenewal() -> void {
  if (!pending_since_) return;
  renewed_at_ = pending_since_;
  pending_since_.reset();
}

auto LeaseHolder::Release() -> void {
  pending_since_.reset();
  renewed_at_.reset();
}

auto LeaseHolder::MayAct(Timestamp now) const -> bool {
  if (!renewed_at_) return false;
  return now <
         *renewed_at_ + length_ * (100 - kClockRateAllowancePercent) / 100;
}

auto LeaseObserver::Observe(ObjectVersion version, Timestamp now) -> void {
  if (changed_at_ && version <= version_) return;
  version_ = version;
  changed_at_ = now;
}

auto LeaseObserver::MayTakeOver(Timestamp now) const -> bool {
  if (!changed_at_) return false;
  return now >=
         *changed_at_ + length_ * (100 + kClockRateAllowancePercent) / 100;
}

}  // namespace dotterellug
