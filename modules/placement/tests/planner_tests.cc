#include <gtest/gtest.h>

#include <iostream>
#include <map>
#include <set>

#include "core/random/random.h"
#include "placement/planner/planner.h"
#include "placement/tests/fleet_harness.h"

namespace dotterellug {
namespace {

// Engines that carry out each target without faults: removals at once, loads
// after a few steps. Checks after each step that memory is not overcommitted.
class FaultFreeFleet {
 public:
  FaultFreeFleet(std::uint64_t seed, int engine_count, int model_count)
      : random_(seed) {
    for (int i = 0; i < engine_count; ++i) {
      input.engines.push_back({UpstreamId("engine" + std::to_string(i)),
                               AvailabilityZoneId(std::to_string(i % 3)),
                               Bytes(100),
                               true,
                               {}});
    }
    for (int i = 0; i < model_count; ++i) {
      const auto bytes = static_cast<std::int64_t>(15 + random_.Below(20));
      input.models.push_back({ModelId("model" + std::to_string(i)), "1",
                              Bytes(bytes), Bytes(10), 1,
                              random_.Uniform() * 0.4});
    }
  }

  auto Step() -> void {
    now += std::chrono::seconds(1);
    const auto result = planner.Plan(now, input);
    loads += result.loads_started;
    for (const auto& [id, target] : result.targets) targets_[id] = target;
    for (auto& engine : input.engines) Apply(engine);
  }

  auto ResidentCopies(const ModelId& model) const -> std::int64_t {
    std::int64_t copies = 0;
    for (const auto& engine : input.engines) {
      if (!engine.usable) continue;
      for (const auto& item : engine.reserved) {
        copies += item.key.model == model && item.resident ? 1 : 0;
      }
    }
    return copies;
  }
  auto CountUnreachableModels() const -> std::int64_t {
    std::int64_t count = 0;
    for (const auto& model : input.models) {
      count += ResidentCopies(model.id) == 0 ? 1 : 0;
    }
    return count;
  }

  PlanInput input;
  Planner planner;
  Timestamp now{std::chrono::seconds(1000)};
  std::int64_t loads = 0;

 private:
  auto Apply(PlannerEngine& engine) -> void {
    const auto& target = targets_[engine.id];
    auto sum = target.kv_bytes;
    std::vector<PlannerItem> reserved;
    for (const auto& item : target.items) {
      sum += item.bytes;
      const auto before = std::find_if(
          engine.reserved.begin(), engine.reserved.end(),
          [&](const PlannerItem& other) { return other.key == item.key; });
      const bool was_resident =
          before != engine.reserved.end() && before->resident;
      reserved.push_back({item.key, was_resident || random_.Below(4) == 0});
    }
    ASSERT_LE(sum, engine.memory) << engine.id.Value();
    engine.reserved = std::move(reserved);
  }

  Random random_;
  std::map<UpstreamId, EngineTarget> targets_;
};

// Guards against models that are never loaded although memory is free, and
// against models that lose their last copy when demand shifts.
TEST(PlannerProperty, ModelsStayReachableUnderShiftingDemand) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FaultFreeFleet fleet(seed, 6, 12);
    Random random(seed);
    for (int step = 0; step < 400; ++step) {
      fleet.Step();
      if (step < 40) continue;
      ASSERT_EQ(fleet.CountUnreachableModels(), 0)
          << "seed " << seed << " step " << step;
      if (step % 30 != 0) continue;
      for (auto& model : fleet.input.models) {
        model.demand = random.Uniform() < 0.2 ? 2.0 : 0.1;
      }
    }
  }
}

// Guards against a rolling update that leaves a model without a copy, also when
// the memory of an engine does not hold both versions.
TEST(PlannerProperty, RollingUpdateKeepsModelsReachable) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FaultFreeFleet fleet(seed, 6, 10);
    for (int step = 0; step < 400; ++step) {
      if (step == 60) {
        for (auto& model : fleet.input.models) model.version = "2";
      }
      fleet.Step();
      if (step < 40) continue;
      ASSERT_EQ(fleet.CountUnreachableModels(), 0)
          << "seed " << seed << " step " << step;
    }
    for (const auto& engine : fleet.input.engines) {
      for (const auto& item : engine.reserved) EXPECT_EQ(item.key.version, "2");
    }
  }
}

