#include <gtest/gtest.h>

#include "simulated_fleet.h"

namespace dotterellug::fleet {
namespace {

// The tests run 295 daemons in 6 zones with 247 upstreams and 40 client
// accounts, where each daemon gets 4.4 requests per second.

// The platform's bound for the tokens of an account in a window of 8 s.
constexpr double kWindowSeconds = 8;
constexpr double kBoundFactor = 1.1;
constexpr double kBoundSlack = 17'000;
// Fraction of requests below their account's limit that may be refused while
// datagrams are lost.
constexpr double kMaxRefusedFraction = 0.001;
// Daemons that use a hub, as its zone or as zone hubs, change it once when it
// fails.
constexpr int kMaxHubChanges = 50 + 6;
// A request waits this long for tokens, in seconds, and this long while no hub
// answers.
constexpr double kTokenWait = 0.12;
constexpr double kAnswerWait = 0.9;
constexpr Duration kPatience = std::chrono::milliseconds(120);

// Guards against a hub that receives the reports of all daemons. With this
// fault, its answers came later than the timeout, daemons changed their hub to
// and fro, and 45% of the requests below their limit were refused.
TEST(FleetScaleTest, FanInOf295DaemonsOverloadsNoHub) {
  SimulatedFleet fleet({});
  fleet.RunUntil(3);
  fleet.BeginMeasuring();
  fleet.RunUntil(9);
  EXPECT_EQ(fleet.HubChanges(), 0);
  EXPECT_LT(fleet.BusiestShare(), 1);
  EXPECT_GT(fleet.Requests().granted, 7000);
  EXPECT_EQ(fleet.Requests().refused, 0);
  EXPECT_LT(fleet.Requests().longest_wait, kTokenWait);
}

// Guards against a cost per daemon that grows with the fleet.
TEST(FleetScaleTest, LargerFleetLoadsItsBusiestHubNoMore) {
  const auto busiest = [](int daemons, int zones) {
    SimulatedFleet::Options options;
    options.daemons = daemons;
    options.zones = zones;
    SimulatedFleet fleet(options);
    fleet.RunUntil(2);
    fleet.BeginMeasuring();
    fleet.RunUntil(5);
    EXPECT_EQ(fleet.Requests().refused, 0);
    return fleet.BusiestShare();
  };
  EXPECT_LT(busiest(530, 12), 1.5 * busiest(295, 6));
}

// Guards against refusals, and against daemons that change to and fro, when a
// hub answers later than the timeout but still answers.
TEST(FleetScaleTest, HubThatAnswersLateIsReplacedOnce) {
  SimulatedFleet fleet({});
  fleet.RunUntil(3);
  const auto slow = fleet.MostChosenHub();
  fleet.SlowDown(slow, 1000);
  fleet.BeginMeasuring();
  fleet.RunUntil(18);
  EXPECT_LE(fleet.HubChanges(), kMaxHubChanges);
  EXPECT_LE(
      static_cast<double>(fleet.RefusedExceptAt(slow)),
      kMaxRefusedFraction * static_cast<double>(fleet.Requests().granted));
}

TEST(FleetScaleTest, DeathOfZoneHubRefusesNoRequestBelowLimit) {
  SimulatedFleet fleet({});
  fleet.RunUntil(3);
  fleet.Stop(fleet.MostChosenHub());
  fleet.BeginMeasuring();
  fleet.RunUntil(8);
  EXPECT_LE(fleet.HubChanges(), kMaxHubChanges);
  EXPECT_LT(fleet.Requests().longest_wait, kAnswerWait);
  EXPECT_LE(
      static_cast<double>(fleet.Requests().refused),
      kMaxRefusedFraction * static_cast<double>(fleet.Requests().granted));
}

// Guards against a request that is refused because one datagram was lost.
TEST(FleetScaleTest, LostGrantsAreRequestedAgain) {
  SimulatedFleet fleet({});
  fleet.LoseDatagrams(0.01);
  fleet.RunUntil(3);
  fleet.BeginMeasuring();
  fleet.RunUntil(9);
  EXPECT_LE(
      static_cast<double>(fleet.Requests().refused),
      kMaxRefusedFraction * static_cast<double>(fleet.Requests().granted));
}

// Guards against grants above a limit when two zones cannot reach each other
// while the others reach both, so that the zone hubs choose different fleet
// hubs. All accounts ask for three times their limit.
TEST(FleetScaleTest, GrantsStayWithinLimitWhileTwoZonesAreCut) {
  SimulatedFleet::Options options;
  options.limit_factor = 1.0 / 3;
  options.accounts = 4;
  SimulatedFleet fleet(options);
  const double rate =
      options.limit_factor * options.request_rate * options.daemons *
      static_cast<double>(options.request_tokens) / options.accounts;
  const double bound =
      (rate * kWindowSeconds + 2 * rate) * kBoundFactor + kBoundSlack;
  fleet.RunUntil(4);
  fleet.CutZones(0, 1);
  fleet.CutZones(2, 3);
  for (double now = 4; now <= 16; now += 0.5) {
    fleet.RunUntil(now);
    for (int account = 0; account < options.accounts; ++account) {
      ASSERT_LE(fleet.SpentOf(account, kWindowSeconds), bound);
    }
  }
}

// A zone hub in the tests below has the tokens that the test grants it.
class ZoneHubTest : public ::testing::Test {
 protected:
  static auto At(double s) -> Timestamp {
    return Timestamp(FromSeconds(1000 + s));
  }
  static auto Report(const char* from, std::int64_t sequence) -> FleetReport {
    FleetReport report;
    report.from = InstanceId(from);
    report.incarnation = Incarnation(1);
    report.sequence = sequence;
    report.level = HubLevel::kZone;
    return report;
  }

