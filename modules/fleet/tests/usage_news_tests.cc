#include <gtest/gtest.h>

#include <string>

#include "fleet/fleet.h"

namespace dotterellug::fleet {
namespace {

auto At(double s) -> Timestamp { return Timestamp(FromSeconds(1000 + s)); }
auto Wall(double s) -> FleetTime {
  return FleetTime(std::chrono::hours(480'000) + FromSeconds(s));
}
auto Daemon(int index) -> InstanceId {
  return InstanceId("westlands-entry-" + std::to_string(index));
}

// Milliseconds by which `clock` is off at `s`, when the true time is Wall(s).
auto ErrorMs(const FleetClock& clock, double s) -> double {
  return 1000 * ToSeconds(*clock.Now(At(s)) - Wall(s));
}

// Guards against windows that begin late or early because the wall clock jumps
// by seconds and comes back.
TEST(FleetClockTest, AJumpOfTheWallClockChangesNothing) {
  FleetClock clock;
  for (int s = 0; s < 40; ++s) {
    const bool off = s >= 10 && s < 30;
    clock.OnWallClock(Wall(s + (off ? 7.5 : 0)), At(s));
    EXPECT_NEAR(ErrorMs(clock, s + 0.5), 0, 1);
  }
}

// Guards against a clock that was set right and is never believed.
TEST(FleetClockTest, ALastingChangeIsFollowed) {
  FleetClock clock;
  clock.OnWallClock(Wall(-9), At(0));
  for (int s = 1; s < 100; ++s) clock.OnWallClock(Wall(s), At(s));
  EXPECT_NEAR(ErrorMs(clock, 100), 0, 1);
}

// Guards against a hub whose own clock is wrong since its start and that makes
// all others wrong.
TEST(FleetClockTest, AHubWithAWrongClockTakesTheMedian) {
  FleetClock hub;
  hub.OnWallClock(Wall(4), At(0));
  for (int i = 0; i < 6; ++i) {
    const double error = i == 0 ? -6 : 0.001 * i;
    hub.OnReport(Daemon(i), Wall(1 + error), At(1));
  }
  EXPECT_NEAR(ErrorMs(hub, 1), 0, 6);
  FleetClock daemon;
  daemon.OnWallClock(Wall(-3), At(1));
  daemon.OnHubTime(*hub.Now(At(1)), At(1));
  EXPECT_NEAR(ErrorMs(daemon, 2), 0, 6);
  // Without a hub for long, its own reading is all that it has.
  EXPECT_NEAR(ErrorMs(daemon, 30), -4000, 6);
}

// Guards against a daemon of the version before that rejects reports with news
// of usage, and against one that invents them.
TEST(FleetCodecTest, RoundTripsTheNewsOfUsage) {
  UsageNews news;
  news.time = Wall(3);
  news.announced_window = UsageWindow(353'445'120);
  for (int i = 0; i < 3; ++i) {
    WindowUsageRow row;
    row.reporter = {Daemon(i), Incarnation(17)};
    row.window = UsageWindow(353'445'121);
    row.counts = {{ClientAccountId("a"), i}, {ClientAccountId("b"), 400}};
    news.rows.push_back(row);
  }
  FleetReport report;
  report.from = Daemon(0);
  report.usage = news;
  FleetSummary summary;
  summary.usage = UsageNews{Wall(4), UsageWindow(9), {}};
  const auto decoded = DecodeFleetMessage(EncodeFleetMessage(report));
  const auto other = DecodeFleetMessage(EncodeFleetMessage(summary));
  ASSERT_TRUE(decoded && other);
  const auto& copy = std::get<FleetReport>(*decoded).usage;
  ASSERT_TRUE(copy);
  EXPECT_EQ(copy->time, news.time);
  EXPECT_EQ(copy->announced_window, news.announced_window);
  ASSERT_EQ(copy->rows.size(), 3U);
  EXPECT_EQ(copy->rows[2].reporter, news.rows[2].reporter);
  EXPECT_EQ(copy->rows[2].window, news.rows[2].window);
  EXPECT_EQ(copy->rows[2].counts, news.rows[2].counts);
  const auto& answer = std::get<FleetSummary>(*other).usage;
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->time, Wall(4));
  EXPECT_EQ(answer->announced_window, UsageWindow(9));
  report.usage.reset();
  const auto without = DecodeFleetMessage(EncodeFleetMessage(report));
  EXPECT_FALSE(std::get<FleetReport>(*without).usage);
}

// Guards against a zone hub whose report of usage does not fit a datagram: 90
// daemons with 40 accounts each in two windows, all changed lately.
TEST(FleetCodecTest, UsageOfALargeZoneFitsADatagram) {
  WindowUsageTable hub({Daemon(0), Incarnation(1)});
  for (int i = 1; i <= 90; ++i) {
    WindowUsageRow row;
    row.reporter = {Daemon(i), Incarnation(1'790'000'000'000)};
    for (int account = 0; account < 40; ++account) {
      row.counts[ClientAccountId("account-" + std::to_string(account))] = 300;
    }
    for (int window = 0; window < 2; ++window) {
      row.window = UsageWindow(353'445'120 + window);
      hub.Merge({row}, true, At(0));
    }
  }
  FleetReport report;
  report.usage = UsageNews{Wall(0), UsageWindow(1), hub.Share(At(0))};
  EXPECT_LT(EncodeFleetMessage(report).size(), 40'000U);
  // In a quiet moment a report has an eighth of it.
  report.usage->rows = hub.Share(At(5));
  EXPECT_LT(EncodeFleetMessage(report).size(), 8'000U);
}

}  // namespace
}  // namespace dotterellug::fleet