// Guards against models that stay unreachable after a zone outage, although the
// other zones have free memory or because all their copies were in that zone.
TEST(PlannerProperty, ModelsOfUnusableZoneArePlacedElsewhere) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FaultFreeFleet fleet(seed, 9, 12);
    for (int step = 0; step < 200; ++step) fleet.Step();
    for (auto& engine : fleet.input.engines) {
      if (engine.zone.Value() == "1") engine.usable = false;
    }
    for (int step = 0; step < 30; ++step) fleet.Step();
    EXPECT_EQ(fleet.CountUnreachableModels(), 0) << "seed " << seed;
  }
}

// Guards against moves without benefit: constant demand must not cause any.
TEST(PlannerProperty, SteadyDemandStartsNoLoads) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FaultFreeFleet fleet(seed, 6, 12);
    for (int step = 0; step < 300; ++step) fleet.Step();
    const auto before = fleet.loads;
    for (int step = 0; step < 300; ++step) fleet.Step();
    EXPECT_EQ(fleet.loads, before) << "seed " << seed;
  }
}

// Guards against an overloaded model that gets no second copy, and against
// adapters that are not placed.
TEST(PlannerTest, OverloadedModelGetsCopiesAndAdaptersArePlaced) {
  FaultFreeFleet fleet(1, 6, 6);
  for (int i = 0; i < 10; ++i) {
    fleet.input.adapters.push_back({AdapterId("adapter" + std::to_string(i)),
                                    ModelId("model" + std::to_string(i % 6)),
                                    Bytes(1), 0.01});
  }
  for (int step = 0; step < 100; ++step) fleet.Step();
  fleet.input.models[0].demand = 2.5;
  for (int step = 0; step < 60; ++step) fleet.Step();
  EXPECT_GE(fleet.ResidentCopies(fleet.input.models[0].id), 4);
  std::set<AdapterId> placed;
  for (const auto& engine : fleet.input.engines) {
    for (const auto& item : engine.reserved) placed.insert(item.key.adapter);
  }
  EXPECT_EQ(placed.size(), 11U);  // ten adapters and the weights' empty id
}

// Guards against loads that start during an outage of the store.
TEST(PlannerTest, NoLoadsStartDuringStoreOutage) {
  FaultFreeFleet fleet(1, 6, 6);
  for (int step = 0; step < 100; ++step) fleet.Step();
  const auto before = fleet.loads;
  fleet.input.store_available = false;
  fleet.input.models[0].demand = 5;
  for (int step = 0; step < 60; ++step) fleet.Step();
  EXPECT_EQ(fleet.loads, before);
}

// Runs the planner with PlacementReconciler under injected faults and measures
// how long models are unreachable.
class FaultyFleet {
 public:
  explicit FaultyFleet(const HarnessOptions& options)
      : fault_seconds_(options.fault_seconds), harness_(options) {
    for (int i = 0; i < 5; ++i) {
      input_.models.push_back({ModelId("model" + std::to_string(i)), "1",
                               Bytes(15 + 5 * i), Bytes(10), 1, 0.1});
    }
    harness_.plan_targets = [this](const PlacementReconciler& reconciler,
                                   Term term) { Plan(reconciler, term); };
    harness_.on_tick = [this] { MeasureOutages(); };
  }

  auto Run() -> HarnessResult { return harness_.Run(); }
  // Longest time without a resident copy of some model: until its first load,
  // afterwards while faults occur, and from the end of the faults.
  Duration longest_initial_outage{0};
  Duration longest_outage{0};
  Duration longest_outage_after_faults{0};

 private:
  auto Plan(const PlacementReconciler& reconciler, Term term) -> void {
    if (harness_.Now() < next_plan_ && planner_term_ == term) return;
    next_plan_ = harness_.Now() + std::chrono::seconds(1);
    if (planner_term_ != term) planner_ = Planner();
    planner_term_ = term;
    input_.engines.clear();
    for (auto& [id, engine] : harness_.Engines()) {
      const bool usable = !harness_.IsZoneUnresponsive(engine.zone);
      PlannerEngine planned{id,
                            AvailabilityZoneId(std::to_string(engine.zone)),
                            engine.memory,
                            usable,
                            {}};
      if (const auto* record = reconciler.Record(id)) {
        for (const auto& item : record->Items()) {
          if (item.intent != ItemIntent::kKeep) continue;
          planned.reserved.push_back(
              {item.key, reconciler.IsResident(id, item.key)});
        }
      }
      input_.engines.push_back(std::move(planned));
    }
    for (auto& [id, target] : planner_.Plan(harness_.Now(), input_).targets) {
      harness_.Engines()[id].target = target;
    }
  }

