#pragma once

#include <cstdint>
#include <optional>

#include "core/core.h"

namespace dotterellug {

// What the store holds about the right to give orders.
struct OrderLeaseRecord {
  InstanceId holder;
  std::int64_t fence = 0;
  // The holder ended in order and gives no more.
  bool released = false;
  // Version of the object; 0 if there is none.
  std::int64_t revision = 0;
};

// Times of the lease as parts of its time to live. A holder acts only within
// `valid` after it began its last successful write. A successor waits until it
// has seen the record unchanged for `unchanged`, which is longer, and after its
// write for `quiet`, so that at least the whole time to live lies between the
// last order of one holder and the first of the next.
struct OrderLeaseTimes {
  Duration ttl = std::chrono::seconds(3);
  double renew_fraction = 0.33;
  double valid_fraction = 0.5;
  double expiry_fraction = 0.78;
  double takeover_delay_fraction = 0.77;
};

// One daemon's view of the lease: when to read or write the record, and whether
// this daemon may give orders. Times are on a clock that also counts while the
// process is suspended.
class OrderLease {
 public:
  OrderLease(InstanceId self, OrderLeaseTimes times)
      : self_(std::move(self)), times_(times) {}

  enum class Step { kNothing, kRead, kWrite };
  // What to do now. `contend` says whether this daemon should try to become the
  // holder if there is none. At most one read or write is under way; each is
  // followed by one of the On functions.
  auto Next(bool contend, Timestamp now) -> Step;
  // The record to write, after kWrite; its revision is the write's condition.
  auto Proposal() const -> const OrderLeaseRecord& { return proposal_; }

  auto OnRead(const OrderLeaseRecord& record, Timestamp now) -> void;
  auto OnReadFailed(Timestamp now) -> void;
  auto OnWritten(std::int64_t revision, Timestamp now) -> void;
  // Another write came first; the record is read again.
  auto OnConflict(Timestamp now) -> void;
  // The write may have been done or not; the record is read again.
  auto OnWriteFailed(Timestamp now) -> void;
  // The holder told that its last write made `revision`. A record that still
  // has it when it is read counts as unchanged since then, so that a successor
  // that has not read the record before need not wait as long as if it was new.
  auto OnAnnounced(std::int64_t revision, Timestamp now) -> void;
  // Revision of this daemon's last write while it is the holder, or 0.
  auto OwnRevision() const -> std::int64_t {
    return is_holder_ ? record_.revision : 0;
  }

  // The fencing number for an order sent now, if this daemon may send one.
  auto MayOrder(Timestamp now) const -> std::optional<std::int64_t>;
  // An engine has seen a higher fencing number: this daemon is no holder.
  auto OnFenced() -> void;
  // The holder ends in order: the record for the last write. Nothing if this
  // daemon is not the holder.
  auto Release() -> std::optional<OrderLeaseRecord>;
  auto Holder() const -> const InstanceId& { return record_.holder; }

 private:
  auto OfTtl(double fraction) const -> Duration {
    return FromSeconds(ToSeconds(times_.ttl) * fraction);
  }
  auto PrepareWrite(std::int64_t fence) -> void;
  auto HolderExpired(Timestamp now) const -> bool;

  InstanceId self_;
  OrderLeaseTimes times_;
  bool is_holder_ = false;
  bool call_pending_ = false;
  bool must_reread_ = true;
  // The last record that was read or written, and since when it is unchanged.
  OrderLeaseRecord record_;
  Timestamp unchanged_since_{};
  Timestamp read_at_{};
  std::int64_t announced_revision_ = 0;
  Timestamp announced_at_{};
  OrderLeaseRecord proposal_;
  Timestamp write_started_at_{};
  Timestamp renewed_at_{};
  Timestamp orders_allowed_from_{};
  bool record_known_ = false;
};

}  // namespace dotterellug
