#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/random/random.h"
#include "core/variant/overloaded.h"
#include "spend/spend.h"

namespace dotterellug {
namespace {

const ClientAccountId kShop("shop");
const UsageWindow kWindow{1000};

auto At(double s) -> Timestamp { return Timestamp(FromSeconds(500 + s)); }

auto Process(int daemon, int incarnation = 1) -> Reporter {
  return {InstanceId("d" + std::to_string(daemon)), Incarnation(incarnation)};
}

// Guards against counts that grow when a message comes twice or late, and
// against those of an earlier process that are lost with its restart.
TEST(WindowUsageTableTest, IsNotMisledByRepeatedReorderedAndRestarted) {
  WindowUsageTable hub(Process(0));
  const auto row = [](int incarnation, std::int64_t count) {
    return WindowUsageRow{Process(1, incarnation), kWindow, {{kShop, count}}};
  };
  hub.Merge({row(1, 3)}, false, At(0));
  hub.Merge({row(1, 7)}, false, At(0.1));
  hub.Merge({row(1, 3)}, false, At(0.2));
  hub.Merge({row(2, 2)}, false, At(0.3));
  hub.Count(kWindow, kShop, At(0.4));
  EXPECT_EQ(hub.Total(kWindow), (WindowCounts{{kShop, 10}}));
}

// Guards against counts that a new hub never learns because they were sent to
// the hub before it, although most messages are lost.
TEST(WindowUsageTableTest, TellsANewHubEverythingAlthoughMessagesAreLost) {
  Random random(7);
  WindowUsageTable daemon(Process(1));
  for (int i = 0; i < 300; ++i) {
    daemon.Count(UsageWindow(1000 + i / 100),
                 ClientAccountId("a" + std::to_string(i % 20)), At(0));
  }
  WindowUsageTable hub(Process(0));
  for (int i = 0; i < 80; ++i) {
    const auto rows = daemon.Share(At(10 + 0.15 * i));
    if (random.Below(10) < 5) hub.Merge(rows, false, At(10 + 0.15 * i));
  }
  std::int64_t sum = 0;
  for (int window = 1000; window < 1003; ++window) {
    for (const auto& [id, count] : hub.Total(UsageWindow(window))) sum += count;
  }
  EXPECT_EQ(sum, 300);
}

// Guards against a daemon that counts rows of its own twice when its former
// hub sends them back, and one that passes on what other hubs' daemons report.
TEST(WindowUsageTableTest, PassesOnlyTheRowsOfItsZoneOn) {
  WindowUsageTable daemon(Process(1));
  daemon.Merge({{Process(1), kWindow, {{kShop, 90}}}}, true, At(0));
  daemon.Merge({{Process(2), kWindow, {{kShop, 5}}}}, false, At(0));
  EXPECT_TRUE(daemon.Share(At(0)).empty());
  daemon.Merge({{Process(3), kWindow, {{kShop, 6}}}}, true, At(0));
  const auto shared = daemon.Share(At(0));
  ASSERT_EQ(shared.size(), 1U);
  EXPECT_EQ(shared[0].reporter.instance, InstanceId("d3"));
  EXPECT_EQ(daemon.Total(kWindow), (WindowCounts{{kShop, 11}}));
}

// The platform, the store, and holders of the duty that change, die, are
// paused between any two steps, and lose answers. The platform fails the test
// if it gets two reports of one window with different counts.
class DutyWorld {
 public:
  struct Faults {
    // Part of the store's changes that are made late or not at all, without an
    // answer, and of the reports without an answer.
    double lost = 0;
    // Part of the answers of the store and the platform that are late.
    double late = 0;
  };

  DutyWorld(std::uint64_t seed, int holders, Faults faults)
      : random_(seed), faults_(faults) {
    for (int i = 0; i < holders; ++i) holders_.push_back(MakeHolder());
  }

  auto Run(double seconds) -> void {
    const auto end = now_ + FromSeconds(seconds);
    while (now_ < end) {
      now_ += std::chrono::milliseconds(100);
      Tick();
    }
  }

