#include <gtest/gtest.h>

#include "placement/placement.h"

namespace dotterellug {
namespace {

auto At(std::int64_t seconds) -> Timestamp {
  return Timestamp(std::chrono::seconds(seconds));
}

const ModelId kModel("model");

// Guards against counting duplicate reports twice, and against a merged
// estimate that differs from one that received all reports.
TEST(DemandTest, CountsDuplicateReportsOnceAndMergesEstimates) {
  DemandEstimator all;
  DemandEstimator first;
  DemandEstimator second;
  DemandCounter one(InstanceId("one"), Incarnation(1));
  DemandCounter two(InstanceId("two"), Incarnation(1));
  for (int elapsed_seconds = 1; elapsed_seconds <= 600; ++elapsed_seconds) {
    one.Add(kModel, {Tokens(60), Tokens(20), Tokens(20)});
    two.Add(kModel, {Tokens(50), Tokens(0), Tokens(0)});
    const auto from_one = one.TakeReport();
    const auto from_two = two.TakeReport();
    EXPECT_TRUE(all.Apply(At(elapsed_seconds), from_one));
    EXPECT_FALSE(all.Apply(At(elapsed_seconds), from_one));
    EXPECT_TRUE(all.Apply(At(elapsed_seconds), from_two));
    first.Apply(At(elapsed_seconds), from_one);
    second.Apply(At(elapsed_seconds), from_two);
  }
  first.Merge(At(600), second);
  const auto rate = all.Rate(At(600), kModel);
  EXPECT_NEAR(first.Rate(At(600), kModel).fast, rate.fast, 1e-6);
  EXPECT_NEAR(rate.fast, 150, 15);
  // After demand stops, the slow window still retains the model's copies.
  const auto later = all.Rate(At(660), kModel);
  EXPECT_LT(later.fast, 1);
  EXPECT_GT(later.PlanningRate(), 50);
}

// Guards against late reports of an earlier process of the same instance.
TEST(DemandTest, IgnoresReportsOfAnOlderIncarnation) {
  DemandEstimator estimator;
  EXPECT_TRUE(
      estimator.Apply(At(1), {InstanceId("one"), Incarnation(2), 1, {}}));
  EXPECT_FALSE(
      estimator.Apply(At(2), {InstanceId("one"), Incarnation(1), 9, {}}));
}

class SlowStartLimiterTest : public ::testing::Test {
 protected:
  SlowStartLimiterTest() {
    limiter_.AddUpstream(kUpstream, AvailabilityZoneId("a"), 2, 32);
  }
  // Reports `count` responses with this response time; the expected time is 100
  // ms.
  auto Respond(int count, std::int64_t milliseconds, bool failed = false)
      -> void {
    for (int i = 0; i < count; ++i) {
      const auto sent = now_;
      now_ += std::chrono::milliseconds(milliseconds);
      limiter_.Handle(now_,
                      ResponseReceived{kUpstream, sent,
                                       std::chrono::milliseconds(milliseconds),
                                       std::chrono::milliseconds(100), failed});
    }
  }
  inline static const UpstreamId kUpstream{"engine"};
  SlowStartLimiter limiter_;
  Timestamp now_;
};

// Guards against full load on a cold upstream (invariant I7 in docs/design.md).
TEST_F(SlowStartLimiterTest, DoublesLimitAfterLimitOnTimeResponses) {
  EXPECT_EQ(limiter_.ConcurrencyLimit(kUpstream), 2);
  Respond(2, 100);
  EXPECT_EQ(limiter_.ConcurrencyLimit(kUpstream), 4);
  Respond(3, 100);
  EXPECT_EQ(limiter_.ConcurrencyLimit(kUpstream), 4);
  Respond(200, 100);
  EXPECT_EQ(limiter_.ConcurrencyLimit(kUpstream), 32);
  EXPECT_FALSE(limiter_.IsBelowWarmLimit(kUpstream));
  EXPECT_EQ(limiter_.LimitForDaemon(kUpstream, PartsPerMillion(100'000)), 3);
}

// Guards against a limit that stays high for a failing upstream, and against
// one that a single burst of failures lowers to the minimum at once.
TEST_F(SlowStartLimiterTest, HalvesOncePerLimitChange) {
  Respond(100, 100);
  const auto sent = now_;
  now_ += std::chrono::seconds(1);
  for (int i = 0; i < 10; ++i) {
    limiter_.Handle(
        now_, ResponseReceived{kUpstream, sent, std::chrono::milliseconds(1),
                               std::chrono::milliseconds(100), true});
  }
  EXPECT_EQ(limiter_.ConcurrencyLimit(kUpstream), 16);
  Respond(1, 300);
  EXPECT_EQ(limiter_.ConcurrencyLimit(kUpstream), 8);
}

// Guards against full load on an upstream that turned cold without a report, on
// one that restarted, and on the upstreams of a zone that recovers.
TEST_F(SlowStartLimiterTest, ResetsOnSlownessRestartAndZoneRecovery) {
  Respond(100, 100);
  Respond(2, 900);
  EXPECT_EQ(limiter_.ConcurrencyLimit(kUpstream), 32);
  Respond(1, 900);
  EXPECT_EQ(limiter_.ConcurrencyLimit(kUpstream), 2);
  Respond(200, 100);
  limiter_.Handle(now_, IncarnationReported{kUpstream, Incarnation(2)});
  EXPECT_EQ(limiter_.ConcurrencyLimit(kUpstream), 2);
  Respond(200, 100);
  limiter_.Handle(now_, IncarnationReported{kUpstream, Incarnation(2)});
  EXPECT_EQ(limiter_.ConcurrencyLimit(kUpstream), 32);
  limiter_.Handle(now_, ZoneRecovered{AvailabilityZoneId("b")});
  EXPECT_EQ(limiter_.ConcurrencyLimit(kUpstream), 32);
  limiter_.Handle(now_, ZoneRecovered{AvailabilityZoneId("a")});
  EXPECT_EQ(limiter_.ConcurrencyLimit(kUpstream), 2);
}

}  // namespace
}  // namespace dotterellug
