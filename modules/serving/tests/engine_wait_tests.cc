#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <set>
#include <string>

#include "serving/serving.h"

namespace dotterellug::serving {
namespace {

using std::chrono::milliseconds;

const PoolId kPool("p");

// Requests of 1.5 s at engines without a queue, of priorities 0 and 2 in equal
// parts.
auto Observed() -> EngineWait {
  EngineWait wait;
  for (int i = 0; i < 100; ++i) {
    wait.Observe(kPool, 0, "chat", milliseconds(50), true, milliseconds(1450));
    wait.Observe(kPool, 2, "draft", milliseconds(50), true, milliseconds(1450));
  }
  return wait;
}

// Guards against limits that follow from no observation.
TEST(EngineWaitTest, AllowsTheLongestQueueWhileNothingIsKnown) {
  EngineWait wait;
  EXPECT_EQ(wait.QueueFraction(kPool, 0, milliseconds(100), 1.0), 1.0);
  EXPECT_FALSE(wait.SlotTime("chat"));
  EXPECT_EQ(wait.FirstEvent("chat"), Duration::zero());
}

// Guards against requests that wait at an engine behind so many others that
// they are late: with 16 slots of 1.5 s, 0.15 of the slots are 2.4 requests,
// which start within 225 ms.
TEST(EngineWaitTest, BoundsTheQueueByTheTimeInIt) {
  auto wait = Observed();
  wait.AddUnanswered(kPool, 0, 4);
  EXPECT_NEAR(wait.QueueFraction(kPool, 0, milliseconds(225), 1.0), 0.15, 0.01);
  EXPECT_EQ(wait.QueueFraction(kPool, 0, milliseconds(0), 1.0), 0.0);
  EXPECT_EQ(wait.QueueFraction(kPool, 0, milliseconds(9000), 1.0), 1.0);
}

// Guards against patient requests at an engine that keep urgent ones out,
// although the engine admits the urgent ones first.
TEST(EngineWaitTest, LessUrgentRequestsDoNotCountAgainstMoreUrgentOnes) {
  auto wait = Observed();
  wait.AddUnanswered(kPool, 0, 4);
  wait.AddUnanswered(kPool, 2, 4);
  EXPECT_NEAR(wait.QueueFraction(kPool, 0, milliseconds(225), 1.0), 0.3, 0.02);
  // Half of the slots that become free go to more urgent requests.
  EXPECT_NEAR(wait.QueueFraction(kPool, 2, milliseconds(400), 1.0), 0.133,
              0.02);
}

// Guards against waits at engines that are learned as the time that a request
// needs, which would make the queue seem shorter the longer it is.
TEST(EngineWaitTest, WaitsAtEnginesDoNotRaiseTheUsualTimes) {
  auto wait = Observed();
  for (int i = 0; i < 200; ++i) {
    wait.Observe(kPool, 0, "chat", milliseconds(1300), false,
                 milliseconds(1450));
  }
  EXPECT_NEAR(ToSeconds(wait.FirstEvent("chat")), 0.05, 0.001);
  EXPECT_NEAR(ToSeconds(*wait.SlotTime("chat")), 1.5, 0.01);
}

// Guards against daemons that all choose the same busy upstream, against
// suspected upstreams that are preferred, and against a changed order while
// there are free slots.
TEST(CandidateSampleTest, SpreadsOverBusyUpstreamsOnly) {
  const auto now = Timestamp(std::chrono::seconds(100));
  const auto candidates = [&](std::int64_t requests) {
    UpstreamSelector::Candidates made;
    for (int i = 0; i < 40; ++i) {
      UpstreamRecord record;
      record.id = UpstreamId(std::to_string(i));
      record.slots = 16;
      auto view = std::make_shared<UpstreamView>(record);
      view->requests = requests;
      made.push_back({view, std::nullopt});
    }
    auto& last = *made.back().upstream;
    for (int i = 0; i < 4; ++i) last.RecordUnreachable(now);
    return made;
  };
  Random random(1);
  std::set<std::string> first;
  for (int i = 0; i < 200; ++i) {
    const auto busy = SpreadOverBusy(candidates(16), random, now);
    ASSERT_EQ(busy.size(), 40U);
    first.insert(busy.front().upstream->record.id.Value());
    const auto idle = SpreadOverBusy(candidates(4), random, now);
    EXPECT_EQ(idle.front().upstream->record.id, UpstreamId("0"));
  }
  EXPECT_GT(first.size(), 8U);
  EXPECT_EQ(first.count("39"), 0U);
}

// Guards against pools that are served in a new order although nothing asks for
// it, and against pools whose routes differ in one respect only.
TEST(EngineWaitTest, PoolsAreOrderedIfTheirRoutesDiffer) {
  const auto differs = [](int priority, Duration target) {
    ServingCatalog catalog;
    ServiceRoute first;
    first.name = "a";
    first.path_prefix = "/a/";
    first.priority = 1;
    first.latency_target = milliseconds(400);
    first.pools = {{kPool, 1}};
    auto second = first;
    second.name = "b";
    second.path_prefix = "/b/";
    second.priority = priority;
    second.latency_target = target;
    auto other = first;
    other.path_prefix = "/c/";
    other.priority = 7;
    other.pools = {{PoolId("other"), 1}};
    for (const auto& route : {first, second, other}) catalog.AddRoute(route);
    EXPECT_FALSE(catalog.HasUnequalRoutes(PoolId("other")));
    return catalog.HasUnequalRoutes(kPool);
  };
  EXPECT_FALSE(differs(1, milliseconds(400)));
  EXPECT_TRUE(differs(0, milliseconds(400)));
  EXPECT_TRUE(differs(1, milliseconds(1500)));
}

}  // namespace
}  // namespace dotterellug::serving
