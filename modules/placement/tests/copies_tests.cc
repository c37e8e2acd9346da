#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "placement/copies/adapter_planner.h"
#include "placement/copies/copy_planner.h"
#include "placement/copies/wanted_adapters.h"

namespace dotterellug {
namespace {

auto Model(const std::string& id, double demand, double weight = 70)
    -> CopyModel {
  return {ModelId(id), weight, demand};
}

auto Engine(const std::string& id, std::set<ModelId> models,
            double capacity = 230) -> CopyEngine {
  CopyEngine engine;
  engine.id = UpstreamId(id);
  engine.capacity_mb = capacity;
  engine.models = std::move(models);
  return engine;
}

const ModelId kA("a");
const ModelId kB("b");
const ModelId kC("c");
const ModelId kD("d");

// Guards against copies that move before anybody has asked for anything: at the
// start they are where the operators put them.
TEST(CopyPlannerTest, MovesNothingWithoutDemand) {
  CopyInput input;
  input.models = {Model("a", 0), Model("b", 0), Model("c", 0)};
  input.engines = {Engine("x", {kA, kB}), Engine("y", {kA, kC})};
  input.store_loads = 2;
  EXPECT_TRUE(CopyPlanner().Plan(input).empty());
}

TEST(CopyPlannerTest, LoadsAModelThatHasNoCopy) {
  CopyInput input;
  input.models = {Model("a", 0), Model("b", 0)};
  input.engines = {Engine("x", {kA}), Engine("y", {})};
  input.store_loads = 1;
  const auto steps = CopyPlanner().Plan(input);
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_EQ(steps[0].kind, CopyStepKind::kLoad);
  EXPECT_EQ(steps[0].model, kB);
  EXPECT_TRUE(steps[0].from_store);
}

// Guards against the weight store's ceiling: near weights are loaded all the
// same.
TEST(CopyPlannerTest, KeepsToTheStoresLoads) {
  CopyInput input;
  input.models = {Model("a", 0), Model("b", 0), Model("c", 0)};
  input.engines = {Engine("x", {}), Engine("y", {}), Engine("z", {})};
  input.engines[2].near = {kC};
  input.store_loads = 0;
  const auto steps = CopyPlanner().Plan(input);
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_EQ(steps[0].model, kC);
  EXPECT_FALSE(steps[0].from_store);
}

// Pattern: the busiest model falls silent and another one rises. A copy of the
// silent model makes way, never the last copy of a model.
TEST(CopyPlannerTest, MovesACopyToTheModelThatRises) {
  CopyInput input;
  input.models = {Model("a", 0), Model("b", 1000), Model("c", 1),
                  Model("d", 1)};
  input.engines = {Engine("x", {kA, kC, kD}), Engine("y", {kA, kB, kC})};
  input.store_loads = 2;
  const auto steps = CopyPlanner().Plan(input);
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_EQ(steps[0].kind, CopyStepKind::kUnload);
  EXPECT_EQ(steps[0].engine, UpstreamId("x"));
  EXPECT_TRUE(steps[0].model == kA || steps[0].model == kC);
}

// Pattern: demand spreads over dozens of models, none of which has a large part
// of it (seen with 259 models on 140 engines, where no model got a second
// copy).
TEST(CopyPlannerTest, ManyModelsWithSmallPartsGetSecondCopies) {
  CopyInput input;
  for (int i = 0; i < 100; ++i) {
    input.models.push_back(Model("m" + std::to_string(i), 10));
    input.engines.push_back(
        Engine("e" + std::to_string(i), {ModelId("m" + std::to_string(i))}));
  }
  input.store_loads = 5;
  const auto steps = CopyPlanner().Plan(input);
  EXPECT_EQ(steps.size(), 5U);
  for (const auto& step : steps) EXPECT_EQ(step.kind, CopyStepKind::kLoad);
}

TEST(CopyPlannerTest, LeavesBalancedDemandAlone) {
  CopyInput input;
  input.models = {Model("a", 100), Model("b", 90), Model("c", 110)};
  input.engines = {Engine("x", {kA, kB, kC}), Engine("y", {kA, kB, kC})};
  input.store_loads = 2;
  EXPECT_TRUE(CopyPlanner().Plan(input).empty());
}

// Guards against an overcommitted engine and a model without a copy, whatever
// the state is and whatever orders are under way.
TEST(CopyPlannerTest, NeverOvercommitsAndNeverTakesTheLastCopy) {
  rc::check([](std::uint64_t seed) {
    Random random(seed);
    CopyInput input;
    const auto models = 3 + random.Below(10);
    for (std::uint64_t i = 0; i < models; ++i) {
      input.models.push_back(Model("m" + std::to_string(i),
                                   static_cast<double>(random.Below(1000)),
                                   60 + static_cast<double>(random.Below(15))));
    }
    const auto engines = 2 + random.Below(8);
    for (std::uint64_t i = 0; i < engines; ++i) {
      auto engine = Engine("e" + std::to_string(i), {});
      engine.busy = random.Below(4) == 0;
      engine.usable = random.Below(6) != 0;
      engine.adapter_mb = 1;
      for (int k = 0; k < 3; ++k) {
        engine.models.insert(input.models[random.Below(models)].id);
        if (random.Below(2) == 0) break;
      }
      engine.near.insert(input.models[random.Below(models)].id);
      input.engines.push_back(std::move(engine));
    }
    input.store_loads = static_cast<std::int64_t>(random.Below(3));
    const auto weight = [&](const ModelId& id) {
      for (const auto& model : input.models) {
        if (model.id == id) return model.weight_mb;
      }
      return 0.0;
    };
    std::map<ModelId, int> copies;
    for (const auto& engine : input.engines) {
      if (!engine.usable) continue;
      for (const auto& model : engine.models) ++copies[model];
    }
    const auto before = copies;
    std::set<UpstreamId> ordered;
    std::int64_t store_loads = 0;
    for (const auto& step : CopyPlanner().Plan(input)) {
      RC_ASSERT(ordered.insert(step.engine).second);
      const auto engine = std::find_if(
          input.engines.begin(), input.engines.end(),
          [&](const auto& candidate) { return candidate.id == step.engine; });
      RC_ASSERT(engine->usable && !engine->busy);
      if (step.kind == CopyStepKind::kUnload) {
        RC_ASSERT(engine->models.count(step.model) == 1);
        --copies[step.model];
        continue;
      }
      store_loads += step.from_store ? 1 : 0;
      auto used = engine->adapter_mb + weight(step.model);
      for (const auto& model : engine->models) used += weight(model);
      RC_ASSERT(used <= engine->capacity_mb);
    }
    RC_ASSERT(store_loads <= input.store_loads);
    for (const auto& [model, count] : before) {
      if (count > 0) RC_ASSERT(copies[model] >= 1);
    }
  });
}

auto AdapterName(int i) -> AdapterId {
  return AdapterId("a" + std::to_string(i));
}

// Guards against adapters that no engine ever holds, and against more than an
// engine has slots for, over the whole course of orders.
TEST(AdapterPlannerTest, GivesEveryAdapterACopyWithinTheSlots) {
  AdapterInput input;
  for (int i = 1; i <= 14; ++i) {
    input.adapters[kA].push_back(AdapterName(i));
  }
  for (const auto* id : {"x", "y"}) {
    AdapterEngine engine;
    engine.id = UpstreamId(id);
    engine.slots = 8;
    engine.held[kA] = {};
    input.engines.push_back(std::move(engine));
  }
  for (int round = 0; round < 40; ++round) {
    for (const auto& step : PlanAdapters(input)) {
      for (auto& engine : input.engines) {
        if (engine.id != step.engine) continue;
        auto& held = engine.held[step.model];
        if (step.load) {
          held.insert(step.adapter);
        } else {
          held.erase(step.adapter);
        }
        ASSERT_LE(held.size(), 8U);
      }
    }
  }
  std::set<AdapterId> placed;
  for (auto& engine : input.engines) {
    placed.insert(engine.held[kA].begin(), engine.held[kA].end());
  }
  EXPECT_EQ(placed.size(), 14U);
}

// Pattern: a rare adapter is asked for while all slots are taken.
TEST(AdapterPlannerTest, AWantedAdapterTakesTheSlotOfAnother) {
  AdapterInput input;
  for (int i = 1; i <= 3; ++i) input.adapters[kA].push_back(AdapterName(i));
  AdapterEngine engine;
  engine.id = UpstreamId("x");
  engine.slots = 2;
  engine.held[kA] = {AdapterName(1), AdapterName(2)};
  input.engines.push_back(engine);
  input.wanted = {{kA, AdapterName(3)}};
  const auto steps = PlanAdapters(input);
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_FALSE(steps[0].load);
}

// Guards against a wanted adapter whose room is given away before it is loaded.
TEST(AdapterPlannerTest, AWantedAdapterIsLoadedIntoTheRoomMadeForIt) {
  AdapterInput input;
  for (int i = 1; i <= 12; ++i) input.adapters[kA].push_back(AdapterName(i));
  AdapterEngine engine;
  engine.id = UpstreamId("x");
  engine.slots = 4;
  for (int i = 1; i <= 4; ++i) engine.held[kA].insert(AdapterName(i));
  input.engines.push_back(engine);
  input.wanted = {{kA, AdapterName(11)}, {kA, AdapterName(12)}};
  for (int round = 0; round < 6; ++round) {
    for (const auto& step : PlanAdapters(input)) {
      auto& held = input.engines[0].held[kA];
      if (step.load) {
        held.insert(step.adapter);
      } else {
        held.erase(step.adapter);
      }
      ASSERT_LE(held.size(), 4U);
    }
  }
  EXPECT_EQ(input.engines[0].held[kA].count(AdapterName(11)), 1U);
  EXPECT_EQ(input.engines[0].held[kA].count(AdapterName(12)), 1U);
}

TEST(AdapterPlannerTest, LeavesEnginesAloneThatAreNotAvailable) {
  AdapterInput input;
  input.adapters[kA] = {AdapterName(1)};
  AdapterEngine engine;
  engine.id = UpstreamId("x");
  engine.slots = 2;
  engine.held[kA] = {};
  engine.available = false;
  input.engines.push_back(engine);
  EXPECT_TRUE(PlanAdapters(input).empty());
}

// Guards against room that was made for a wanted adapter and goes to another
// one, because the caller's report was used up by the first of two orders.
TEST(WantedAdaptersTest, AClaimOutlastsTheOrderThatMakesRoom) {
  const auto at = [](double s) { return Timestamp(FromSeconds(1000 + s)); };
  WantedAdapters wanted(std::chrono::seconds(4));
  const WantedAdapters::Adapter adapter{ModelId("m"), AdapterId("a9")};
  wanted.Note(adapter, at(0));
  AdapterInput input;
  AdapterEngine engine;
  engine.id = UpstreamId("e");
  engine.slots = 1;
  engine.held = {{ModelId("m"), {AdapterId("a1")}}};
  input.engines = {engine};
  input.adapters = {
      {ModelId("m"), {AdapterId("a1"), AdapterId("a2"), AdapterId("a9")}}};
  input.wanted = wanted.Current(at(0));
  auto steps = PlanAdapters(input);
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_FALSE(steps[0].load);
  input.engines[0].held[ModelId("m")].clear();
  input.wanted = wanted.Current(at(0.2));
  steps = PlanAdapters(input);
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_TRUE(steps[0].load);
  EXPECT_EQ(steps[0].adapter, AdapterId("a9"));
  EXPECT_TRUE(wanted.Current(at(4.1)).empty());
}

}  // namespace
}  // namespace dotterellug
