#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "placement/lease/contention_delay.h"
#include "placement/lease/order_lease.h"

namespace dotterellug {
namespace {

auto At(double s) -> Timestamp { return Timestamp(FromSeconds(1000 + s)); }

constexpr double kTtlSeconds = 3.0;

// Which faults of the store are simulated beside its outages.
struct StoreFaults {
  // One restore from a backup in so many steps on average; 0 is none.
  std::uint64_t restore_interval = 0;
  // Whether responses state the epoch of the store.
  bool states_epoch = true;
};

// Simulates four daemons that share a lease in a store with conditional writes.
// Replies of the store are late, lost although the write took effect, or
// errors; the store goes down and is restored from a backup, and daemons pause,
// resume, lose their connection, and are stopped and replaced.
class LeaseSimulation {
 public:
  LeaseSimulation(std::uint64_t seed, const OrderLeaseTiming& times,
                  const StoreFaults& faults = {})
      : random_(seed), times_(times), faults_(faults) {
    epoch_ = StoreEpoch(faults_.states_epoch ? 1 : 0);
    for (int i = 0; i < 4; ++i) {
      daemons_.push_back(
          {OrderLease(InstanceId("d" + std::to_string(i)), times),
           0,
           0,
           0,
           {},
           {}});
    }
  }

  // Runs for `seconds`. Returns whether all orders of different holders were at
  // least a TTL apart, no fencing number belonged to two holders and none was
  // lower than one before.
  auto Run(double seconds) -> bool {
    for (now_ = 0; now_ < seconds; now_ += 0.05) {
      if (random_.Below(120) == 0) {
        store_down_until_ = now_ + 1 + random_.Uniform() * 5;
      }
      if (faults_.restore_interval > 0) BackUpOrRestore();
      for (std::size_t i = 0; i < daemons_.size(); ++i) Step(i);
      while (!events_.empty() && events_.front().first <= now_) {
        const auto event = std::move(events_.front().second);
        events_.pop_front();
        event();
      }
      if (!invariants_hold_) return false;
    }
    return invariants_hold_;
  }

  auto Orders() const -> int { return orders_; }
  auto HolderChanges() const -> int { return holder_changes_; }
  auto Restores() const -> int { return restores_; }
  // Writes that took effect although their condition was read before a restore.
  auto CoincidentalWrites() const -> int { return coincidental_writes_; }

 private:
  // What a backup of the store holds.
  struct Backup {
    double at = 0;
    OrderLeaseRecord record;
    std::int64_t revision = 0;
  };
  struct SimulatedDaemon {
    OrderLease lease;
    double paused_until = 0;
    double disconnected_until = 0;
    // Grows with each process of this daemon.
    int process = 0;
    // When the process ends, if it is being stopped.
    std::optional<double> ends_at;
    // The latest epoch that a response to this process stated.
    StoreEpoch epoch;
  };

  // Backs the store up about every half second, and sometimes restores a backup
  // of the last seconds, also twice within a second. Other objects are written
  // as well, so that revisions differ from run to run.
  auto BackUpOrRestore() -> void {
    if (random_.Below(10) == 0) backups_.push_back({now_, record_, revision_});
    if (random_.Below(20) == 0) ++revision_;
    while (!backups_.empty() && backups_.front().at < now_ - 8) {
      backups_.pop_front();
    }
    const bool repeats = now_ < restore_repeats_until_ && random_.Below(8) == 0;
    const bool due = random_.Below(faults_.restore_interval) == 0;
    if (backups_.empty() || !(due || repeats)) return;
    if (due) restore_repeats_until_ = now_ + 1;
    const auto& backup = backups_[random_.Below(backups_.size())];
    record_ = backup.record;
    revision_ = backup.revision;
    ++restores_;
    if (faults_.states_epoch) epoch_ = epoch_.Next();
    store_down_until_ = now_ + random_.Uniform() * 0.5;
  }

  // Whether the client of the store hands on a response of this epoch.
  auto Accepts(std::size_t index, StoreEpoch epoch) -> bool {
    auto& daemon = daemons_[index];
    if (epoch < daemon.epoch) return false;
    daemon.epoch = epoch;
    return true;
  }