  auto MeasureOutages() -> void {
    const auto now = harness_.Now();
    const auto faults_end = Timestamp(std::chrono::seconds(fault_seconds_));
    for (const auto& model : input_.models) {
      auto& last_reachable = last_reachable_at_[model.id];
      bool reachable = false;
      for (const auto& [id, engine] : harness_.Engines()) {
        if (harness_.IsZoneUnresponsive(engine.zone)) continue;
        reachable |= engine.loaded.count({model.id, "1", AdapterId()}) > 0;
      }
      if (reachable) last_reachable = now;
      const bool never_reachable = last_reachable == Timestamp();
      if (now <= faults_end) {
        auto& longest =
            never_reachable ? longest_initial_outage : longest_outage;
        longest = std::max(longest, now - last_reachable);
      } else {
        const auto begin = std::max(last_reachable, faults_end);
        longest_outage_after_faults =
            std::max(longest_outage_after_faults, now - begin);
      }
    }
  }

  std::int64_t fault_seconds_;
  FleetHarness harness_;
  Planner planner_;
  Term planner_term_;
  Timestamp next_plan_;
  PlanInput input_;
  std::map<ModelId, Timestamp> last_reachable_at_;
};

// Guards against a model that stays unreachable under any two intermittent
// faults. The bounds are 200 s for the first load, 120 s once it was loaded,
// and 60 s after the faults. Takeover takes up to 13 s, an unresponsive zone
// hides its copies for 25 s at a time, a load takes up to 6 s, and each of the
// two owners pauses for up to 40 s. The first load needs several owner steps,
// each of which can be paused.
TEST(PlannerProperty, ReachableWithinBoundUnderFaults) {
  const std::vector<Fault> faults{
      Fault::kCommandLost,    Fault::kCommandLate,      Fault::kResponseLost,
      Fault::kOwnerCrash,     Fault::kOwnerPause,       Fault::kStoreOutage,
      Fault::kStoreWriteLate, Fault::kZoneUnresponsive, Fault::kEngineRestart};
  std::uint64_t seed = 0;
  Duration initial_outage{0};
  Duration outage{0};
  Duration outage_after_faults{0};
  for (const auto first : faults) {
    for (const auto second : faults) {
      for (const bool checks_fencing : {true, false}) {
        HarnessOptions options;
        // Each combination has its own seed to vary the timing: with a single
        // seed, all outages stayed below 25 s.
        options.seed = ++seed;
        options.faults = {first, second};
        options.engines_check_fencing = checks_fencing;
        FaultyFleet fleet(options);
        const auto result = fleet.Run();
        initial_outage = std::max(initial_outage, fleet.longest_initial_outage);
        outage = std::max(outage, fleet.longest_outage);
        outage_after_faults =
            std::max(outage_after_faults, fleet.longest_outage_after_faults);
        ASSERT_EQ(result.Violations(), 0) << result.first_violation;
        EXPECT_LE(fleet.longest_initial_outage, std::chrono::seconds(200))
            << static_cast<int>(first) << "," << static_cast<int>(second)
            << " checks fencing " << checks_fencing;
        EXPECT_LE(fleet.longest_outage, std::chrono::seconds(120))
            << static_cast<int>(first) << "," << static_cast<int>(second)
            << " checks fencing " << checks_fencing;
        EXPECT_LE(fleet.longest_outage_after_faults, std::chrono::seconds(60))
            << static_cast<int>(first) << "," << static_cast<int>(second)
            << " checks fencing " << checks_fencing;
      }
    }
  }
  std::cout << "longest outage of a model: before first load "
            << ToSeconds(initial_outage) << " s, during faults "
            << ToSeconds(outage) << " s, after faults "
            << ToSeconds(outage_after_faults) << " s\n";
}

}  // namespace
}  // namespace dotterellug