  auto SetHolder(int index, bool holds) -> void {
    holders_[static_cast<std::size_t>(index)].holds = holds;
  }
  auto Kill(int index) -> void {
    holders_[static_cast<std::size_t>(index)] = MakeHolder();
  }
  auto Pause(int index, double seconds) -> void {
    holders_[static_cast<std::size_t>(index)].paused_until =
        now_ + FromSeconds(seconds);
  }
  auto SetPlatformAway(bool away) -> void { platform_away_ = away; }
  auto SetStoreAway(bool away) -> void { store_away_ = away; }
  // The store is as it was `seconds` ago, and its revisions are used again.
  auto RollBack(double seconds) -> void {
    while (history_.size() > 1 &&
           history_.back().first > now_ - FromSeconds(seconds)) {
      history_.pop_back();
    }
    stored_ = history_.back().second;
  }
  auto SetAnnouncementsLost(bool lost) -> void { announcements_lost_ = lost; }
  // Wall clock error of a holder, which the fleet's time did not mend.
  auto SetClockError(int index, double seconds) -> void {
    holders_[static_cast<std::size_t>(index)].clock_error =
        FromSeconds(seconds);
  }

  auto Random01() -> double { return random_.Uniform(); }
  auto Received() const -> const std::map<UsageWindow, WindowCounts>& {
    return received_;
  }
  auto Calls() const -> int { return calls_; }
  // Reports that differ from the first one of their window.
  auto Conflicts() const -> int { return conflicts_; }
  auto LateReports() const -> int { return late_reports_; }

 private:
  struct Holder {
    std::unique_ptr<UsageReporter> reporter;
    bool holds = false;
    bool had_predecessor = true;
    Timestamp paused_until{};
    Duration clock_error{0};
    // Answers on their way to it.
    std::deque<std::pair<Timestamp, std::function<void()>>> answers;
  };

  auto MakeHolder() -> Holder {
    Holder holder;
    holder.reporter = std::make_unique<UsageReporter>();
    return holder;
  }

