#include "placement/lease/order_lease.h"

#include <algorithm>

namespace dotterellug {
namespace {

// Minimum interval between reads of the record while another daemon holds the
// lease or after a failure, and the maximum age of a read before a takeover.
constexpr double kReadIntervalFraction = 0.2;
// A holder may have sent an order just before it released the lease, which can
// still be in transit, so its successor waits for the whole TTL and a margin.
constexpr double kTakeoverDelayAfterReleaseFraction = 1.05;

}  // namespace

auto OrderLease::Next(bool contend, Timestamp now) -> Step {
  if (call_pending_) return Step::kNothing;
  if (HeldInEarlierEpoch() && (!RenewalValid(now) || ReleaseDue(now))) {
    is_holder_ = false;
  }
  if (release_at_ && !is_holder_) return Step::kNothing;
  if (is_holder_ && !must_reread_ && !HeldInEarlierEpoch()) {
    if (ReleaseDue(now)) {
      PrepareRelease(now);
      return Step::kWrite;
    }
    if (now - renewed_at_ < OfTtl(times_.renew_fraction)) return Step::kNothing;
    PrepareWrite(held_fence_);
    write_started_at_ = now;
    return Step::kWrite;
  }
  if (!contend && !is_holder_) return Step::kNothing;
  if (record_known_ && !must_reread_ && MayAcquire(now)) {
    PrepareWrite(NextFence());
    write_started_at_ = now;
    return Step::kWrite;
  }
  // This also limits retries after a failure, so that a failing store is not
  // called in a tight loop.
  if (read_at_ != Timestamp{} &&
      now - read_at_ < OfTtl(kReadIntervalFraction)) {
    return Step::kNothing;
  }
  call_pending_ = true;
  read_at_ = now;
  return Step::kRead;
}

// Whether this daemon may write itself as the holder: nobody ever held the
// lease, the record was released, it names this daemon, or it has expired.
// Orders that the former holder sent shortly before are covered by the takeover
// delay. A holder whose renewal of an earlier epoch is still valid may acquire
// the lease at once, since any other daemon waits for longer than that.
auto OrderLease::MayAcquire(Timestamp now) const -> bool {
  if (HeldInEarlierEpoch() || NeverHeld()) return true;
  if (record_.WrittenInItsEpoch() &&
      (record_.released || record_.holder == self_)) {
    return true;
  }
  // The last read must be recent; the record may have changed since an older
  // one.
  return read_at_ - unchanged_since_ >= OfTtl(times_.expiry_fraction) &&
         now - read_at_ < OfTtl(kReadIntervalFraction);
}

auto OrderLease::NeverHeld() const -> bool {
  return record_.revision == 0 && bootstrap_ && record_.epoch == first_epoch_ &&
         announced_position_ == StorePosition();
}

// The revision that an acquisition replaces is unique to it within an epoch, so
// a fencing number is never used twice, although the record that counted it may
// be lost in a restore.
auto OrderLease::NextFence() const -> std::int64_t {
  const auto next = record_.fence + 1;
  if (record_.epoch == StoreEpoch()) return next;
  return std::max(next, record_.Position().Packed());
}

auto OrderLease::PrepareWrite(std::int64_t fence) -> void {
  call_pending_ = true;
  proposal_ = {self_, fence, false, record_.revision, {}, record_.epoch};
}

// Whatever comes of the write, this daemon sends no more orders.
auto OrderLease::PrepareRelease(Timestamp now) -> void {
  call_pending_ = true;
  is_holder_ = false;
  proposal_ = record_;
  proposal_.released = true;
  // Orders that might have begun before `now` count as sent.
  if (now < orders_allowed_from_) {
    proposal_.order_delay = successor_allowed_from_ - now;
  }
}

auto OrderLease::OnRead(const OrderLeaseRecord& record, Timestamp now) -> void {
  call_pending_ = false;
  OnStoreEpoch(record.epoch);
  must_reread_ = record.epoch < latest_epoch_;
  if (must_reread_) return;
  const bool changed =
      !record_known_ || record.Position() != record_.Position();
  // After a restore the record may be that of any earlier holder. It ends this
  // holder only if it was written in the new epoch.
  const bool own = record.holder == self_ && record.fence == held_fence_;
  const bool lost =
      !own && (record.epoch == held_epoch_ ||
               (record.WrittenInItsEpoch() && record.holder != self_));
  if (is_holder_ && changed && lost) is_holder_ = false;
  if (changed) {
    const bool announced = record.Position() == announced_position_;
    unchanged_since_ = announced ? announced_at_ : now;
  }
  record_known_ = true;
  record_ = record;
}

auto OrderLease::OnStoreEpoch(StoreEpoch epoch) -> void {
  if (!first_epoch_) first_epoch_ = epoch;
  if (epoch <= latest_epoch_) return;
  latest_epoch_ = epoch;
  must_reread_ = true;
}

auto OrderLease::OnRenewalAnnounced(StorePosition position, Timestamp now)
    -> void {
  if (position <= announced_position_) return;
  announced_position_ = position;
  announced_at_ = now;
}

auto OrderLease::OnReadFailed(Timestamp) -> void { call_pending_ = false; }

auto OrderLease::OnWritten(StorePosition written, Timestamp now) -> void {
  call_pending_ = false;
  OnStoreEpoch(written.epoch);
  if (written.epoch != proposal_.epoch || written.epoch != latest_epoch_) {
    must_reread_ = true;
    return;
  }
  if (proposal_.released) {
    record_ = proposal_;
    record_.revision = written.revision;
    return;
  }
  const bool still_held = HeldInEarlierEpoch() && RenewalValid(now);
  if (!still_held && (!is_holder_ || HeldInEarlierEpoch())) {
    // The delay also applies if the record names this daemon: it may come from
    // a write of its own whose reply was lost, or from an earlier process of
    // this daemon, shortly after the last order of another holder. No delay is
    // needed only if nobody ever held the lease.
    const bool never_held = NeverHeld();
    const bool after_release = record_.released && record_.WrittenInItsEpoch();
    had_predecessor_ = !never_held;
    const auto takeover_delay = after_release
                                    ? DelayAfterRelease()
                                    : OfTtl(times_.takeover_delay_fraction);
    orders_allowed_from_ = never_held ? now : now + takeover_delay;
    // An earlier process of this daemon may have sent orders until now.
    successor_allowed_from_ =
        now + (after_release ? takeover_delay
                             : OfTtl(kTakeoverDelayAfterReleaseFraction));
  }
  is_holder_ = true;
  held_fence_ = proposal_.fence;
  held_epoch_ = proposal_.epoch;
  renewed_at_ = write_started_at_;
  record_ = proposal_;
  record_.revision = written.revision;
  unchanged_since_ = now;
  record_known_ = true;
}

auto OrderLease::DelayAfterRelease() const -> Duration {
  const auto whole = OfTtl(kTakeoverDelayAfterReleaseFraction);
  return std::min(record_.order_delay.value_or(whole), whole);
}

auto OrderLease::OnConflict(Timestamp) -> void {
  call_pending_ = false;
  must_reread_ = true;
}

auto OrderLease::OnWriteFailed(Timestamp) -> void {
  call_pending_ = false;
  must_reread_ = true;
}

auto OrderLease::FenceForOrder(Timestamp now) const
    -> std::optional<std::int64_t> {
  if (!is_holder_ || ReleaseDue(now)) return std::nullopt;
  if (now < orders_allowed_from_) return std::nullopt;
  if (!RenewalValid(now)) return std::nullopt;
  return held_fence_;
}

auto OrderLease::OnFenced() -> void {
  is_holder_ = false;
  must_reread_ = true;
}

auto OrderLease::Stop(Timestamp release_at) -> void {
  release_at_ = std::min(release_at_.value_or(release_at), release_at);
}

}  // namespace dotterellug
