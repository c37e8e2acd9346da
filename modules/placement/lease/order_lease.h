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
  Duration time_to_live = std::chrono::seconds(3);
  double renew = 0.33;
  double valid = 0.5;
  double unchanged = 0.78;
  double quiet = 0.77;
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
    return holding_ ? seen_.revision : 0;
  }

  // The fencing number for an order sent now, if this daemon may send one.
  auto MayOrder(Timestamp now) const -> std::optional<std::int64_t>;
  // An engine has seen a higher fencing number: this daemon is no holder.
  auto OnFenced() -> void;
  // The holder ends in order: the record for the last write. Nothing if this
  // daemon is not the holder.
  auto Release() -> std::optional<OrderLeaseRecord>;
  auto Holder() const -> const InstanceId& { return seen_.holder; }

 private:
  auto Times(double part) const -> Duration {
    return FromSeconds(ToSeconds(times_.time_to_live) * part);
  }
  auto Propose(std::int64_t fence) -> void;
  auto Stale(Timestamp now) const -> bool;

  InstanceId self_;
  OrderLeaseTimes times_;
  bool holding_ = false;
  bool pending_ = false;
  bool read_first_ = true;
  // The last record that was read or written, and since when it is unchanged.
  OrderLeaseRecord seen_;
  Timestamp seen_since_{};
  Timestamp read_at_{};
  std::int64_t announced_revision_ = 0;
  Timestamp announced_at_{};
  OrderLeaseRecord proposal_;
  Timestamp write_began_{};
  Timestamp renewed_at_{};
  Timestamp may_order_from_{};
  bool known_ = false;
};

}  // namespace dotterellug