  auto Step(std::size_t index) -> void {
    auto& daemon = daemons_[index];
    if (random_.Below(400) == 0) {
      daemon.paused_until = now_ + random_.Uniform() * 8;
    }
    if (random_.Below(400) == 0) {
      daemon.disconnected_until = now_ + random_.Uniform() * 8;
    }
    if (now_ < daemon.paused_until) return;
    if (random_.Below(400) == 0) BeginStop(daemon);
    if (daemon.ends_at && now_ >= *daemon.ends_at) {
      daemon.lease =
          OrderLease(InstanceId("d" + std::to_string(index)), times_, false);
      ++daemon.process;
      daemon.ends_at.reset();
      daemon.epoch = {};
    }
    // Another call to the store shows its epoch.
    if (faults_.restore_interval > 0 && Reachable(index) &&
        random_.Below(20) == 0) {
      daemon.epoch = epoch_;
      daemon.lease.OnStoreEpoch(epoch_);
    }
    SendOrderIfAllowed(index);
    switch (daemon.lease.Next(true, At(now_))) {
      case OrderLease::Step::kNothing:
        return;
      case OrderLease::Step::kRead:
        return Read(index);
      case OrderLease::Step::kWrite:
        return Write(index);
    }
  }

  // The process may end before the release is written.
  auto BeginStop(SimulatedDaemon& daemon) -> void {
    if (daemon.ends_at) return;
    const auto release_at = now_ + random_.Uniform() * 5;
    daemon.lease.Stop(At(release_at));
    daemon.ends_at = release_at + random_.Uniform();
  }

  auto SendOrderIfAllowed(std::size_t index) -> void {
    const auto fence = daemons_[index].lease.FenceForOrder(At(now_));
    if (!fence) return;
    ++orders_;
    AnnounceRenewal(index);
    if (last_holder_ && *last_holder_ != index) {
      ++holder_changes_;
      if (now_ - last_order_ < kTtlSeconds || *fence <= last_fence_) {
        invariants_hold_ = false;
      }
    }
    const auto owner = owners_.try_emplace(*fence, index).first->second;
    if (owner != index || *fence < last_fence_) invariants_hold_ = false;
    last_holder_ = index;
    last_order_ = now_;
    last_fence_ = *fence;
  }

  // Announces the revision of the last write to some of the other daemons after
  // a random delay.
  auto AnnounceRenewal(std::size_t index) -> void {
    const auto position = daemons_[index].lease.OwnPosition();
    for (std::size_t other = 0; other < daemons_.size(); ++other) {
      if (other == index || random_.Below(4) == 0) continue;
      Schedule(other, random_.Uniform() * 0.5, [this, other, position] {
        daemons_[other].lease.OnRenewalAnnounced(position, At(now_));
      });
    }
  }

  auto Reachable(std::size_t index) const -> bool {
    return now_ >= store_down_until_ &&
           now_ >= daemons_[index].disconnected_until;
  }

  // Runs `event` after `delay` seconds, or when the daemon resumes.
  auto Schedule(std::size_t index, double delay, std::function<void()> event)
      -> void {
    auto at = now_ + delay;
    at = std::max(at, daemons_[index].paused_until);
    auto position = events_.begin();
    while (position != events_.end() && position->first <= at) ++position;
    events_.insert(position, {at, std::move(event)});
  }

  auto Read(std::size_t index) -> void {
    const bool failed = !Reachable(index);
    auto record = record_;
    record.epoch = epoch_;
    const auto delay = 0.004 + random_.Uniform() * 0.3;
    const auto process = daemons_[index].process;
    Schedule(index, delay, [this, index, failed, record, process] {
      if (daemons_[index].process != process) return;
      if (failed || !Accepts(index, record.epoch)) {
        daemons_[index].lease.OnReadFailed(At(now_));
      } else {
        daemons_[index].lease.OnRead(record, At(now_));
      }
    });
  }

