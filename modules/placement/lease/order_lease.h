#pragma once

#include <cstdint>
#include <optional>

#include "core/core.h"

namespace dotterellug {

// The order lease as stored. Its holder is the only daemon that may send load
// and unload orders to engines.
struct OrderLeaseRecord {
  InstanceId holder;
  // Fencing number: grows with each acquisition of the lease. Engines reject
  // orders with a lower number than the highest they have seen.
  std::int64_t fence = 0;
  // The holder released the lease and sends no more orders.
  bool released = false;
  // Version of the stored object; 0 if there is none.
  std::int64_t revision = 0;
};

// Timing of the lease; the fractions are of its TTL. A holder sends orders only
// within `valid_fraction` after it started its last successful write. A
// successor waits until it has seen the record unchanged for `expiry_fraction`,
// which is longer, and after its write for `takeover_delay_fraction`, so that
// at least a whole TTL lies between the last order of one holder and the first
// of the next.
struct OrderLeaseTimes {
  Duration ttl = std::chrono::seconds(3);
  double renew_fraction = 0.33;
  double valid_fraction = 0.5;
  double expiry_fraction = 0.78;
  double takeover_delay_fraction = 0.77;
};

// One daemon's local view of the order lease: decides when to read or write the
// record and whether this daemon may send orders. All times are on a clock that
// also counts while the machine is suspended (SuspendAwareNow).
class OrderLease {
 public:
  OrderLease(InstanceId self, OrderLeaseTimes times)
      : self_(std::move(self)), times_(times) {}

  // A call to the store that the caller makes.
  enum class Step { kNothing, kRead, kWrite };
  // The next call to the store. `contend` is whether this daemon should try to
  // acquire the lease if it has no holder. At most one read or write is in
  // progress; its result is passed to the matching On function.
  auto Next(bool contend, Timestamp now) -> Step;
  // The record to write after kWrite. The write must fail with a conflict
  // unless the stored revision is the one in this record.
  auto Proposal() const -> const OrderLeaseRecord& { return proposal_; }

  // The results of the call in progress; exactly one follows each kRead or
  // kWrite.
  auto OnRead(const OrderLeaseRecord& record, Timestamp now) -> void;
  auto OnReadFailed(Timestamp now) -> void;
  auto OnWritten(std::int64_t revision, Timestamp now) -> void;
  // The write failed because the record had changed; it is read again.
  auto OnConflict(Timestamp now) -> void;
  // The write failed with an unknown outcome; the record is read again.
  auto OnWriteFailed(Timestamp now) -> void;
  // The holder announced that its last write created `revision`. If the record
  // still has this revision when it is read, it counts as unchanged since the
  // announcement. A successor that reads the record for the first time then
  // waits less than for a new record.
  auto OnAnnounced(std::int64_t revision, Timestamp now) -> void;
  // Revision of this daemon's last write while it is the holder, or 0.
  auto OwnRevision() const -> std::int64_t {
    return is_holder_ ? record_.revision : 0;
  }

  // The fencing number for an order sent now; nullopt if this daemon must not
  // send one.
  auto MayOrder(Timestamp now) const -> std::optional<std::int64_t>;
  // An engine has seen a higher fencing number: another daemon holds the lease.
  auto OnFenced() -> void;
  // Ends this daemon's hold on the lease at a planned stop. Returns the record
  // to write last, or nullopt if this daemon is not the holder.
  auto Release() -> std::optional<OrderLeaseRecord>;
  // The holder in the last known record; empty if there is none.
  auto Holder() const -> const InstanceId& { return record_.holder; }

 private:
  // The given fraction of the TTL.
  auto OfTtl(double fraction) const -> Duration {
    return FromSeconds(ToSeconds(times_.ttl) * fraction);
  }
  auto PrepareWrite(std::int64_t fence) -> void;
  auto HolderExpired(Timestamp now) const -> bool;

  InstanceId self_;
  OrderLeaseTimes times_;
  bool is_holder_ = false;
  bool call_pending_ = false;
  // Whether the record must be read before the next write.
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
