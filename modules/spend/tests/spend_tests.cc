#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <map>
#include <optional>

#include "core/random/random.h"
#include "core/variant/overloaded.h"
#include "spend/spend.h"

namespace dotterellug {
namespace {

const UsageKey kKey{ClientAccountId("account"), ModelId("model"), "standard"};
const DayNumber kDay{20'000};
const ObjectVersion kNoVersion{0};

auto OneRequest() -> Usage {
  return {AcceleratorTime(1000), Tokens(10), Tokens(20), 1};
}

// Daemons, two successive owners and one stored object per day, with lost,
// repeated and reordered messages and uncertain writes.
class UsageFleet {
 public:
  explicit UsageFleet(std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < 3; ++i) {
      counters.emplace_back(InstanceId(std::to_string(i)), Incarnation(1));
    }
  }

  auto Run(int seconds, bool faults) -> void {
    for (int i = 0; i < seconds; ++i) {
      now_ += std::chrono::seconds(1);
      Tick(faults);
    }
  }
  auto StoredRequests() const -> std::int64_t {
    std::int64_t sum = 0;
    for (const auto& [day, object] : store_) {
      if (object.version == kNoVersion) continue;
      sum += DayUsage::Decode(object.text).value().Total().requests;
    }
    return sum;
  }

  // Requests in reports that the stored objects do not contain.
  auto PendingRequests() const -> std::int64_t {
    std::int64_t sum = 0;
    for (const auto& counter : counters) {
      for (const auto& report : counter.Unstored()) {
        const auto found = store_.find(report.day);
        std::int64_t last = 0;
        if (found != store_.end() && found->second.version != kNoVersion) {
          const auto day = DayUsage::Decode(found->second.text).value();
          last = day.LastOf(report.reporter);
        }
        if (report.sequence <= last) continue;
        for (const auto& [key, usage] : report.usage) sum += usage.requests;
      }
    }
    return sum;
  }

  std::deque<UsageCounter> counters;
  std::int64_t requests = 0;
  std::int64_t writes = 0;
  std::int64_t reads = 0;

 private:
  struct Object {
    ObjectVersion version;
    std::string text;
  };

  auto Chance(double probability) -> bool {
    return random_.Uniform() < probability;
  }

  auto Tick(bool faults) -> void {
    // A day of 300 s, so that several days end within a run.
    const auto second = now_.time_since_epoch().count() / 1'000'000;
    const DayNumber day(kDay.Value() + second / 300);
    for (auto& counter : counters) {
      counter.Add(day, kKey, OneRequest());
      ++requests;
      if (second % 30 == 0) counter.CloseReport();
      if (second % 10 != 0) continue;
      for (const auto& report : counter.Unstored()) Send(report, faults);
    }
    if (faults && Chance(0.01)) ledger_ = UsageLedger();
    for (const auto& action : ledger_.Step(now_)) {
      std::visit(
          Overloaded{[&](const ReadDay& read) { Read(read); },
                     [&](const WriteDay& write) { Write(write, faults); },
                     [&](const AcknowledgeReport& done) {
                       if (faults && Chance(0.3)) return;
                       Acknowledge(done);
                     }},
          action);
    }
  }

  auto Send(const UsageReport& report, bool faults) -> void {
    if (faults && Chance(0.3)) return;
    ledger_.Handle(now_, report);
    if (faults && Chance(0.3)) ledger_.Handle(now_, report);
  }
  auto Acknowledge(const AcknowledgeReport& done) -> void {
    for (auto& counter : counters) {
      const auto& reports = counter.Unstored();
      if (reports.empty()) continue;
      if (reports.front().reporter == done.reporter) {
        counter.Acknowledge(done.sequence);
      }
    }
  }

  auto Read(const ReadDay& read) -> void {
    ++reads;
    const auto found = store_.find(read.day);
    if (found == store_.end() || found->second.version == kNoVersion) {
      ledger_.Handle(now_, DayRead{read.day, kNoVersion, {}});
      return;
    }
    ledger_.Handle(now_, DayRead{read.day, found->second.version,
                                 DayUsage::Decode(found->second.text).value()});
  }
  auto Write(const WriteDay& write, bool faults) -> void {
    ++writes;
    auto& object = store_[write.day];
    const bool rejected = object.version != write.expected;
    const bool lost = faults && Chance(0.1);
    if (!rejected && !lost) {
      object.version = object.version.Next();
      object.text = write.usage.Encode();
    }
    if (rejected || lost || (faults && Chance(0.2))) {
      ledger_.Handle(now_, DayUncertain{write.day});
    } else {
      ledger_.Handle(now_, DayWritten{write.day, object.version});
    }
  }

  Random random_;
  Timestamp now_;
  UsageLedger ledger_;
  std::map<DayNumber, Object> store_;
};

// Guards against usage that is counted twice or skipped when reports, writes,
// their responses and acknowledgements are lost or repeated and owners change.
TEST(UsageProperty, EveryRequestIsStoredOnce) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    UsageFleet fleet(seed);
    fleet.Run(1200, true);
    for (auto& counter : fleet.counters) counter.CloseReport();
    fleet.Run(120, false);
    for (auto& counter : fleet.counters) counter.CloseReport();
    EXPECT_EQ(fleet.StoredRequests() + fleet.PendingRequests(), fleet.requests)
        << "seed " << seed;
    EXPECT_LE(fleet.PendingRequests(), 3 * 60) << "seed " << seed;
  }
}

