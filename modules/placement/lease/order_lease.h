#pragma once

#include <cstdint>
#include <optional>

#include "core/core.h"
#include "core/ids/store_position.h"

namespace dotterellug {

// The order lease as stored. Its holder is the only daemon that may send load
// and unload orders to engines.
struct OrderLeaseRecord {
  InstanceId holder;
  // Fencing number: grows with each acquisition of the lease. Engines reject
  // orders with a lower number than the highest they have seen. In a store that
  // states its epoch it is at least the packed position of the record that the
  // acquiring write replaced.
  std::int64_t fence = 0;
  // The holder released the lease and sends no more orders.
  bool released = false;
  // Version of the stored object; 0 if there is none.
  std::int64_t revision = 0;
  // In a released record: how long after acquiring the lease its successor may
  // send no order. nullopt is the whole time, as after an order just before the
  // release; it is less if the holder sent none.
  std::optional<Duration> order_delay{};
  // Epoch of the store in which `revision` was read or written.
  StoreEpoch epoch{};

  auto Position() const -> StorePosition { return {epoch, revision}; }
  // Whether the record was written by a holder that acquired the lease in the
  // epoch in which the record was read. Any other record may come from a
  // backup, or from a write that met a reused revision, and says nothing about
  // who held the lease last.
  auto WrittenInItsEpoch() const -> bool {
    return revision > 0 && StorePosition::FromPacked(fence).epoch == epoch;
  }
};

// Timing of the lease; the fractions are of its TTL. Together they ensure that
// at least a whole TTL lies between the last order of one holder and the first
// of the next.
struct OrderLeaseTiming {
  Duration ttl = std::chrono::seconds(3);
  // The holder writes the record again after this time.
  double renew_fraction = 0.33;
  // A holder sends orders only within this time after it started its last
  // successful write.
  double valid_fraction = 0.5;
  // A successor waits until it has seen the record unchanged for this time,
  // which is longer than the validity.
  double expiry_fraction = 0.78;
  // A successor sends no order within this time after its first write.
  double takeover_delay_fraction = 0.77;
};

// One daemon's local view of the order lease: decides when to read or write the
// record and whether this daemon may send orders. All times are on a clock that
// also counts while the machine is suspended (SuspendAwareNow).
class OrderLease {
 public:
  // `bootstrap` is whether this process may be one of the first of the whole
  // system, so that a lease without a record has never been held.
  OrderLease(InstanceId self, OrderLeaseTiming times, bool bootstrap = true)
      : self_(std::move(self)), times_(times), bootstrap_(bootstrap) {}

  // What the caller should do next: nothing, or a call to the store.
  enum class Step { kNothing, kRead, kWrite };
  // The next step. `contend` is whether this daemon should try to acquire the
  // lease if it is free or expired. At most one read or write is in progress;
  // its result is passed to the matching On function.
  auto Next(bool contend, Timestamp now) -> Step;
  // The record to write after kWrite. The write must fail with a conflict
  // unless the stored revision is the one in this record. Where the store is
  // known to be in another epoch than the record's, it should fail without a
  // call.
  auto Proposal() const -> const OrderLeaseRecord& { return proposal_; }

  // The results of the call in progress; exactly one follows each kRead or
  // kWrite.
  auto OnRead(const OrderLeaseRecord& record, Timestamp now) -> void;
  auto OnReadFailed(Timestamp now) -> void;
  // `written` is in the epoch that the response to the write bears. If that is
  // not the epoch in which the record was read, the condition of the write met
  // a reused revision, and it does not count.
  auto OnWritten(StorePosition written, Timestamp now) -> void;
  // The write failed because the record had changed; it is read again.
  auto OnConflict(Timestamp now) -> void;
  // The write failed with an unknown outcome; the record is read again.
  auto OnWriteFailed(Timestamp now) -> void;
  // The store is in this epoch, as far as this daemon knows. Call it for the
  // first epoch as well. A holder of an earlier epoch reads the record at once.
  auto OnStoreEpoch(StoreEpoch epoch) -> void;
  // The holder announced that its last renewal is at `position`. If the record
  // is still there when it is read, its age counts from the announcement.
  // Otherwise a daemon that reads the record for the first time would have to
  // wait for the full expiry time from then on.
  auto OnRenewalAnnounced(StorePosition position, Timestamp now) -> void;
  // Position of this daemon's last write while it is the holder; revision 0 if
  // it is not, or if the store was restored since.
  auto OwnPosition() const -> StorePosition {
    return is_holder_ && !HeldInEarlierEpoch() ? record_.Position()
                                               : StorePosition();
  }

