#pragma once

#include <optional>

#include "core/ids/ids.h"
#include "core/time/time.h"

namespace dotterellug {

// Allowance for the difference in rate between the monotonic clocks of two
// machines, in parts per hundred of the lease. Crystal clocks differ by far
// less; the margin also covers a virtual machine's clock while it is slewed.
inline constexpr int kClockRateAllowancePercent = 5;

// The holder's side of a lease renewed in the store. The lease counts from
// before the renewal was sent, less the allowance, so the holder stops before
// any successor can start. Check MayAct directly before each command.
class LeaseHolder {
 public:
  explicit LeaseHolder(Duration length) : length_(length) {}

  // A renewal is about to be written to the store. While an earlier one is
  // unconfirmed, its start counts, because either may be the one that took
  // effect.
  auto BeginRenewal(Timestamp now) -> void;
  // A renewal certainly took effect. One with an unknown outcome must be found
  // by a read before this is called.
  auto ConfirmRenewal() -> void;
  // The lease was lost to another holder or given up.
  auto Release() -> void;
  auto MayAct(Timestamp now) const -> bool;

 private:
  Duration length_;
  std::optional<Timestamp> pending_since_;
  std::optional<Timestamp> renewed_at_;
};

// The successor's side: it waits for the whole lease plus the allowance after
// it last saw the record change.
class LeaseObserver {
 public:
  explicit LeaseObserver(Duration length) : length_(length) {}

  // The version of the record in a read or watch response. A lower version than
  // seen before is a stale read and is ignored.
  auto Observe(ObjectVersion version, Timestamp now) -> void;
  auto MayTakeOver(Timestamp now) const -> bool;

 private:
  Duration length_;
  ObjectVersion version_;
  std::optional<Timestamp> changed_at_;
};

}  // namespace dotterellug