  auto Time() const -> FleetTime {
    return FleetTime(std::chrono::hours(480'000) + now_.time_since_epoch());
  }

  auto Delay() -> Duration {
    return FromSeconds(random_.Uniform() < faults_.late ? 3 * random_.Uniform()
                                                        : 0.05);
  }

  auto Tick() -> void {
    while (!late_.empty() && late_.begin()->first <= now_) {
      const auto action = std::move(late_.begin()->second);
      late_.erase(late_.begin());
      action();
    }
    UsageWindow announced;
    for (auto& holder : holders_) {
      announced = std::max(announced, holder.reporter->Announced());
    }
    for (auto& holder : holders_) {
      if (now_ < holder.paused_until) continue;
      auto answers = std::exchange(holder.answers, {});
      for (auto& [at, action] : answers) {
        if (at > now_) {
          holder.answers.emplace_back(at, std::move(action));
        } else {
          action();
        }
      }
      if (announced > UsageWindow() && !announcements_lost_) {
        holder.reporter->OnAnnounced(announced, now_);
      }
      Step(holder);
    }
  }

  auto Step(Holder& holder) -> void {
    UsageReporter::Situation situation;
    situation.time = Time() + holder.clock_error;
    situation.holder = holder.holds;
    situation.had_predecessor = holder.had_predecessor;
    situation.counts_arrive = true;
    // Holders see different counts at different times.
    const auto total = [&](UsageWindow window) {
      return WindowCounts{
          {kShop, 1000 + window.Value() % 7 +
                      static_cast<std::int64_t>(random_.Below(50))}};
    };
    const auto action = holder.reporter->Step(situation, total, now_);
    if (!action) return;
    std::visit([&](const auto& typed) { Do(holder, typed); }, *action);
  }

  auto Reply(Holder& holder, std::function<void()> action) -> void {
    holder.answers.emplace_back(now_ + Delay(), std::move(action));
  }

  auto Do(Holder& holder, const ReadUsageReports&) -> void {
    auto* reporter = holder.reporter.get();
    if (store_away_ || random_.Uniform() < faults_.lost) {
      return Reply(holder, [=] { reporter->OnReadFailed(now_); });
    }
    Reply(holder, [=, record = stored_] { reporter->OnRead(record); });
  }

  auto Do(Holder& holder, const WriteUsageReports& write) -> void {
    auto* reporter = holder.reporter.get();
    const bool lost = random_.Uniform() < faults_.lost;
    if (store_away_ || lost) {
      if (!store_away_) {
        late_.emplace(now_ + FromSeconds(4 * random_.Uniform()),
                      [this, record = write.record] { Write(record); });
      }
      return Reply(holder, [=] { reporter->OnWriteFailed(now_); });
    }
    if (!Write(write.record)) {
      return Reply(holder, [=] { reporter->OnWriteFailed(now_); });
    }
    Reply(holder,
          [=, revision = stored_.revision] { reporter->OnWritten(revision); });
  }

  auto Write(const UsageReportRecord& record) -> bool {
    if (record.revision != stored_.revision) return false;
    stored_.windows = record.windows;
    ++stored_.revision;
    history_.emplace_back(now_, stored_);
    return true;
  }

  auto Do(Holder& holder, const SendUsageReport& report) -> void {
    auto* reporter = holder.reporter.get();
    ++calls_;
    const bool lost = random_.Uniform() < faults_.lost;
    if (!platform_away_) {
      // A call without an answer may be carried out seconds later.
      const auto delay = lost ? 5 * random_.Uniform() : 0.0;
      late_.emplace(now_ + FromSeconds(delay),
                    [this, report] { Receive(report); });
    }
    const bool taken = !platform_away_ && !lost;
    Reply(holder, [=] { reporter->OnSent(report.window, taken, now_); });
  }

  auto Receive(const SendUsageReport& report) -> void {
    const auto [found, added] = received_.emplace(report.window, report.counts);
    if (!added && found->second != report.counts) ++conflicts_;
    const auto end = std::chrono::seconds(5) * (report.window.Value() + 1);
    const auto age = Time().time_since_epoch() - end;
    if (added && age > std::chrono::seconds(10)) ++late_reports_;
  }

  Random random_;
  Faults faults_;
  Timestamp now_ = At(0);
  std::vector<Holder> holders_;
  UsageReportRecord stored_;
  std::vector<std::pair<Timestamp, UsageReportRecord>> history_{{At(0), {}}};
  std::multimap<Timestamp, std::function<void()>> late_;
  std::map<UsageWindow, WindowCounts> received_;
  int calls_ = 0;
  int conflicts_ = 0;
  int late_reports_ = 0;
  bool platform_away_ = false;
  bool store_away_ = false;
  bool announcements_lost_ = false;
};

// Guards against windows that are left out or reported late, and against more
// than one call for each window, when nothing fails.
TEST(UsageReporterTest, ReportsEachWindowOnceAndInTime) {
  DutyWorld world(1, 2, {});
  world.SetHolder(0, true);
  world.Run(100);
  EXPECT_GE(world.Received().size(), 19U);
  EXPECT_EQ(world.Calls(), static_cast<int>(world.Received().size()));
  EXPECT_EQ(world.LateReports(), 0);
  EXPECT_EQ(world.Conflicts(), 0);
}

// Guards against a report that is sent with other counts because the answer to
// the first one was lost, or the write before it was made late.
TEST(UsageReporterTest, RepeatsTheSameCountsWhenAnswersAreLost) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    DutyWorld world(seed, 2, {0.3, 0.2});
    world.SetHolder(0, true);
    world.Run(100);
    EXPECT_EQ(world.Conflicts(), 0) << "seed " << seed;
    EXPECT_GE(world.Received().size(), 15U) << "seed " << seed;
  }
}

// Guards against a successor that sends other counts for a window that a
// holder has written and was killed before sending, or has sent and was killed
// before it learned so. The holder dies at every tenth of a second of a window.
TEST(UsageReporterTest, SuccessorSendsWhatAKilledHolderHasWritten) {
  std::size_t fewest = 100;
  for (int tenth = 0; tenth < 50; ++tenth) {
    DutyWorld world(static_cast<std::uint64_t>(tenth + 1), 2, {0.1, 0.1});
    world.SetHolder(0, true);
    world.Run(30 + 0.1 * tenth);
    world.Kill(0);
    world.Run(5);
    world.SetHolder(1, true);
    world.Run(40);
    EXPECT_EQ(world.Conflicts(), 0) << "killed after 30 s and " << tenth;
    fewest = std::min(fewest, world.Received().size());
  }
  // 75 s have 14 windows that are due; the change may cost one and the start
  // one.
  EXPECT_GE(fewest, 12U);
}

// Guards against two daemons that both act as the holder, one of them paused
// between any two steps and not aware that it was replaced.
TEST(UsageReporterTest, TwoHoldersNeverReportDifferentCounts) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    DutyWorld world(seed, 3, {0.2, 0.3});
    for (int round = 0; round < 30; ++round) {
      for (int i = 0; i < 3; ++i) {
        if (world.Random01() < 0.4) world.SetHolder(i, world.Random01() < 0.5);
        if (world.Random01() < 0.2) world.Pause(i, 6 * world.Random01());
        if (world.Random01() < 0.05) world.Kill(i);
      }
      world.Run(5 * world.Random01());
    }
    EXPECT_EQ(world.Conflicts(), 0) << "seed " << seed;
  }
}

