#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "load_simulation.h"
#include "serving/serving.h"

namespace dotterellug::serving {
namespace {

using std::chrono::milliseconds;

auto At(double s) -> Timestamp { return Timestamp(FromSeconds(1000 + s)); }

auto MakeRecord(const std::string& id) -> UpstreamRecord {
  UpstreamRecord record;
  record.id = UpstreamId(id);
  record.pool = PoolId("p");
  record.zone = AvailabilityZoneId("a");
  record.address = {"127.0.0.1", 1};
  record.slots = 16;
  return record;
}

// Two of three engines state 0.7, one of three 1.7.
auto SkewedEngines(int count) -> std::vector<SimulatedEngine> {
  std::vector<SimulatedEngine> engines;
  for (int i = 0; i < count; ++i) {
    SimulatedEngine engine;
    engine.id = "e" + std::to_string(i);
    engine.factor = i % 3 == 2 ? 1.7 : 0.7;
    engines.push_back(engine);
  }
  return engines;
}

// Plays one trace with the choice by load and with the choice by expected time.
struct Comparison {
  SimulationResult old_choice;
  SimulationResult new_choice;
};
auto Compare(const char* load, SimulationSetup setup) -> Comparison {
  Comparison comparison;
  setup.states_factors = false;
  comparison.old_choice = LoadSimulation(setup).Run();
  setup.states_factors = true;
  comparison.new_choice = LoadSimulation(setup).Run();
  comparison.old_choice.Print(load, "choice by load");
  comparison.new_choice.Print(load, "choice by expected time");
  return comparison;
}

// Slow periods of 600 ms must not move the usual factor, and a machine that has
// become slower for good must have a new one within a few seconds.
TEST(WorkFactorTest, SlowPeriodsDoNotMoveUsualFactor) {
  WorkFactor factor;
  EXPECT_FALSE(factor.Known());
  double s = 0;
  for (; s < 20; s += 0.05) {
    const bool slow = std::fmod(s, 4) < 0.6;
    factor.Observe(slow ? 1.75 : 0.7, At(s));
    if (s >= 1) {
      EXPECT_NEAR(factor.Usual(), 0.7, 1e-6) << s;
    }
  }
  EXPECT_TRUE(factor.UsualSettled());
  for (const auto end = s + 4; s < end; s += 0.05) factor.Observe(1.7, At(s));
  EXPECT_NEAR(factor.Usual(), 1.7, 1e-6);
}

// A factor that was stated in a slow period must not count when the period is
// over, and one that arrives late must not replace a later one.
TEST(WorkFactorTest, CurrentFactorDecaysToUsual) {
  WorkFactor factor;
  for (double s = 0; s < 5; s += 0.3) factor.Observe(0.7, At(s));
  EXPECT_TRUE(factor.Observe(1.75, At(5)));
  EXPECT_NEAR(factor.Expected(At(5)), 1.75, 1e-6);
  EXPECT_GT(factor.Expected(At(5.2)), 1.2);
  EXPECT_LT(factor.Expected(At(6)), 0.8);
  EXPECT_NEAR(factor.Expected(At(60)), 0.7, 1e-6);
  EXPECT_FALSE(factor.Observe(4, At(4.9)));
  EXPECT_NEAR(factor.Current(), 1.75, 1e-6);
}

// A process that has just started must not be held slow because its first
// response came in a slow period.
TEST(WorkFactorTest, OneUsualResponseEndsAFirstSlowOne) {
  WorkFactor factor;
  factor.Observe(4.25, At(0));
  EXPECT_NEAR(factor.Usual(), 4.25, 1e-6);
  factor.Observe(1.7, At(0.6));
  EXPECT_NEAR(factor.Usual(), 1.7, 1e-6);
  EXPECT_FALSE(factor.UsualSettled());
}

// A stated load must include what this daemon has sent since, and must give way
// to the hub's sum as it ages.
TEST(StatedLoadTest, IsCorrectedByOwnRequestsAndAges) {
  UpstreamView view(MakeRecord("x"));
  view.requests = 3;
  view.other_daemons_load.requests = 4;
  EXPECT_EQ(view.ExpectedRequests(At(0)), 7);
  StatedLoad load;
  load.running = 12;
  load.waiting = 5;
  view.RecordStatedLoad(load, At(0));
  EXPECT_NEAR(view.ExpectedRequests(At(0)), 17, 1e-9);
  view.requests = 5;
  EXPECT_NEAR(view.ExpectedRequests(At(0)), 19, 1e-9);
  view.requests = 3;
  EXPECT_LT(view.ExpectedRequests(At(0.3)), 10);
  EXPECT_NEAR(view.ExpectedRequests(At(2)), 7, 1e-9);
}

// A pool whose upstreams state no work factor must be ranked as before, also if
// their load is stated: same order, same use of random numbers.
TEST(ExpectedTimeTest, PoolsWithoutFactorsAreRankedByLoad) {
  UpstreamTable table;
  UpstreamTable stated;
  Random setup(3);
  for (int i = 0; i < 12; ++i) {
    const auto record = MakeRecord("e" + std::to_string(i));
    for (auto* one : {&table, &stated}) one->Upsert(record, At(0));
    const auto requests = static_cast<std::int64_t>(setup.Below(16));
    table.Find(record.id)->requests = requests;
    stated.Find(record.id)->requests = requests;
    StatedLoad load;
    load.running = static_cast<std::int64_t>(setup.Below(16));
    stated.Find(record.id)->RecordStatedLoad(load, At(0));
  }
  SelectionRequest request;
  request.pool = PoolId("p");
  request.zone = AvailabilityZoneId("a");
  Random first(7);
  Random second(7);
  for (int i = 0; i < 50; ++i) {
    const auto expected =
        UpstreamSelector().Rank(table, request, {}, first, At(0));
    const auto ranked =
        UpstreamSelector().Rank(stated, request, {}, second, At(0));
    ASSERT_EQ(expected->size(), ranked->size());
    for (std::size_t k = 0; k < ranked->size(); ++k) {
      EXPECT_EQ((*ranked)[k].upstream->record.id,
                (*expected)[k].upstream->record.id);
      EXPECT_FALSE((*ranked)[k].first_event);
    }
  }
  EXPECT_EQ(first.Next(), second.Next());
}

// The expected time to the first event must be that of the machine, the prompt
// and the queue, and must not be stated while it is only a default.
TEST(ExpectedTimeTest, FirstEventDependsOnFactorPromptAndQueue) {
  UpstreamTable table;
  for (const auto* id : {"fast", "slow"}) table.Upsert(MakeRecord(id), At(0));
  const auto fast = table.Find(UpstreamId("fast"));
  const auto slow = table.Find(UpstreamId("slow"));
  table.ObserveWorkFactor(*fast, 0.7, At(0));
  table.ObserveWorkFactor(*slow, 1.7, At(0));
  WorkTimeEstimate times;
  SelectionRequest request;
  request.pool = PoolId("p");
  request.zone = AvailabilityZoneId("a");
  Random random(1);
  const auto rank = [&] {
    PoolCapacity pool;
    pool.times = times.Expected(request.pool);
    return *UpstreamSelector().Rank(table, request, pool, random, At(10));
  };
  EXPECT_FALSE(rank().front().first_event);
  for (int i = 0; i < 40; ++i) {
    times.ObserveFirstEvent(request.pool, 1000 * (i % 4),
                            milliseconds(30 + 40 * (i % 4)));
    times.ObserveSlot(request.pool, milliseconds(800));
  }
  request.prefill_tokens = 1000;
  auto ranked = rank();
  EXPECT_EQ(ranked[0].upstream, fast);
  EXPECT_NEAR(ToSeconds(*ranked[0].first_event), 0.7 * 0.070, 0.002);
  EXPECT_NEAR(ToSeconds(*ranked[1].first_event), 1.7 * 0.070, 0.002);
  // Three requests must end before this one gets a slot.
  fast->requests = 18;
  slow->requests = 18;
  ranked = rank();
  EXPECT_NEAR(ToSeconds(*ranked[0].first_event), 0.7 * (0.070 + 0.150), 0.004);
}

// Prompts of equal length do not tell how long their prefill takes; queued
// prompts must count all the same.
TEST(WorkTimeEstimateTest, QueuedPromptsCountAlsoIfAllAreEquallyLong) {
  WorkTimeEstimate times;
  for (int i = 0; i < 20; ++i) {
    times.ObserveFirstEvent(PoolId("p"), 500, milliseconds(40));
  }
  const auto expected = times.Expected(PoolId("p"));
  EXPECT_TRUE(expected.observed);
  EXPECT_GE(expected.prefill_1000_tokens, Duration(milliseconds(9)));
}

// Load: 12 engines of which one third take 2.4 times as long as the others.
// The choice by load gave slow engines as many requests as fast ones.
TEST(ExpectedTimeTest, SkewedEngineSpeeds) {
  SimulationSetup setup;
  setup.engines = SkewedEngines(12);
  setup.trace = MakeTrace(150, 15, setup.daemons, 800, 11);
  const auto [old_choice, new_choice] = Compare("skewed speeds", setup);
  EXPECT_LT(new_choice.FirstEventQuantile(0.95),
            0.7 * old_choice.FirstEventQuantile(0.95));
  EXPECT_LT(new_choice.TotalMean(), 0.95 * old_choice.TotalMean());
  EXPECT_LE(new_choice.LateShare(500), old_choice.LateShare(500));
}

// Load: the same engines, each slow for 600 ms of every 4 s.
TEST(ExpectedTimeTest, MachinesThatSlowFor600Milliseconds) {
  SimulationSetup setup;
  setup.engines = SkewedEngines(12);
  for (std::size_t i = 0; i < setup.engines.size(); ++i) {
    setup.engines[i].slow_period_ms = 4000;
    setup.engines[i].slow_offset_ms = 331 * static_cast<double>(i);
  }
  setup.trace = MakeTrace(130, 15, setup.daemons, 800, 12);
  const auto [old_choice, new_choice] = Compare("slow periods", setup);
  EXPECT_LT(new_choice.FirstEventMean(), 0.9 * old_choice.FirstEventMean());
  EXPECT_LT(new_choice.FirstEventQuantile(0.95),
            old_choice.FirstEventQuantile(0.95));
}

// Load: the same engines with nine tenths of the requests that they can serve,
// so that some wait for slots.
TEST(ExpectedTimeTest, SkewedEngineSpeedsUnderHighLoad) {
  SimulationSetup setup;
  setup.engines = SkewedEngines(12);
  setup.trace = MakeTrace(158, 15, setup.daemons, 800, 13);
  const auto [old_choice, new_choice] = Compare("high load", setup);
  EXPECT_LT(new_choice.LateShare(500), old_choice.LateShare(500));
}

// Load: 60 daemons that get the same report at the same time. All of them sent
// to the same engine until the next report.
TEST(ExpectedTimeTest, ManyDaemonsWithTheSameReport) {
  SimulationSetup setup;
  setup.engines = SkewedEngines(18);
  setup.daemons = 60;
  setup.same_report = true;
  setup.trace = MakeTrace(220, 15, setup.daemons, 800, 14);
  const auto [old_choice, new_choice] = Compare("same report", setup);
  EXPECT_LT(new_choice.FirstEventQuantile(0.95),
            0.9 * old_choice.FirstEventQuantile(0.95));
  EXPECT_LE(new_choice.largest_burst, old_choice.largest_burst);
}

// Load: three zones whose demand swings in different phases, so that each has
// more than its engines can serve for a while, and less at other times.
TEST(ExpectedTimeTest, ThreeZonesWithSwingingDemand) {
  SimulationSetup setup;
  setup.daemons = 9;
  setup.zones = {"a", "b", "c"};
  setup.engines = SkewedEngines(18);
  for (std::size_t i = 0; i < setup.engines.size(); ++i) {
    setup.engines[i].zone = setup.zones[i / 6];
  }
  Random random(15);
  const double period_ms = 9000;
  for (auto request : MakeTrace(400, 27, setup.daemons, 800, 15)) {
    const auto zone = static_cast<double>(request.daemon % 3);
    const auto phase = request.at_ms / period_ms + zone / 3;
    const auto demand = 0.5 + 0.45 * std::sin(2 * 3.14159265 * phase);
    if (random.Uniform() < demand) setup.trace.push_back(request);
  }
  const auto [old_choice, new_choice] = Compare("three zones", setup);
  EXPECT_LT(new_choice.FirstEventQuantile(0.95),
            old_choice.FirstEventQuantile(0.95));
  EXPECT_LT(new_choice.OtherZoneShare(), old_choice.OtherZoneShare());
  EXPECT_LE(new_choice.LateShare(500), old_choice.LateShare(500));
}

// Low demand must stay in its zone, whatever the speed of engines elsewhere is
// within usual bounds.
TEST(ExpectedTimeTest, LowDemandStaysInItsZone) {
  SimulationSetup setup;
  setup.daemons = 6;
  setup.zones = {"a", "b"};
  setup.engines = SkewedEngines(12);
  for (std::size_t i = 0; i < setup.engines.size(); ++i) {
    setup.engines[i].zone = setup.zones[i / 6];
  }
  setup.trace = MakeTrace(50, 15, setup.daemons, 800, 16);
  const auto [old_choice, new_choice] = Compare("low demand", setup);
  EXPECT_LT(new_choice.OtherZoneShare(), 0.03);
}

// An upstream whose factor no daemon knows must get trial requests, and no more
// than a small part of all.
TEST(ExpectedTimeTest, UnknownUpstreamsGetABoundedShareOfTrials) {
  UpstreamTable table;
  for (int i = 0; i < 20; ++i) {
    auto record = MakeRecord("e" + std::to_string(i));
    table.Upsert(record, At(0));
    const auto entry = table.Find(record.id);
    if (i == 0) {
      // It is so busy that it would not be chosen otherwise.
      entry->requests = 15;
    } else {
      table.ObserveWorkFactor(*entry, 0.7, At(0));
    }
  }
  SelectionRequest request;
  request.pool = PoolId("p");
  request.zone = AvailabilityZoneId("a");
  Random random(4);
  int trials = 0;
  for (int i = 0; i < 5000; ++i) {
    const auto ranked =
        UpstreamSelector().Rank(table, request, {}, random, At(1));
    trials += ranked->front().upstream->record.id == UpstreamId("e0") ? 1 : 0;
  }
  EXPECT_GT(trials, 50);
  EXPECT_LT(trials, 200);
}

// Requests with the same prompt prefix must prefer one upstream, also if only a
// few of the others are compared; it has the prefix cached.
TEST(ExpectedTimeTest, RequestsWithOnePrefixPreferOneUpstream) {
  UpstreamTable table;
  for (int i = 0; i < 20; ++i) {
    const auto record = MakeRecord("e" + std::to_string(i));
    table.Upsert(record, At(0));
    table.ObserveWorkFactor(*table.Find(record.id), 0.7, At(0));
  }
  SelectionRequest request;
  request.pool = PoolId("p");
  request.zone = AvailabilityZoneId("a");
  Random random(4);
  const auto largest_share = [&] {
    std::map<UpstreamId, int> sent;
    for (int i = 0; i < 1000; ++i) {
      const auto ranked =
          UpstreamSelector().Rank(table, request, {}, random, At(1));
      ++sent[ranked->front().upstream->record.id];
    }
    int largest = 0;
    for (const auto& [id, count] : sent) largest = std::max(largest, count);
    return largest;
  };
  EXPECT_LT(largest_share(), 100);
  request.shared_prefix_hash = 77;
  EXPECT_GT(largest_share(), 300);
}

// In a large pool only some upstreams are looked at, but one that is the only
// eligible one must be found, and reasons must be exact.
TEST(ExpectedTimeTest, LargePoolFindsTheOnlyEligibleUpstream) {
  UpstreamTable table;
  for (int i = 0; i < 1000; ++i) {
    auto record = MakeRecord("e" + std::to_string(i));
    record.zone = AvailabilityZoneId(i % 2 == 0 ? "a" : "b");
    record.leaving = i != 777;
    table.Upsert(record, At(0));
  }
  const auto only = table.Find(UpstreamId("e777"));
  table.ObserveWorkFactor(*only, 1.7, At(0));
  SelectionRequest request;
  request.pool = PoolId("p");
  request.zone = AvailabilityZoneId("a");
  Random random(4);
  for (int i = 0; i < 20; ++i) {
    const auto ranked =
        UpstreamSelector().Rank(table, request, {}, random, At(1));
    ASSERT_TRUE(ranked);
    EXPECT_EQ(ranked->front().upstream, only);
  }
  request.model = ModelId("m");
  EXPECT_EQ(UpstreamSelector().Rank(table, request, {}, random, At(1)).error(),
            SelectionFailure::kNoModel);
  only->record.leaving = true;
  EXPECT_EQ(UpstreamSelector().Rank(table, request, {}, random, At(1)).error(),
            SelectionFailure::kNoUpstream);
}

}  // namespace
}  // namespace dotterellug::serving