  auto Write(std::size_t index) -> void {
    const auto proposal = daemons_[index].lease.Proposal();
    const auto delay = 0.004 + random_.Uniform() * 0.3;
    const auto process = daemons_[index].process;
    if (!Reachable(index)) {
      return Schedule(index, delay, [this, index, process] {
        if (daemons_[index].process != process) return;
        daemons_[index].lease.OnWriteFailed(At(now_));
      });
    }
    const bool reply_lost = random_.Below(10) == 0;
    const bool applied_late = reply_lost && random_.Below(2) == 0;
    const auto apply = [this, proposal] {
      if (proposal.revision != record_.revision) return false;
      if (proposal.epoch != epoch_) ++coincidental_writes_;
      record_ = proposal;
      record_.revision = ++revision_;
      return true;
    };
    if (applied_late) {
      // Applied some seconds later if its condition still holds.
      Schedule(index, 1 + random_.Uniform() * 4, [apply] { apply(); });
    }
    if (faults_.restore_interval > 0 && !reply_lost) {
      return WriteAcrossRestore(index, delay, process, apply);
    }
    const bool applied = !applied_late && apply();
    const StorePosition written(epoch_, record_.revision);
    Schedule(index, delay, [=] {
      if (daemons_[index].process != process) return;
      auto& lease = daemons_[index].lease;
      if (reply_lost) return lease.OnWriteFailed(At(now_));
      if (!applied) return lease.OnConflict(At(now_));
      lease.OnWritten(written, At(now_));
    });
  }

  // The write takes effect after the first half of `delay`, and its response
  // states the epoch of that moment or, in one of four cases, that of its
  // arrival. A restore may come before or after either.
  auto WriteAcrossRestore(std::size_t index, double delay, int process,
                          const std::function<bool()>& apply) -> void {
    const bool stated_late = random_.Below(4) == 0;
    Schedule(index, delay / 2, [=] {
      const bool applied = apply();
      const StorePosition written(epoch_, record_.revision);
      Schedule(index, delay / 2, [=] {
        if (daemons_[index].process != process) return;
        auto& lease = daemons_[index].lease;
        const auto epoch = stated_late ? epoch_ : written.epoch;
        if (!Accepts(index, epoch)) return lease.OnWriteFailed(At(now_));
        if (!applied) return lease.OnConflict(At(now_));
        lease.OnWritten({epoch, written.revision}, At(now_));
      });
    });
  }

  Random random_;
  OrderLeaseTiming times_;
  StoreFaults faults_;
  std::vector<SimulatedDaemon> daemons_;
  std::deque<std::pair<double, std::function<void()>>> events_;
  OrderLeaseRecord record_;
  std::int64_t revision_ = 0;
  double now_ = 0;
  double store_down_until_ = 0;
  std::optional<std::size_t> last_holder_;
  double last_order_ = 0;
  std::int64_t last_fence_ = 0;
  std::map<std::int64_t, std::size_t> owners_;
  std::deque<Backup> backups_;
  StoreEpoch epoch_;
  double restore_repeats_until_ = 0;
  int orders_ = 0;
  int holder_changes_ = 0;
  int restores_ = 0;
  int coincidental_writes_ = 0;
  bool invariants_hold_ = true;
};

// Guards against interleaved orders of two daemons under pauses, lost
// connections, store outages, and writes whose replies are lost or that take
// effect late.
TEST(OrderLeaseTest, OrdersOfDifferentHoldersAreOneTtlApart) {
  int holder_changes = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    LeaseSimulation simulation(seed, {});
    EXPECT_TRUE(simulation.Run(120)) << "seed " << seed;
    EXPECT_GT(simulation.Orders(), 0) << "seed " << seed;
    holder_changes += simulation.HolderChanges();
  }
  EXPECT_GT(holder_changes, 300);
}

// Whether one of the simulated schedules violates the lease.
auto FindsViolation(const OrderLeaseTiming& times) -> bool {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    if (!LeaseSimulation(seed, times).Run(120)) return true;
  }
  return false;
}

// The simulation must find a violation when one of the times is wrong;
// otherwise the test above could not fail.
TEST(OrderLeaseTest, DetectsViolationWithoutEachDelay) {
  OrderLeaseTiming times;
  times.takeover_delay_fraction = 0;
  EXPECT_TRUE(FindsViolation(times));
  times = {};
  times.valid_fraction = 3;
  EXPECT_TRUE(FindsViolation(times));
  times = {};
  times.expiry_fraction = 0;
  EXPECT_TRUE(FindsViolation(times));
}