// Guards against a dead daemon that loses more than a minute, and against
// store calls that grow with the number of daemons.
TEST(UsageProperty, DeadDaemonLosesAtMostAMinuteAndCallsAreFew) {
  for (int lifetime = 250; lifetime < 290; ++lifetime) {
    UsageFleet fleet(1);
    fleet.Run(lifetime, false);
    const auto used = fleet.requests;
    // The daemons die here; the owner stores what it has.
    fleet.counters.clear();
    fleet.Run(60, false);
    EXPECT_LE(used - fleet.StoredRequests(), 3 * 60);
    EXPECT_LE(fleet.writes, (lifetime + 60) / 20 + 2);
    EXPECT_LE(fleet.reads, 2);
  }
}

// Guards against usage lost by a new process of the same instance.
TEST(DayUsageTest, IncarnationsCountSeparatelyAndReplaysOnce) {
  UsageCounter first(InstanceId("one"), Incarnation(1));
  UsageCounter second(InstanceId("one"), Incarnation(2));
  first.Add(kDay, kKey, OneRequest());
  first.CloseReport();
  first.Add(kDay, kKey, OneRequest());
  first.CloseReport();
  second.Add(kDay, kKey, OneRequest());
  second.CloseReport();
  DayUsage day;
  EXPECT_FALSE(day.Add(first.Unstored()[1]));
  EXPECT_TRUE(day.Add(second.Unstored()[0]));
  EXPECT_TRUE(day.Add(first.Unstored()[0]));
  EXPECT_TRUE(day.Add(first.Unstored()[1]));
  EXPECT_FALSE(day.Add(first.Unstored()[0]));
  EXPECT_FALSE(day.Add(second.Unstored()[0]));
  EXPECT_EQ(day.Total().requests, 3);
  EXPECT_EQ(DayUsage::Decode(day.Encode()).value(), day);
  EXPECT_EQ(DayUsage::Decode("[]").error().kind, ErrorKind::kProtocol);
}

// Guards against idle and cold time that no account pays for, and against days
// of other months in the sum.
TEST(MonthlyReportTest, AccountsShareIdleAndColdTime) {
  constexpr std::int64_t kHour = 3'600'000'000;
  const CalendarMonth february{2028, 2};
  EXPECT_EQ(february.Days(), 29);
  EXPECT_EQ((CalendarMonth{2026, 12}.Next().FirstDay()), DayNumber(20'819));
  UsageReport report{{InstanceId("one"), Incarnation(1)}, 1, 0, kDay, {}, {}};
  report.usage[kKey].busy = AcceleratorTime(30 * kHour);
  const UsageKey other{ClientAccountId("other"), ModelId("model"), "batch"};
  report.usage[other].busy = AcceleratorTime(10 * kHour);
  report.overhead = {AcceleratorTime(16 * kHour), AcceleratorTime(4 * kHour)};
  DayUsage day;
  day.Add(report);
  const auto first = february.FirstDay();
  const auto month = ReportMonth(february,
                                 {{first, day},
                                  {DayNumber(first.Value() - 1), day},
                                  {DayNumber(first.Value() + 29), day}},
                                 2.0);
  EXPECT_EQ(month.days_with_usage, 1);
  EXPECT_NEAR(month.total_cost, 120, 1e-9);
  EXPECT_NEAR(month.idle_part, 16.0 / 60, 1e-9);
  double cost = 0;
  for (const auto& [id, account] : month.accounts) cost += account.cost;
  EXPECT_NEAR(cost, month.total_cost, 1e-9);
  EXPECT_NEAR(month.accounts.at(other.account).cost, 30, 1e-9);
}

auto History(std::int64_t first, std::int64_t count, double growth)
    -> std::vector<DailyHours> {
  std::vector<DailyHours> days;
  for (std::int64_t day = first; day < first + count; ++day) {
    const auto weekend = day % 7 == 2 || day % 7 == 3 ? 0.6 : 1.0;
    const auto level = std::exp(growth * static_cast<double>(day - first));
    days.push_back({DayNumber(day), 1000 * weekend * level});
  }
  return days;
}

// Guards against a forecast that ignores growth or the weekly pattern, or whose
// range excludes the truth on a regular history.
TEST(ForecastTest, FollowsGrowthAndWeek) {
  const CalendarMonth month{2027, 3};
  const auto first = month.FirstDay().Value();
  const auto days = History(first - 70, 70 + month.Days(), 0.004);
  double actual = 0;
  for (const auto& day : days) {
    if (day.day.Value() >= first) actual += day.hours;
  }
  const auto forecast = ForecastMonth(month, days).value();
  EXPECT_NEAR(forecast.hours / actual, 1, 0.001);
  EXPECT_LE(forecast.low, forecast.hours);
  EXPECT_GE(forecast.high, forecast.hours);
}

// Guards against a forecast from too little data that looks reliable.
TEST(ForecastTest, ShortHistoryIsAnError) {
  const CalendarMonth month{2027, 3};
  const auto days = History(month.FirstDay().Value() - 13, 13, 0);
  EXPECT_EQ(ForecastMonth(month, days).error().kind,
            ErrorKind::kInvalidArgument);
}

// Guards against a stated range that does not hold: on noisy histories with
// growth it has to cover at least the stated part, and not by being useless.
TEST(ForecastProperty, RangeCoversAsStated) {
  const CalendarMonth month{2027, 3};
  const auto first = month.FirstDay().Value();
  int covered = 0;
  double width = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Random random(seed);
    auto days = History(first - 120, 120 + month.Days(), 0.003);
    double actual = 0;
    for (auto& day : days) {
      day.hours *= 0.9 + 0.2 * random.Uniform();
      if (day.day.Value() >= first) actual += day.hours;
    }
    const auto forecast = ForecastMonth(month, days).value();
    covered += forecast.low <= actual && actual <= forecast.high ? 1 : 0;
    width += (forecast.high - forecast.low) / forecast.hours / 200;
  }
  EXPECT_GE(covered, 160);
  EXPECT_LE(width, 0.3);
}

}  // namespace
}  // namespace dotterellug
