#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "placement/lease/contention_delay.h"
#include "placement/lease/order_lease.h"

namespace dotterellug {
namespace {

auto At(double s) -> Timestamp { return Timestamp(FromSeconds(1000 + s)); }

constexpr double kTtlSeconds = 3.0;
constexpr double kStepSeconds = 0.01;
constexpr int kDaemons = 60;
// Times of a rolling restart, in seconds.
constexpr double kRestartBegins = 10;
constexpr double kBetweenSignals = 0.27;
constexpr double kRestartEnds = kRestartBegins + kDaemons * kBetweenSignals;
// A holder releases the lease this long before its process ends.
constexpr double kReleaseTime = 0.8;
// From the end of a process until its successor runs.
constexpr double kBoot = 0.7;
// Daemons hear of the holder by reports at this interval.
constexpr double kReportInterval = 0.15;

// Simulates a fleet with one order lease whose daemons are all restarted, one
// stop signal after the other. A stopping process runs for a time between
// `shortest_stop` and `longest_stop`.
class RollingRestart {
 public:
  RollingRestart(std::uint64_t seed, double shortest_stop, double longest_stop)
      : random_(seed),
        shortest_stop_(shortest_stop),
        longest_stop_(longest_stop) {
    std::map<InstanceId, double> capacities;
    for (int i = 0; i < kDaemons; ++i) {
      const InstanceId id("d" + std::to_string(i));
      capacities[id] = random_.Below(3) == 0 ? 0.5 : 0.25;
      auto& daemon = daemons_.emplace_back(id);
      daemon.signal_at = i;
      // All daemons have run for a while.
      daemon.started_at = -60;
    }
    for (int i = kDaemons - 1; i > 0; --i) {
      std::swap(daemons_[i].signal_at,
                daemons_[random_.Below(i + 1)].signal_at);
    }
    for (auto& daemon : daemons_) {
      daemon.signal_at = kRestartBegins + daemon.signal_at * kBetweenSignals;
      daemon.contention_delay =
          ToSeconds(*ContentionDelay(daemon.id, capacities));
    }
  }

  // Runs until the fleet is quiet again. Returns the longest time in which no
  // daemon might send orders, in seconds.
  auto LongestSilence() -> double {
    double longest = 0;
    const double end = kRestartEnds + longest_stop_ + 10;
    double silent_since = kRestartBegins;
    for (now_ = 0; now_ < end; now_ += kStepSeconds) {
      DeliverReplies();
      ordered_ = false;
      for (auto& daemon : daemons_) Step(daemon);
      if (now_ < kRestartBegins) continue;
      longest = std::max(longest, now_ - silent_since);
      if (ordered_) silent_since = now_;
    }
    return longest;
  }
  // Whether orders of different holders were at least a TTL apart, with growing
  // fencing numbers.
  auto InvariantsHold() const -> bool { return invariants_hold_; }

 private:
  struct Daemon {
    explicit Daemon(InstanceId name) : id(std::move(name)) {}
    InstanceId id;
    std::optional<OrderLease> lease;
    // Grows with each process, so that replies to an earlier one are dropped.
    int process = 0;
    double started_at = 0;
    double signal_at = 0;
    std::optional<double> ends_at;
    std::optional<double> boots_at;
    double leader_seen = -60;
    // In seconds.
    double contention_delay = 0;
  };

  auto Step(Daemon& daemon) -> void {
    if (daemon.boots_at) {
      if (now_ < *daemon.boots_at) return;
      daemon.boots_at.reset();
      daemon.started_at = now_;
      daemon.leader_seen = -60;
    }
    if (!daemon.lease) {
      daemon.lease.emplace(daemon.id, OrderLeaseTiming{});
      ++daemon.process;
    }
    if (!daemon.ends_at && daemon.signal_at > 0 && now_ >= daemon.signal_at) {
      OnStopSignal(daemon);
    }
    if (daemon.ends_at && now_ >= *daemon.ends_at) return End(daemon);
    SendOrderIfAllowed(daemon);
    Call(daemon, daemon.lease->Next(Contends(daemon), At(now_)));
  }

  auto OnStopSignal(Daemon& daemon) -> void {
    daemon.signal_at = 0;
    daemon.ends_at = now_ + shortest_stop_ +
                     random_.Uniform() * (longest_stop_ - shortest_stop_);
    daemon.lease->Stop(At(*daemon.ends_at - kReleaseTime));
  }

  auto End(Daemon& daemon) -> void {
    daemon.lease.reset();
    daemon.ends_at.reset();
    daemon.boots_at = now_ + kBoot;
  }