// Guards against two holders with one fencing number, a lower one after a
// higher one, and orders of two holders within a TTL, when the store is
// restored from a backup of the last seconds. The record of the lease, the
// count of fencing numbers and the revisions go back with it.
TEST(OrderLeaseTest, FencingNumbersGrowAcrossRestoresOfTheStore) {
  int holder_changes = 0;
  int restores = 0;
  int coincidental_writes = 0;
  for (std::uint64_t seed = 1; seed <= 600; ++seed) {
    LeaseSimulation simulation(seed, {}, {seed % 2 == 0 ? 100U : 400U, true});
    EXPECT_TRUE(simulation.Run(120)) << "seed " << seed;
    holder_changes += simulation.HolderChanges();
    restores += simulation.Restores();
    coincidental_writes += simulation.CoincidentalWrites();
  }
  EXPECT_GT(holder_changes, 300);
  EXPECT_GT(restores, 3000);
  EXPECT_GT(coincidental_writes, 10);
}

// The simulation must find the fault when the store does not state its epoch;
// otherwise the test above could not fail.
TEST(OrderLeaseTest, DetectsRepeatedFencingNumbersWithoutEpochs) {
  int violations = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    LeaseSimulation simulation(seed, {}, {400, false});
    violations += simulation.Run(120) ? 0 : 1;
  }
  EXPECT_GT(violations, 10);
}

// Guards against a takeover that takes a whole TTL longer than needed: a
// successor measures the expiry time from the announcement of the last renewal.
TEST(OrderLeaseTest, SuccessorCountsFromTheAnnouncedRenewal) {
  const auto seconds_until_first_order = [](bool announced) {
    OrderLease lease(InstanceId("a"), {});
    // The holder's last renewal; the daemon reads the record 2 s later.
    if (announced) lease.OnRenewalAnnounced(9, At(0));
    std::int64_t revision = 9;
    double now = 2;
    for (; now < 12; now += 0.05) {
      if (lease.FenceForOrder(At(now))) break;
      switch (lease.Next(true, At(now))) {
        case OrderLease::Step::kNothing:
          break;
        case OrderLease::Step::kRead:
          lease.OnRead({InstanceId("b"), 4, false, revision}, At(now));
          break;
        case OrderLease::Step::kWrite:
          lease.OnWritten(++revision, At(now));
          break;
      }
    }
    return now;
  };
  // The holder may send orders for 1.5 s after its renewal; then the successor
  // waits for a TTL of 3 s.
  EXPECT_GE(seconds_until_first_order(true), 4.5);
  EXPECT_LE(seconds_until_first_order(true), 5.0);
  EXPECT_GE(seconds_until_first_order(false), 6.5);
}

// Guards against applying the announcement of an older write to a newer one.
TEST(OrderLeaseTest, AnnouncementAppliesToItsRevisionOnly) {
  OrderLease lease(InstanceId("a"), {});
  lease.OnRenewalAnnounced(8, At(0));
  ASSERT_EQ(lease.Next(true, At(5)), OrderLease::Step::kRead);
  lease.OnRead({InstanceId("b"), 4, false, 9}, At(5));
  EXPECT_EQ(lease.Next(true, At(5.1)), OrderLease::Step::kNothing);
}

TEST(OrderLeaseTest, FencedHolderSendsNoMoreOrders) {
  OrderLease lease(InstanceId("a"), {});
  ASSERT_EQ(lease.Next(true, At(0)), OrderLease::Step::kRead);
  lease.OnRead({}, At(0));
  ASSERT_EQ(lease.Next(true, At(0)), OrderLease::Step::kWrite);
  lease.OnWritten(5, At(0));
  EXPECT_EQ(lease.FenceForOrder(At(0.1)), 1);
  lease.OnFenced();
  EXPECT_FALSE(lease.FenceForOrder(At(0.1)));
}

// Makes `lease` the holder of a record that did not exist before.
auto Acquire(OrderLease& lease, double at) -> void {
  ASSERT_EQ(lease.Next(true, At(at)), OrderLease::Step::kRead);
  lease.OnRead({}, At(at));
  ASSERT_EQ(lease.Next(true, At(at)), OrderLease::Step::kWrite);
  lease.OnWritten(5, At(at));
}

TEST(OrderLeaseTest, StoppingHolderSendsOrdersUntilItReleasesTheLease) {
  OrderLease lease(InstanceId("a"), {});
  Acquire(lease, 0);
  lease.Stop(At(1.2));
  EXPECT_TRUE(lease.FenceForOrder(At(0.9)));
  ASSERT_EQ(lease.Next(false, At(1)), OrderLease::Step::kWrite);
  EXPECT_FALSE(lease.Proposal().released);
  lease.OnWritten(6, At(1.1));
  EXPECT_FALSE(lease.FenceForOrder(At(1.2)));
  ASSERT_EQ(lease.Next(false, At(1.2)), OrderLease::Step::kWrite);
  EXPECT_TRUE(lease.Proposal().released);
  EXPECT_FALSE(lease.Stopped());
  lease.OnWritten(7, At(1.3));
  EXPECT_TRUE(lease.Stopped());
  EXPECT_FALSE(lease.FenceForOrder(At(1.3)));
}