  const ClientAccountId account_{"shop"};
  GrantedTokens tokens_;
  ZoneHub hub_{std::chrono::seconds(1), tokens_};
};

TEST_F(ZoneHubTest, GrantsOnlyWhatItWasGranted) {
  tokens_.OnGrant({account_, 1000, Duration(0)}, At(0));
  auto report = Report("a", 1);
  report.token_requests = {{account_, 800, 800, kPatience}};
  EXPECT_EQ(hub_.OnReport(report, At(0)).grants.at(0).tokens, 800);
  report = Report("b", 1);
  report.token_requests = {{account_, 800, 800, kPatience}};
  EXPECT_TRUE(hub_.OnReport(report, At(0)).grants.empty());
  EXPECT_TRUE(hub_.HasUrgent());
  FleetReport own;
  hub_.AddUrgent(own, At(0));
  EXPECT_EQ(tokens_.TakeTokenRequests(At(0)).at(0).tokens, 600);
  EXPECT_TRUE(hub_.TakeAvailableGrants(At(0)).empty());
  tokens_.OnGrant({account_, 600, Duration(0)}, At(0.01));
  const auto grants = hub_.TakeAvailableGrants(At(0.01));
  ASSERT_EQ(grants.size(), 1U);
  EXPECT_EQ(grants.at(InstanceId("b")).at(0).tokens, 800);
  EXPECT_TRUE(hub_.TakeAvailableGrants(At(0.01)).empty());
  EXPECT_EQ(tokens_.Balance(account_), 0);
}

// Guards against requests that wait behind one whose caller has left, although
// the hub has tokens for them. With this fault, one request in nine was refused
// below its limit.
TEST_F(ZoneHubTest, ServesRequestBehindExpiredOne) {
  auto report = Report("a", 1);
  report.token_requests = {{account_, 800, 800, kPatience}};
  EXPECT_TRUE(hub_.OnReport(report, At(0)).grants.empty());
  tokens_.OnGrant({account_, 1000, Duration(0)}, At(0.3));
  report = Report("b", 1);
  report.token_requests = {{account_, 900, 900, kPatience}};
  const auto grants = hub_.OnReport(report, At(0.3)).grants;
  ASSERT_EQ(grants.size(), 1U);
  EXPECT_EQ(grants[0].tokens, 900);
}

// Guards against callers who wait although the fleet hub has refused tokens.
TEST_F(ZoneHubTest, PassesOnThatAccountIsExhausted) {
  auto report = Report("a", 1);
  report.token_requests = {{account_, 800, 800, kPatience}};
  hub_.OnReport(report, At(0));
  tokens_.OnGrant({account_, 0, std::chrono::milliseconds(90)}, At(0.01));
  const auto grant =
      hub_.TakeAvailableGrants(At(0.01)).at(InstanceId("a")).at(0);
  EXPECT_EQ(grant.tokens, 0);
  EXPECT_GT(grant.time_until_available, Duration(0));
}

TEST_F(ZoneHubTest, RepeatedRequestReplacesWaitingOne) {
  auto report = Report("a", 1);
  report.token_requests = {{account_, 800, 800, kPatience}};
  hub_.OnReport(report, At(0));
  report.sequence = 2;
  report.urgent_only = true;
  hub_.OnReport(report, At(0.05));
  FleetReport own;
  hub_.AddUrgent(own, At(0.05));
  EXPECT_EQ(tokens_.TakeTokenRequests(At(0.05)).at(0).tokens, 800);
  // Its caller has been refused by now.
  EXPECT_TRUE(hub_.TakeAvailableGrants(At(0.5)).empty());
  EXPECT_FALSE(hub_.HasUrgent());
}

TEST_F(ZoneHubTest, AddsReportsToItsOwnAndExcludesReceiverFromLoads) {
  const UpstreamId upstream("u");
  auto report = Report("a", 1);
  report.upstreams = {{upstream, 2, 200, 20}};
  report.models = {{ModelId("m"), 100, 50'000}};
  report.unreachable = {UpstreamId("v")};
  hub_.OnReport(report, At(0));
  report = Report("b", 1);
  report.upstreams = {{upstream, 1, 100, 10}};
  report.unreachable = {UpstreamId("v")};
  hub_.SetOtherZonesLoads({{upstream, 5, 500, 50}});
  const auto summary = hub_.OnReport(report, At(0));
  EXPECT_EQ(summary.other_daemons_loads.at(0).requests, 7);
  // An urgent report leaves the recorded state as it is.
  auto urgent = Report("b", 2);
  urgent.urgent_only = true;
  EXPECT_TRUE(hub_.OnReport(urgent, At(0.1)).grants_only);
  auto own = Report("h", 1);
  own.upstreams = {{upstream, 4, 400, 40}};
  hub_.AddReports(own, At(0.2));
  EXPECT_EQ(own.upstreams.at(0).requests, 7);
  EXPECT_EQ(own.models.at(0).tokens_per_second, 100);
  EXPECT_EQ(own.included_daemons.size(), 2U);
  EXPECT_EQ(own.unreachable.size(), 2U);
  // Reports older than the TTL are not included.
  own = Report("h", 2);
  hub_.AddReports(own, At(3));
  EXPECT_TRUE(own.upstreams.empty());
  EXPECT_TRUE(own.included_daemons.empty());
}

// Guards against a share of a limit that is granted twice, because two reports
// include the same daemon while it changes its zone hub.
TEST(ReportAggregatorTest, CountsDaemonInTwoReportsOnce) {
  ReportAggregator reports(std::chrono::seconds(1));
  const Timestamp now(std::chrono::seconds(1000));
  FleetReport report;
  report.from = InstanceId("h1");
  report.sequence = 1;
  report.included_daemons = {InstanceId("a"), InstanceId("b")};
  reports.Record(report, now);
  report.from = InstanceId("h2");
  report.included_daemons = {InstanceId("b"), InstanceId("c")};
  reports.Record(report, now);
  EXPECT_EQ(reports.DaemonCount(), 5);
  EXPECT_EQ(reports.LastReport(InstanceId("c")), now);
  report.sequence = 2;
  report.included_daemons = {InstanceId("c")};
  reports.Record(report, now + std::chrono::milliseconds(900));
  EXPECT_EQ(reports.DaemonCount(), 5);
  reports.Expire(now + std::chrono::milliseconds(1500));
  EXPECT_EQ(reports.DaemonCount(), 2);
  EXPECT_FALSE(reports.LastReport(InstanceId("d")));
}

}  // namespace
}  // namespace dotterellug::fleet
