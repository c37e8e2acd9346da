#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>
#include <functional>
#include <optional>

#include "placement/lease/contention.h"
#include "placement/lease/order_lease.h"

namespace dotterellug {
namespace {

auto At(double s) -> Timestamp { return Timestamp(FromSeconds(1000 + s)); }

constexpr double kTimeToLive = 3.0;

// One object of a store with conditional writes, whose answers can be late,
// lost after taking effect, or refused, and daemons that stop and wake again.
class LeaseWorld {
 public:
  LeaseWorld(std::uint64_t seed, const OrderLeaseTimes& times) : random_(seed) {
    for (int i = 0; i < 4; ++i) {
      nodes_.push_back(
          {OrderLease(InstanceId("d" + std::to_string(i)), times), 0, 0});
    }
  }

  // Runs for `seconds` and returns whether every two orders of different
  // holders were a time to live apart, with growing fencing numbers.
  auto Run(double seconds) -> bool {
    for (now_ = 0; now_ < seconds; now_ += 0.05) {
      if (random_.Below(120) == 0) {
        down_until_ = now_ + 1 + random_.Uniform() * 5;
      }
      for (std::size_t i = 0; i < nodes_.size(); ++i) Step(i);
      while (!events_.empty() && events_.front().first <= now_) {
        const auto event = std::move(events_.front().second);
        events_.pop_front();
        event();
      }
      if (!ok_) return false;
    }
    return ok_;
  }

  auto Orders() const -> int { return orders_; }
  auto Holders() const -> int { return holders_; }

 private:
  struct Node {
    OrderLease lease;
    double paused_until = 0;
    double cut_until = 0;
  };

  auto Step(std::size_t index) -> void {
    auto& node = nodes_[index];
    if (random_.Below(400) == 0) {
      node.paused_until = now_ + random_.Uniform() * 8;
    }
    if (random_.Below(400) == 0) {
      node.cut_until = now_ + random_.Uniform() * 8;
    }
    if (now_ < node.paused_until) return;
    Order(index);
    switch (node.lease.Next(true, At(now_))) {
      case OrderLease::Step::kNothing:
        return;
      case OrderLease::Step::kRead:
        return Read(index);
      case OrderLease::Step::kWrite:
        return Write(index);
    }
  }

  auto Order(std::size_t index) -> void {
    const auto fence = nodes_[index].lease.MayOrder(At(now_));
    if (!fence) return;
    ++orders_;
    Announce(index);
    if (last_holder_ && *last_holder_ != index) {
      ++holders_;
      if (now_ - last_order_ < kTimeToLive || *fence <= last_fence_) {
        ok_ = false;
      }
    }
    last_holder_ = index;
    last_order_ = now_;
    last_fence_ = *fence;
  }

  // Tells some of the others the revision of the last write, sooner or later.
  auto Announce(std::size_t index) -> void {
    const auto revision = nodes_[index].lease.OwnRevision();
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      if (other == index || random_.Below(4) == 0) continue;
      Later(other, random_.Uniform() * 0.5, [this, other, revision] {
        nodes_[other].lease.OnAnnounced(revision, At(now_));
      });
    }
  }

  auto Reachable(std::size_t index) const -> bool {
    return now_ >= down_until_ && now_ >= nodes_[index].cut_until;
  }

  // Runs `event` after a short time, or when the node wakes.
  auto Later(std::size_t index, double delay, std::function<void()> event)
      -> void {
    auto at = now_ + delay;
    at = std::max(at, nodes_[index].paused_until);
    auto place = events_.begin();
    while (place != events_.end() && place->first <= at) ++place;
    events_.insert(place, {at, std::move(event)});
  }

  auto Read(std::size_t index) -> void {
    const bool failed = !Reachable(index);
    const auto record = record_;
    const auto delay = 0.004 + random_.Uniform() * 0.3;
    Later(index, delay, [this, index, failed, record] {
      if (failed) {
        nodes_[index].lease.OnReadFailed(At(now_));
      } else {
        nodes_[index].lease.OnRead(record, At(now_));
      }
    });
  }

  auto Write(std::size_t index) -> void {
    const auto proposal = nodes_[index].lease.Proposal();
    const auto delay = 0.004 + random_.Uniform() * 0.3;
    if (!Reachable(index)) {
      return Later(index, delay, [this, index] {
        nodes_[index].lease.OnWriteFailed(At(now_));
      });
    }
    const bool lost = random_.Below(10) == 0;
    const bool late = lost && random_.Below(2) == 0;
    const auto apply = [this, proposal] {
      if (proposal.revision != record_.revision) return false;
      record_ = proposal;
      record_.revision = ++revision_;
      return true;
    };
    if (late) {
      // Done some seconds later if its condition still holds.
      Later(index, 1 + random_.Uniform() * 4, [apply] { apply(); });
    }
    const bool done = !late && apply();
    const auto revision = record_.revision;
    Later(index, delay, [this, index, lost, done, revision] {
      auto& lease = nodes_[index].lease;
      if (lost) return lease.OnWriteFailed(At(now_));
      if (!done) return lease.OnConflict(At(now_));
      lease.OnWritten(revision, At(now_));
    });
  }