// Guards against a release that fails because a renewal is in progress, so that
// the successor waits until the lease expires.
TEST(OrderLeaseTest, ReleaseWaitsForARenewalInProgress) {
  OrderLease lease(InstanceId("a"), {});
  Acquire(lease, 0);
  ASSERT_EQ(lease.Next(false, At(1)), OrderLease::Step::kWrite);
  lease.Stop(At(1));
  EXPECT_EQ(lease.Next(false, At(1)), OrderLease::Step::kNothing);
  lease.OnWritten(6, At(1.1));
  ASSERT_EQ(lease.Next(false, At(1.1)), OrderLease::Step::kWrite);
  EXPECT_TRUE(lease.Proposal().released);
  EXPECT_EQ(lease.Proposal().revision, 6);
}

// Acquires the lease at time 0 from `record`, stops at once, and returns the
// record that is written 1 s later.
auto ReleaseWithoutOrders(const OrderLeaseRecord& record) -> OrderLeaseRecord {
  OrderLease lease(InstanceId("a"), {});
  lease.Next(true, At(0));
  lease.OnRead(record, At(0));
  EXPECT_EQ(lease.Next(true, At(0)), OrderLease::Step::kWrite);
  lease.OnWritten(10, At(0));
  lease.Stop(At(1));
  EXPECT_EQ(lease.Next(false, At(1)), OrderLease::Step::kWrite);
  return lease.Proposal();
}

// Guards against a chain of holders that are stopped before their first order
// and each of whose successors waits for the whole delay.
TEST(OrderLeaseTest, HolderWithoutOrdersPassesOnTheRestOfItsDelay) {
  const OrderLeaseRecord first{InstanceId("b"), 4, true, 9, {}};
  auto released = ReleaseWithoutOrders(first);
  ASSERT_TRUE(released.order_delay);
  EXPECT_NEAR(ToSeconds(*released.order_delay), 2.15, 0.001);
  released.revision = 11;
  released = ReleaseWithoutOrders(released);
  ASSERT_TRUE(released.order_delay);
  EXPECT_NEAR(ToSeconds(*released.order_delay), 1.15, 0.001);
}

// Guards against orders too soon after those of an earlier process of a holder,
// whose record the new process acquires and releases without orders.
TEST(OrderLeaseTest, CoversOrdersOfAnEarlierProcessOfTheHolder) {
  const auto released =
      ReleaseWithoutOrders({InstanceId("a"), 4, false, 9, {}});
  ASSERT_TRUE(released.order_delay);
  EXPECT_GE(ToSeconds(*released.order_delay), kTtlSeconds - 1);
}

// Guards against a successor that orders within a TTL of the holder's orders.
TEST(OrderLeaseTest, HolderWithOrdersPassesOnTheWholeDelay) {
  OrderLease lease(InstanceId("a"), {});
  Acquire(lease, 0);
  lease.Stop(At(0.1));
  ASSERT_EQ(lease.Next(false, At(0.1)), OrderLease::Step::kWrite);
  EXPECT_FALSE(lease.Proposal().order_delay);
}

TEST(OrderLeaseTest, StoppingDaemonDoesNotAcquireTheLease) {
  OrderLease lease(InstanceId("a"), {});
  lease.Stop(At(5));
  EXPECT_EQ(lease.Next(true, At(1)), OrderLease::Step::kNothing);
  EXPECT_TRUE(lease.Stopped());
}

TEST(OrderLeaseTest, DelaysOrdersAfterTakingOverAReleasedLease) {
  OrderLease lease(InstanceId("a"), {});
  lease.Next(true, At(0));
  lease.OnRead({InstanceId("b"), 4, true, 9}, At(0));
  ASSERT_EQ(lease.Next(true, At(0)), OrderLease::Step::kWrite);
  EXPECT_EQ(lease.Proposal().fence, 5);
  lease.OnWritten(10, At(0));
  EXPECT_FALSE(lease.FenceForOrder(At(1)));
}

