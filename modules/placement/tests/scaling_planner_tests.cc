#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <vector>

#include "core/random/random.h"
#include "placement/placement.h"

namespace dotterellug {
namespace {

auto At(double s) -> Timestamp { return Timestamp(FromSeconds(1000 + s)); }

const ScalingSubject kHere{PoolId("huvo11a"), AvailabilityZoneId("westlands")};

// One pool in one zone: the platform starts and stops engines as ordered, and
// requests arrive with the given demand in slots and wait if there is no slot.
class ScaledPool {
 public:
  ScaledPool() {
    state.subject = kHere;
    state.min_engines = 1;
    state.max_engines = 20;
    state.engines = 4;
    state.slots_per_engine = 8;
    state.latency_target = std::chrono::milliseconds(500);
    state.service_time = std::chrono::seconds(1);
  }

  // `demand` gives the slots that are asked for at a time in seconds.
  auto Run(double seconds, const std::function<double(double)>& demand)
      -> void {
    const auto end = now_ + seconds;
    while (now_ < end) {
      now_ += 0.2;
      while (!boots_.empty() && boots_.front() <= now_) {
        ++state.engines;
        boots_.erase(boots_.begin());
      }
      const auto slots =
          static_cast<double>(state.engines) * state.slots_per_engine;
      // Requests beyond the slots wait, and come on top of the next ones.
      const auto asked = demand(now_) + state.waiting;
      state.running = std::min(asked, slots);
      state.waiting = std::max(asked - slots, 0.0) * 0.8;
      state.offered_slots = demand(now_);
      if (asked > slots) ++overloaded_steps;
      for (const auto& decision : planner.Plan({state}, At(now_))) {
        orders.push_back(decision.desired);
        order_times.push_back(now_);
        const auto ordered =
            state.engines + static_cast<std::int64_t>(boots_.size());
        for (auto i = ordered; i < decision.desired; ++i) {
          boots_.push_back(now_ + ToSeconds(state.boot_time));
        }
        if (decision.desired < ordered) {
          boots_.clear();
          state.engines = std::min(state.engines, decision.desired);
        }
      }
    }
  }

  ScalingState state;
  ScalingPlanner planner;
  std::vector<std::int64_t> orders;
  std::vector<double> order_times;
  int overloaded_steps = 0;

 private:
  double now_ = 0;
  std::vector<double> boots_;
};

// Guards against orders before there was any traffic, which would take engines
// away that the first requests need.
TEST(ScalingPlannerTest, OrdersNothingBeforeTraffic) {
  ScaledPool pool;
  pool.Run(60, [](double) { return 0; });
  EXPECT_TRUE(pool.orders.empty());
}

// Guards against a pool that stays too small, and one that is adapted in many
// small steps: each is a call.
TEST(ScalingPlannerTest, AddsEnginesWithinSecondsOfHighDemand) {
  ScaledPool pool;
  pool.Run(20, [](double) { return 20; });
  EXPECT_TRUE(pool.orders.empty());
  pool.Run(30, [](double) { return 60; });
  ASSERT_FALSE(pool.orders.empty());
  EXPECT_LE(pool.order_times.front(), 25);
  EXPECT_LE(pool.orders.size(), 4U);
  EXPECT_GE(pool.state.engines, 9);
  EXPECT_LE(pool.state.engines, 14);
}

// Guards against orders for swings of demand that are over before an engine
// could serve.
TEST(ScalingPlannerTest, IgnoresShortSwings) {
  ScaledPool pool;
  pool.Run(120,
           [](double now) { return std::fmod(now, 9) < 2.4 ? 50.0 : 18.0; });
  EXPECT_TRUE(pool.orders.empty());
}

// Guards against engines that are kept, and billed, although hardly any request
// comes, against steps that are too large, and against going below the minimum.
TEST(ScalingPlannerTest, TakesEnginesAwayInStepsWhenDemandStaysLow) {
  ScaledPool pool;
  pool.state.engines = 12;
  pool.state.min_engines = 2;
  pool.Run(12, [](double) { return 4; });
  EXPECT_TRUE(pool.orders.empty());
  pool.Run(120, [](double) { return 4; });
  EXPECT_EQ(pool.state.engines, 2);
  std::int64_t before = 12;
  for (std::size_t i = 0; i < pool.orders.size(); ++i) {
    EXPECT_LT(pool.orders[i], before);
    EXPECT_GE(pool.orders[i], before - std::max<std::int64_t>(before / 4, 1));
    if (i > 0) EXPECT_GE(pool.order_times[i], pool.order_times[i - 1] + 5.9);
    before = pool.orders[i];
  }
}

// Guards against engines that are added and taken away in turn under a demand
// that fluctuates around its mean.
TEST(ScalingPlannerTest, DoesNotOscillate) {
  ScaledPool pool;
  Random random(5);
  pool.Run(300, [&](double) { return 21 + 8 * random.Uniform(); });
  EXPECT_LE(pool.orders.size(), 1U);
}

// Guards against models that no engine holds because their demand is small: ten
// models of which three fit on an engine need four engines.
TEST(ScalingPlannerTest, KeepsEnginesForAllRequestedModels) {
  ScaledPool pool;
  pool.state.engines = 8;
  pool.state.engine_mb = 320;
  pool.state.model_mb.assign(10, 100);
  pool.Run(200, [](double) { return 1; });
  EXPECT_EQ(pool.state.engines, 4);
  EXPECT_EQ(EnginesForModels({100, 200, 150, 50}, 300), 2);
  EXPECT_EQ(EnginesForModels({100}, 0), 0);
}

// Guards against limits that are exceeded, and ignored when engines are lost.
TEST(ScalingPlannerTest, StaysWithinTheLimits) {
  ScaledPool pool;
  pool.state.max_engines = 6;
  pool.Run(60, [](double) { return 500; });
  EXPECT_EQ(pool.state.engines, 6);
  EXPECT_EQ(pool.orders.size(), 1U);
}

// Guards against a new holder that undoes what the one before has ordered and
// cannot be read back: it sees the engines that serve and the demand.
TEST(ScalingPlannerTest, ASuccessorOrdersTheSameNumber) {
  ScaledPool pool;
  pool.Run(20, [](double) { return 20; });
  pool.Run(4.4, [](double) { return 60; });
  ASSERT_EQ(pool.orders.size(), 1U);
  const auto ordered = pool.orders.back();
  pool.planner.Reset();
  pool.Run(20, [](double) { return 60; });
  for (const auto order : pool.orders) EXPECT_GE(order, ordered);
  EXPECT_GE(pool.state.engines, ordered);
}

}  // namespace
}  // namespace dotterellug