  Random random_;
  std::vector<Node> nodes_;
  std::deque<std::pair<double, std::function<void()>>> events_;
  OrderLeaseRecord record_;
  std::int64_t revision_ = 0;
  double now_ = 0;
  double down_until_ = 0;
  std::optional<std::size_t> last_holder_;
  double last_order_ = 0;
  std::int64_t last_fence_ = 0;
  int orders_ = 0;
  int holders_ = 0;
  bool ok_ = true;
};

// Guards against two daemons that give orders in turn: pauses, cuts, a store
// that is down, and writes whose answers are lost or that are done late.
TEST(OrderLeaseTest, OrdersOfTwoHoldersAreATimeToLiveApart) {
  int holders = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    LeaseWorld world(seed, {});
    EXPECT_TRUE(world.Run(120)) << "seed " << seed;
    EXPECT_GT(world.Orders(), 0) << "seed " << seed;
    holders += world.Holders();
  }
  EXPECT_GT(holders, 300);
}

auto BreaksWith(const OrderLeaseTimes& times) -> bool {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    if (!LeaseWorld(seed, times).Run(120)) return true;
  }
  return false;
}

// Without one of its waits the lease must fail this test's schedules, or they
// prove nothing.
TEST(OrderLeaseTest, EachWaitIsNeeded) {
  OrderLeaseTimes times;
  times.quiet = 0;
  EXPECT_TRUE(BreaksWith(times));
  times = {};
  times.valid = 3;
  EXPECT_TRUE(BreaksWith(times));
  times = {};
  times.unchanged = 0;
  EXPECT_TRUE(BreaksWith(times));
}

// Guards against a fleet that has no holder for a time to live longer than it
// takes: a successor that has heard of the last renewal waits from then on.
TEST(OrderLeaseTest, ASuccessorCountsFromTheAnnouncedRenewal) {
  const auto orders_after = [](bool announced) {
    OrderLease lease(InstanceId("a"), {});
    // The holder's last renewal; the daemon looks at the record 2 s later.
    if (announced) lease.OnAnnounced(9, At(0));
    std::int64_t revision = 9;
    double now = 2;
    for (; now < 12; now += 0.05) {
      if (lease.MayOrder(At(now))) break;
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
  // The holder may order for 1.5 s after its renewal; then a time to live.
  EXPECT_GE(orders_after(true), 4.5);
  EXPECT_LE(orders_after(true), 5.0);
  EXPECT_GE(orders_after(false), 6.5);
}

// Guards against an announcement of an older write that counts for a newer one.
TEST(OrderLeaseTest, AnAnnouncementCountsForItsOwnRevisionOnly) {
  OrderLease lease(InstanceId("a"), {});
  lease.OnAnnounced(8, At(0));
  ASSERT_EQ(lease.Next(true, At(5)), OrderLease::Step::kRead);
  lease.OnRead({InstanceId("b"), 4, false, 9}, At(5));
  EXPECT_EQ(lease.Next(true, At(5.1)), OrderLease::Step::kNothing);
}

TEST(OrderLeaseTest, AFencedHolderStops) {
  OrderLease lease(InstanceId("a"), {});
  ASSERT_EQ(lease.Next(true, At(0)), OrderLease::Step::kRead);
  lease.OnRead({}, At(0));
  ASSERT_EQ(lease.Next(true, At(0)), OrderLease::Step::kWrite);
  lease.OnWritten(5, At(0));
  EXPECT_EQ(lease.MayOrder(At(0.1)), 1);
  lease.OnFenced();
  EXPECT_FALSE(lease.MayOrder(At(0.1)));
}

TEST(OrderLeaseTest, TakesOverFromAHolderThatReleased) {
  OrderLease lease(InstanceId("a"), {});
  lease.Next(true, At(0));
  lease.OnRead({InstanceId("b"), 4, true, 9}, At(0));
  ASSERT_EQ(lease.Next(true, At(0)), OrderLease::Step::kWrite);
  EXPECT_EQ(lease.Proposal().fence, 5);
  lease.OnWritten(10, At(0));
  EXPECT_FALSE(lease.MayOrder(At(1)));
}

// Guards against a fleet in which nobody contends: a daemon that is the only
// one left, or the former holder after its restart, must look at the lease too.
TEST(ContentionTest, EveryRegisteredDaemonContendsInTheEnd) {
  rc::check([] {
    std::map<InstanceId, double> capacities;
    const auto count = *rc::gen::inRange(1, 80);
    for (int i = 0; i < count; ++i) {
      capacities[InstanceId("d" + std::to_string(i))] =
          *rc::gen::element(0.12, 0.25, 0.5);
    }
    std::vector<Duration> waits;
    for (const auto& [id, capacity] : capacities) {
      const auto wait = ContentionWait(id, capacities);
      RC_ASSERT(wait.has_value());
      waits.push_back(*wait);
    }
    std::sort(waits.begin(), waits.end());
    RC_ASSERT(waits.front() == std::chrono::milliseconds(450));
    // The first ones are apart in time; nobody waits for more than ten seconds.
    for (std::size_t i = 1; i < waits.size(); ++i) {
      RC_ASSERT(waits[i] - waits[i - 1] >= std::chrono::milliseconds(100));
    }
    RC_ASSERT(waits.back() <= std::chrono::seconds(10));
    RC_ASSERT(!ContentionWait(InstanceId("other"), capacities));
  });
}

// Guards against a small instance that holds the right to order while a large
// one could.
TEST(ContentionTest, LargerInstancesComeFirst) {
  const std::map<InstanceId, double> capacities{
      {InstanceId("a"), 0.12}, {InstanceId("b"), 0.5}, {InstanceId("c"), 0.25}};
  const auto wait = [&](const char* id) {
    return *ContentionWait(InstanceId(id), capacities);
  };
  EXPECT_LT(wait("b"), wait("c"));
  EXPECT_LT(wait("c"), wait("a"));
}

}  // namespace
}  // namespace dotterellug