constexpr StoreEpoch kFirstEpoch(1);
constexpr StoreEpoch kNextEpoch(2);

// When `lease` first writes, in seconds, if the store keeps answering reads
// with `record`; at most 12.
auto FirstWrite(OrderLease& lease, const OrderLeaseRecord& record) -> double {
  double now = 0;
  for (; now < 12; now += 0.05) {
    const auto step = lease.Next(true, At(now));
    if (step == OrderLease::Step::kWrite) break;
    if (step == OrderLease::Step::kRead) lease.OnRead(record, At(now));
  }
  return now;
}

// Guards against a holder beside another one whose record is not in the backup:
// a missing record shows that the lease was never held only in the first epoch
// that this process has seen, at the first start of the system.
TEST(OrderLeaseTest, AMissingRecordAfterARestoreIsNotAFreeLease) {
  OrderLeaseRecord missing;
  missing.epoch = kNextEpoch;
  OrderLease first(InstanceId("a"), {});
  EXPECT_LT(FirstWrite(first, missing), 0.1);
  OrderLease saw_a_restore(InstanceId("a"), {});
  saw_a_restore.OnStoreEpoch(kFirstEpoch);
  EXPECT_GE(FirstWrite(saw_a_restore, missing), 2.3);
  OrderLease started_later(InstanceId("a"), {}, false);
  EXPECT_GE(FirstWrite(started_later, missing), 2.3);
  OrderLease heard_a_holder(InstanceId("a"), {});
  heard_a_holder.OnRenewalAnnounced({kFirstEpoch, 7}, At(0));
  EXPECT_GE(FirstWrite(heard_a_holder, missing), 2.3);
}

// Guards against a release, or an own name, from the backup that counts as the
// last word on the lease.
TEST(OrderLeaseTest, ARecordOfAnEarlierEpochIsNotAFreeLease) {
  const auto fence = StorePosition(kFirstEpoch, 7).Packed();
  for (const auto* holder : {"a", "b"}) {
    const OrderLeaseRecord record{InstanceId(holder), fence,     true, 9,
                                  Duration(0),        kNextEpoch};
    OrderLease lease(InstanceId("a"), {});
    EXPECT_GE(FirstWrite(lease, record), 2.3) << holder;
    EXPECT_EQ(lease.Proposal().fence, StorePosition(kNextEpoch, 9).Packed());
    lease.OnWritten({kNextEpoch, 10}, At(3));
    // The delay of a takeover, not the one that the record states.
    EXPECT_FALSE(lease.FenceForOrder(At(3.5))) << holder;
  }
}

// Acquires the lease at time 0 in the first epoch, from a missing record.
auto AcquireInFirstEpoch(OrderLease& lease) -> void {
  ASSERT_EQ(lease.Next(true, At(0)), OrderLease::Step::kRead);
  OrderLeaseRecord missing;
  missing.epoch = kFirstEpoch;
  lease.OnRead(missing, At(0));
  ASSERT_EQ(lease.Next(true, At(0)), OrderLease::Step::kWrite);
  lease.OnWritten({kFirstEpoch, 5}, At(0));
  EXPECT_EQ(lease.FenceForOrder(At(0)), StorePosition(kFirstEpoch, 0).Packed());
}

// Guards against a renewal that counts because the revision on which it was
// conditional was used again after a restore.
TEST(OrderLeaseTest, ARenewalThatMetAReusedRevisionDoesNotCount) {
  OrderLease lease(InstanceId("a"), {});
  AcquireInFirstEpoch(lease);
  ASSERT_EQ(lease.Next(true, At(1)), OrderLease::Step::kWrite);
  lease.OnWritten({kNextEpoch, 6}, At(1.1));
  // Orders go on as long as the renewal of the first epoch is valid.
  EXPECT_TRUE(lease.FenceForOrder(At(1.4)));
  EXPECT_FALSE(lease.FenceForOrder(At(1.5)));
  EXPECT_EQ(lease.OwnPosition(), StorePosition());
  EXPECT_EQ(lease.Next(true, At(1.2)), OrderLease::Step::kRead);
}

