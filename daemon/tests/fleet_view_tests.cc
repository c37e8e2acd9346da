#include <gtest/gtest.h>

#include "daemon/control/fleet_view.h"

namespace dotterellug {
namespace {

constexpr std::int64_t kCold = 2;
constexpr std::int64_t kWarm = 32;

auto OneEngineSnapshot() -> SharedSnapshot {
  ServingDocument document;
  document.zones[AvailabilityZoneId("a")] = {AvailabilityZoneId("a"), false};
  Upstream upstream;
  upstream.id = UpstreamId("engine");
  upstream.zone = AvailabilityZoneId("a");
  upstream.cold_concurrency = kCold;
  upstream.warm_concurrency = kWarm;
  document.upstreams[upstream.id] = upstream;
  const auto key = DigestKey::FromHex(std::string(64, 'a'));
  return MakeSnapshot(RevisionNumber(1), document, *key);
}

auto Report(std::int64_t completed, std::int64_t incarnation = 1)
    -> UpstreamObservation {
  UpstreamObservation observation;
  observation.upstream = UpstreamId("engine");
  observation.reachable = true;
  observation.incarnation = Incarnation(incarnation);
  observation.completed = completed;
  observation.models = {ModelId("chat")};
  return observation;
}

auto Daemons(int count) -> std::set<InstanceId> {
  std::set<InstanceId> daemons;
  for (int i = 0; i < count; ++i) {
    daemons.insert(InstanceId("entry-" + std::to_string(i)));
  }
  return daemons;
}

// Guards against daemons that together send a cold upstream more than it bears.
TEST(FleetViewTest, PartsOfAllDaemonsAddUpToTheAllowance) {
  for (const int count : {1, 3, 8, 9}) {
    for (const std::int64_t completed : {0, 2, 6, 14, 1000}) {
      std::int64_t sum = 0;
      std::int64_t concurrency_limit = 0;
      for (const auto& daemon : Daemons(count)) {
        FleetView fleet;
        fleet.SetSnapshot(OneEngineSnapshot());
        fleet.SetDaemons(daemon, Daemons(count));
        fleet.Observe(Report(completed), Timestamp());
        sum += fleet.PartOf(UpstreamId("engine"));
        concurrency_limit = fleet.ConcurrencyLimit(UpstreamId("engine"));
      }
      EXPECT_EQ(sum, concurrency_limit) << count << " daemons, " << completed;
    }
  }
}

// Guards against a ramp that never grows, jumps, or survives a restart of the
// upstream.
TEST(FleetViewTest, AllowanceDoublesWithResponsesAndRestartsCold) {
  FleetView fleet;
  fleet.SetSnapshot(OneEngineSnapshot());
  const auto allowance_after = [&fleet](const UpstreamObservation& report) {
    fleet.Observe(report, Timestamp());
    return fleet.ConcurrencyLimit(UpstreamId("engine"));
  };
  EXPECT_EQ(allowance_after(Report(0)), kCold);
  EXPECT_EQ(allowance_after(Report(1)), kCold);
  EXPECT_EQ(allowance_after(Report(2)), 2 * kCold);
  EXPECT_EQ(allowance_after(Report(6)), 4 * kCold);
  EXPECT_EQ(allowance_after(Report(100'000)), kWarm);
  EXPECT_EQ(allowance_after(Report(0, 2)), kCold);
}

// Guards against a plain service without such counts that stays cold for good.
TEST(FleetViewTest, UpstreamThatReportsNoCountsIsWarm) {
  FleetView fleet;
  fleet.SetSnapshot(OneEngineSnapshot());
  auto report = Report(0);
  report.completed.reset();
  fleet.Observe(report, Timestamp());
  EXPECT_EQ(fleet.ConcurrencyLimit(UpstreamId("engine")), kWarm);
}

// Guards against new work for an upstream that has been silent or leaves.
TEST(FleetViewTest, SilentAndLeavingUpstreamsGetNoWork) {
  FleetView fleet;
  fleet.SetSnapshot(OneEngineSnapshot());
  const auto has_candidates = [&fleet] {
    const auto table = fleet.BuildTable(nullptr);
    const auto* candidates =
        table->ForModel(ModelId("chat"), RequestPhase::kPrefillAndDecode);
    return candidates != nullptr && !candidates->empty();
  };
  const Timestamp start(std::chrono::seconds(100));
  EXPECT_FALSE(has_candidates());
  EXPECT_TRUE(fleet.Observe(Report(0), start));
  EXPECT_TRUE(has_candidates());
  EXPECT_TRUE(fleet.SetLeaving({UpstreamId("engine")}));
  EXPECT_FALSE(has_candidates());
  EXPECT_TRUE(fleet.SetLeaving({}));
  EXPECT_TRUE(has_candidates());
  EXPECT_FALSE(fleet.Expire(start + FleetView::kSilenceLimit));
  EXPECT_TRUE(fleet.Expire(start + FleetView::kSilenceLimit + Duration(1)));
  EXPECT_FALSE(has_candidates());
}

}  // namespace
}  // namespace dotterellug