// Guards against a report that is composed anew because the store lost the
// first one with a restore from an older backup.
TEST(UsageReporterTest, KeepsItsCountsWhenTheStoreIsRestored) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    DutyWorld world(seed, 2, {0.1, 0.1});
    int holder = 0;
    world.SetHolder(0, true);
    for (int round = 0; round < 12; ++round) {
      world.Run(2 + 6 * world.Random01());
      world.RollBack(8 * world.Random01());
      if (world.Random01() < 0.5) continue;
      if (world.Random01() < 0.5) {
        world.Kill(holder);
      } else {
        world.SetHolder(holder, false);
      }
      world.Run(4.6);
      holder = 1 - holder;
      world.SetHolder(holder, true);
    }
    EXPECT_EQ(world.Conflicts(), 0) << "seed " << seed;
  }
}

// Guards against a holder that gives up while the platform is away for a
// moment, and one that calls it again and again.
TEST(UsageReporterTest, ReportsAfterThePlatformWasAway) {
  DutyWorld world(3, 2, {});
  world.SetHolder(0, true);
  world.Run(30);
  world.SetPlatformAway(true);
  const auto calls = world.Calls();
  world.Run(6);
  EXPECT_LE(world.Calls() - calls, 16);
  world.SetPlatformAway(false);
  world.Run(30);
  EXPECT_GE(world.Received().size(), 11U);
  EXPECT_EQ(world.LateReports(), 0);
}

// Guards against reports that were never stored and are sent nevertheless:
// without the store a successor could not know their counts.
TEST(UsageReporterTest, SendsNothingWithoutTheStore) {
  DutyWorld world(4, 2, {});
  world.SetStoreAway(true);
  world.SetHolder(0, true);
  world.Run(30);
  EXPECT_EQ(world.Calls(), 0);
  world.SetStoreAway(false);
  world.Run(30);
  EXPECT_GE(world.Received().size(), 5U);
}

// Guards against conflicting reports by holders that disagree on the time by
// seconds.
TEST(UsageReporterTest, HoldersWithClocksSecondsApartDoNotConflict) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    DutyWorld world(seed, 2, {0.1, 0.1});
    world.SetClockError(1, 8 * world.Random01() - 4);
    for (int i = 0; i < 8; ++i) {
      world.SetHolder(i % 2, true);
      world.Run(10 * world.Random01());
      world.SetHolder(i % 2, false);
      world.Run(4.6);
    }
    EXPECT_EQ(world.Conflicts(), 0) << "seed " << seed;
  }
}

// Guards against a daemon that knows neither its predecessor nor what it
// announced, and reports a window once more that the store has lost.
TEST(UsageReporterTest, LeavesOutUncertainWindowsAfterATakeover) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    DutyWorld world(seed, 2, {0.1, 0.1});
    world.SetAnnouncementsLost(true);
    world.SetHolder(0, true);
    world.Run(20 + 5 * world.Random01());
    world.SetHolder(0, false);
    world.Run(3);
    world.RollBack(12);
    world.SetHolder(1, true);
    world.Run(20);
    EXPECT_EQ(world.Conflicts(), 0) << "seed " << seed;
  }
}

}  // namespace
}  // namespace dotterellug