// Guards against a fleet that may not order for seconds after each restore,
// although its holder is known, and against the old fencing number in the new
// epoch.
TEST(OrderLeaseTest, AHolderAcquiresAgainAtOnceWhileItsRenewalIsValid) {
  OrderLease lease(InstanceId("a"), {});
  AcquireInFirstEpoch(lease);
  lease.OnStoreEpoch(kNextEpoch);
  ASSERT_EQ(lease.Next(true, At(1)), OrderLease::Step::kRead);
  // What the backup has of the lease.
  lease.OnRead({InstanceId("b"), 3, false, 2, {}, kNextEpoch}, At(1));
  EXPECT_TRUE(lease.FenceForOrder(At(1)));
  ASSERT_EQ(lease.Next(true, At(1)), OrderLease::Step::kWrite);
  EXPECT_EQ(lease.Proposal().revision, 2);
  const auto fence = StorePosition(kNextEpoch, 2).Packed();
  EXPECT_EQ(lease.Proposal().fence, fence);
  lease.OnWritten({kNextEpoch, 3}, At(1.1));
  EXPECT_EQ(lease.FenceForOrder(At(1.1)), fence);
  EXPECT_EQ(lease.OwnPosition(), StorePosition(kNextEpoch, 3));
}

// Guards against orders of a former holder right after its write in the new
// epoch, when its renewal had expired before and another daemon may have sent
// orders since.
TEST(OrderLeaseTest, AHolderWhoseRenewalExpiredWaitsAsAnyOther) {
  OrderLease lease(InstanceId("a"), {});
  AcquireInFirstEpoch(lease);
  lease.OnStoreEpoch(kNextEpoch);
  ASSERT_EQ(lease.Next(true, At(1.4)), OrderLease::Step::kRead);
  lease.OnRead({InstanceId("a"), 3, true, 2, {}, kNextEpoch}, At(1.6));
  EXPECT_NE(lease.Next(true, At(1.6)), OrderLease::Step::kWrite);
  EXPECT_FALSE(lease.FenceForOrder(At(1.6)));
}

// Guards against an announcement of the epoch before that makes a record of the
// new epoch with the same revision look older than it is.
TEST(OrderLeaseTest, AnnouncementAppliesToItsEpochOnly) {
  OrderLease lease(InstanceId("a"), {});
  lease.OnRenewalAnnounced({kFirstEpoch, 9}, At(0));
  const auto fence = StorePosition(kNextEpoch, 4).Packed();
  ASSERT_EQ(lease.Next(true, At(5)), OrderLease::Step::kRead);
  lease.OnRead({InstanceId("b"), fence, false, 9, {}, kNextEpoch}, At(5));
  EXPECT_EQ(lease.Next(true, At(5.1)), OrderLease::Step::kNothing);
}

// Guards against a fleet in which no daemon contends: the only remaining
// daemon, or the previous holder after its restart, must also read the lease.
TEST(ContentionTest, EveryRegisteredDaemonEventuallyContends) {
  EXPECT_TRUE(rc::check([] {
    std::map<InstanceId, double> capacities;
    const auto count = *rc::gen::inRange(1, 80);
    for (int i = 0; i < count; ++i) {
      capacities[InstanceId("d" + std::to_string(i))] =
          *rc::gen::element(0.12, 0.25, 0.5);
    }
    std::vector<Duration> waits;
    for (const auto& [id, capacity] : capacities) {
      const auto wait = ContentionDelay(id, capacities);
      RC_ASSERT(wait.has_value());
      waits.push_back(*wait);
    }
    std::sort(waits.begin(), waits.end());
    RC_ASSERT(waits.front() == std::chrono::milliseconds(450));
    // All delays differ by at least 100 ms, and none exceeds ten seconds.
    for (std::size_t i = 1; i < waits.size(); ++i) {
      RC_ASSERT(waits[i] - waits[i - 1] >= std::chrono::milliseconds(100));
    }
    RC_ASSERT(waits.back() <= std::chrono::seconds(10));
    RC_ASSERT(!ContentionDelay(InstanceId("other"), capacities));
  }));
}

// Guards against a small instance that acquires the order lease while a large
// one could.
TEST(ContentionTest, LargerInstancesContendFirst) {
  const std::map<InstanceId, double> capacities{
      {InstanceId("a"), 0.12}, {InstanceId("b"), 0.5}, {InstanceId("c"), 0.25}};
  const auto wait = [&](const char* id) {
    return *ContentionDelay(InstanceId(id), capacities);
  };
  EXPECT_LT(wait("b"), wait("c"));
  EXPECT_LT(wait("c"), wait("a"));
}

}  // namespace
}  // namespace dotterellug