  // The fencing number for an order sent now; nullopt if this daemon must not
  // send one.
  auto FenceForOrder(Timestamp now) const -> std::optional<std::int64_t>;
  // An engine has seen a higher fencing number: another daemon holds the lease.
  auto OnFenced() -> void;
  // For a planned stop: this daemon no longer acquires the lease. If it is the
  // holder, it goes on holding it until `release_at`; then Next returns the
  // write that releases it. A second call can only make that earlier.
  auto Stop(Timestamp release_at) -> void;
  // Whether this daemon has nothing left to write after Stop.
  auto Stopped() const -> bool {
    return release_at_ && !is_holder_ && !call_pending_;
  }
  // Whether another process may have held the lease before this daemon acquired
  // it.
  auto HadPredecessor() const -> bool { return had_predecessor_; }
  // The holder named in the last known record, also if it released the lease;
  // empty if there is no record.
  auto Holder() const -> const InstanceId& { return record_.holder; }

 private:
  // The given fraction of the TTL.
  auto OfTtl(double fraction) const -> Duration {
    return FromSeconds(ToSeconds(times_.ttl) * fraction);
  }
  auto PrepareWrite(std::int64_t fence) -> void;
  auto PrepareRelease(Timestamp now) -> void;
  auto ReleaseDue(Timestamp now) const -> bool {
    return release_at_ && now >= *release_at_;
  }
  auto MayAcquire(Timestamp now) const -> bool;
  // Whether the lease has no record because nobody ever held it. Without a
  // record this is known only in the first epoch that this process has seen,
  // and only if the process may be one of the first of the system.
  auto NeverHeld() const -> bool;
  // Whether this daemon holds the lease from before the store was restored.
  auto HeldInEarlierEpoch() const -> bool {
    return is_holder_ && latest_epoch_ > held_epoch_;
  }
  // Whether orders may be sent as far as the last renewal goes.
  auto RenewalValid(Timestamp now) const -> bool {
    return now - renewed_at_ < OfTtl(times_.valid_fraction);
  }
  // The fencing number of an acquisition that replaces the last known record.
  auto NextFence() const -> std::int64_t;
  // The delay of orders after acquiring a released record.
  auto DelayAfterRelease() const -> Duration;

  InstanceId self_;
  OrderLeaseTiming times_;
  bool bootstrap_;
  bool is_holder_ = false;
  // Fencing number of this daemon as the holder, and the epoch in which it
  // acquired the lease.
  std::int64_t held_fence_ = 0;
  StoreEpoch held_epoch_;
  // The first epoch that this process has seen, and the latest.
  std::optional<StoreEpoch> first_epoch_;
  StoreEpoch latest_epoch_;
  bool call_pending_ = false;
  // Whether the record must be read before the next write.
  bool must_reread_ = true;
  // The last record that was read or written, and since when it is unchanged.
  OrderLeaseRecord record_;
  Timestamp unchanged_since_{};
  Timestamp read_at_{};
  StorePosition announced_position_;
  Timestamp announced_at_{};
  OrderLeaseRecord proposal_;
  Timestamp write_started_at_{};
  Timestamp renewed_at_{};
  Timestamp orders_allowed_from_{};
  // The same for a successor, if this daemon sends no order.
  Timestamp successor_allowed_from_{};
  bool record_known_ = false;
  bool had_predecessor_ = false;
  // When this daemon releases the lease, if it is being stopped.
  std::optional<Timestamp> release_at_;
};

}  // namespace dotterellug