  auto Contends(const Daemon& daemon) const -> bool {
    return now_ - std::max(daemon.leader_seen, daemon.started_at) >
           daemon.contention_delay;
  }

  auto SendOrderIfAllowed(Daemon& daemon) -> void {
    const auto fence = daemon.lease->FenceForOrder(At(now_));
    if (!fence) return;
    ordered_ = true;
    if (!last_holder_.Empty() && last_holder_ != daemon.id &&
        (now_ - last_order_ < kTtlSeconds || *fence <= last_fence_)) {
      invariants_hold_ = false;
    }
    last_holder_ = daemon.id;
    last_order_ = now_;
    last_fence_ = *fence;
    if (now_ < announced_at_ + kReportInterval) return;
    announced_at_ = now_;
    const auto position = daemon.lease->OwnPosition();
    for (auto& other : daemons_) {
      if (!other.lease) continue;
      other.leader_seen = now_;
      other.lease->OnRenewalAnnounced(position, At(now_));
    }
  }

  auto Call(Daemon& daemon, OrderLease::Step step) -> void {
    if (step == OrderLease::Step::kWrite) {
      Write(daemon, daemon.lease->Proposal());
    } else if (step == OrderLease::Step::kRead) {
      After(Latency(), [this, &daemon, process = daemon.process] {
        const auto record = record_;
        After(Latency(), [this, &daemon, process, record] {
          if (!Runs(daemon, process)) return;
          daemon.lease->OnRead(record, At(now_));
        });
      });
    }
  }

  auto Write(Daemon& daemon, const OrderLeaseRecord& proposal) -> void {
    After(Latency(), [this, &daemon, process = daemon.process, proposal] {
      const bool applied = proposal.revision == record_.revision;
      if (applied) {
        const auto revision = record_.revision + 1;
        record_ = proposal;
        record_.revision = revision;
      }
      After(Latency(),
            [this, &daemon, process, applied, revision = record_.revision] {
              if (!Runs(daemon, process)) return;
              if (applied) return daemon.lease->OnWritten(revision, At(now_));
              daemon.lease->OnConflict(At(now_));
            });
    });
  }

  static auto Runs(const Daemon& daemon, int process) -> bool {
    return daemon.lease && daemon.process == process;
  }
  // One way to the store, in seconds.
  auto Latency() -> double { return 0.002 + random_.Uniform() * 0.05; }

  auto After(double delay, std::function<void()> event) -> void {
    replies_.emplace_back(now_ + delay, std::move(event));
  }
  auto DeliverReplies() -> void {
    std::deque<std::pair<double, std::function<void()>>> later;
    const auto current = std::exchange(replies_, {});
    for (const auto& reply : current) {
      if (reply.first <= now_) {
        reply.second();
      } else {
        later.push_back(reply);
      }
    }
    later.insert(later.end(), replies_.begin(), replies_.end());
    replies_ = std::move(later);
  }

  Random random_;
  double shortest_stop_;
  double longest_stop_;
  std::vector<Daemon> daemons_;
  std::deque<std::pair<double, std::function<void()>>> replies_;
  OrderLeaseRecord record_;
  double now_ = 0;
  double announced_at_ = 0;
  bool ordered_ = false;
  InstanceId last_holder_;
  double last_order_ = 0;
  std::int64_t last_fence_ = 0;
  bool invariants_hold_ = true;
};

// The longest silence of 200 rolling restarts.
auto LongestSilence(double shortest_stop, double longest_stop) -> double {
  double longest = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    RollingRestart restart(seed, shortest_stop, longest_stop);
    longest = std::max(longest, restart.LongestSilence());
    EXPECT_TRUE(restart.InvariantsHold()) << "seed " << seed;
  }
  return longest;
}

// A handover takes a TTL and a margin, and the time until the successor has
// noticed that nobody holds the lease.
constexpr double kOneHandoverSeconds = 5.0;

// Guards against a rolling restart of all daemons in which each holder of the
// order lease is stopped before it may send orders.
TEST(RollingRestartTest, OrdersStopForOneHandoverAtMost) {
  EXPECT_LE(LongestSilence(7.0, 7.6), kOneHandoverSeconds);
}

// The same, with processes that end as soon as the balancer has noticed.
TEST(RollingRestartTest, OrdersStopForOneHandoverAtMostWithShortStops) {
  EXPECT_LE(LongestSilence(2.6, 2.8), kOneHandoverSeconds);
}

}  // namespace
}  // namespace dotterellug
