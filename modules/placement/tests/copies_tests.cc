#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <map>

#include "placement/copies/adapter_planner.h"
#include "placement/copies/copy_planner.h"
#include "placement/copies/requested_adapters.h"

namespace dotterellug {
namespace {

auto MakeModel(const std::string& id, double demand, double weight = 70)
    -> CopyPlannerModel {
  return {ModelId(id), weight, demand};
}

auto MakeEngine(const std::string& id, std::set<ModelId> models,
                double capacity = 230) -> CopyPlannerEngine {
  CopyPlannerEngine engine;
  engine.id = UpstreamId(id);
  engine.capacity_mb = capacity;
  engine.models = std::move(models);
  return engine;
}

const ModelId kA("a");
const ModelId kB("b");
const ModelId kC("c");
const ModelId kD("d");

// Guards against orders before any request: at the start of a deployment the
// copies stay where the operators put them.
TEST(CopyPlannerTest, PlansNothingWithoutDemand) {
  CopyPlannerInput input;
  input.models = {MakeModel("a", 0), MakeModel("b", 0), MakeModel("c", 0)};
  input.engines = {MakeEngine("x", {kA, kB}), MakeEngine("y", {kA, kC})};
  input.max_weight_store_loads = 2;
  EXPECT_TRUE(CopyPlanner().Plan(input).empty());
}

TEST(CopyPlannerTest, LoadsAModelWithoutACopy) {
  CopyPlannerInput input;
  input.models = {MakeModel("a", 0), MakeModel("b", 0)};
  input.engines = {MakeEngine("x", {kA}), MakeEngine("y", {})};
  input.max_weight_store_loads = 1;
  const auto orders = CopyPlanner().Plan(input);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].kind, CopyOrderKind::kLoad);
  EXPECT_EQ(orders[0].model, kB);
  EXPECT_TRUE(orders[0].from_weight_store);
}

// Guards against more store loads than allowed; cached weights are loaded
// regardless of the limit.
TEST(CopyPlannerTest, RespectsTheLimitOfStoreLoads) {
  CopyPlannerInput input;
  input.models = {MakeModel("a", 0), MakeModel("b", 0), MakeModel("c", 0)};
  input.engines = {MakeEngine("x", {}), MakeEngine("y", {}),
                   MakeEngine("z", {})};
  input.engines[2].cached = {kC};
  input.max_weight_store_loads = 0;
  const auto orders = CopyPlanner().Plan(input);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].model, kC);
  EXPECT_FALSE(orders[0].from_weight_store);
}

// The model with the most copies gets no more requests and the demand for
// another one rises. A surplus copy is evicted, never the last copy of a model.
TEST(CopyPlannerTest, EvictsACopyForAModelWithRisingDemand) {
  CopyPlannerInput input;
  input.models = {MakeModel("a", 0), MakeModel("b", 1000), MakeModel("c", 1),
                  MakeModel("d", 1)};
  input.engines = {MakeEngine("x", {kA, kC, kD}),
                   MakeEngine("y", {kA, kB, kC})};
  input.max_weight_store_loads = 2;
  const auto orders = CopyPlanner().Plan(input);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].kind, CopyOrderKind::kUnload);
  EXPECT_EQ(orders[0].engine, UpstreamId("x"));
  EXPECT_TRUE(orders[0].model == kA || orders[0].model == kC);
}

// Guards against models that never get a second copy because none has a large
// fraction of the demand, as with 259 models on 140 engines.
TEST(CopyPlannerTest, AddsCopiesWhenDemandIsSpreadOverManyModels) {
  CopyPlannerInput input;
  for (int i = 0; i < 100; ++i) {
    input.models.push_back(MakeModel("m" + std::to_string(i), 10));
    input.engines.push_back(MakeEngine("e" + std::to_string(i),
                                       {ModelId("m" + std::to_string(i))}));
  }
  input.max_weight_store_loads = 5;
  const auto orders = CopyPlanner().Plan(input);
  EXPECT_EQ(orders.size(), 5U);
  for (const auto& step : orders) EXPECT_EQ(step.kind, CopyOrderKind::kLoad);
}

// Guards against a copy on a slow engine while a fast one has memory for it,
// and against a plan that counts copies on slow engines like fast ones.
TEST(CopyPlannerTest, TakesTheSpeedOfEnginesIntoAccount) {
  CopyPlannerInput input;
  input.models = {MakeModel("a", 50), MakeModel("b", 40)};
  input.engines = {MakeEngine("slow", {}), MakeEngine("fast", {}),
                   MakeEngine("x", {kA})};
  input.engines[0].work_factor = 1.7;
  input.engines[1].work_factor = 0.7;
  input.max_weight_store_loads = 1;
  auto orders = CopyPlanner().Plan(input);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].engine, UpstreamId("fast"));
  // Model a has two copies on slow engines, b two on fast ones, and there is
  // memory for one more copy.
  input.models = {MakeModel("a", 100), MakeModel("b", 110)};
  input.engines = {MakeEngine("s1", {kA}, 70), MakeEngine("s2", {kA}, 70),
                   MakeEngine("f1", {kB}, 70), MakeEngine("f2", {kB}, 70),
                   MakeEngine("free", {}, 70)};
  orders = CopyPlanner().Plan(input);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].model, kB);
  for (std::size_t i = 0; i < 4; ++i) {
    input.engines[i].work_factor = i < 2 ? 1.7 : 0.7;
  }
  orders = CopyPlanner().Plan(input);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].model, kA);
}

TEST(CopyPlannerTest, PlansNothingWhenDemandIsBalanced) {
  CopyPlannerInput input;
  input.models = {MakeModel("a", 100), MakeModel("b", 90), MakeModel("c", 110)};
  input.engines = {MakeEngine("x", {kA, kB, kC}),
                   MakeEngine("y", {kA, kB, kC})};
  input.max_weight_store_loads = 2;
  EXPECT_TRUE(CopyPlanner().Plan(input).empty());
}

// Guards against an engine with overcommitted memory and against a model
// without a copy, for random states and orders in progress.
TEST(CopyPlannerTest, NeverOvercommitsMemoryOrEvictsTheLastCopy) {
  EXPECT_TRUE(rc::check([](std::uint64_t seed) {
    Random random(seed);
    CopyPlannerInput input;
    const auto models = 3 + random.Below(10);
    for (std::uint64_t i = 0; i < models; ++i) {
      input.models.push_back(MakeModel(
          "m" + std::to_string(i), static_cast<double>(random.Below(1000)),
          60 + static_cast<double>(random.Below(15))));
    }
    const auto engines = 2 + random.Below(8);
    for (std::uint64_t i = 0; i < engines; ++i) {
      auto engine = MakeEngine("e" + std::to_string(i), {});
      engine.busy = random.Below(4) == 0;
      engine.usable = random.Below(6) != 0;
      engine.adapter_mb = 1;
      for (int k = 0; k < 3; ++k) {
        engine.models.insert(input.models[random.Below(models)].id);
        if (random.Below(2) == 0) break;
      }
      engine.cached.insert(input.models[random.Below(models)].id);
      input.engines.push_back(std::move(engine));
    }
    input.max_weight_store_loads = static_cast<std::int64_t>(random.Below(3));
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
    std::int64_t started_store_loads = 0;
    for (const auto& step : CopyPlanner().Plan(input)) {
      RC_ASSERT(ordered.insert(step.engine).second);
      const auto engine = std::find_if(
          input.engines.begin(), input.engines.end(),
          [&](const auto& candidate) { return candidate.id == step.engine; });
      RC_ASSERT(engine->usable && !engine->busy);
      if (step.kind == CopyOrderKind::kUnload) {
        RC_ASSERT(engine->models.count(step.model) == 1);
        --copies[step.model];
        continue;
      }
      started_store_loads += step.from_weight_store ? 1 : 0;
      auto used = engine->adapter_mb + weight(step.model);
      for (const auto& model : engine->models) used += weight(model);
      RC_ASSERT(used <= engine->capacity_mb);
    }
    RC_ASSERT(started_store_loads <= input.max_weight_store_loads);
    for (const auto& [model, count] : before) {
      if (count > 0) RC_ASSERT(copies[model] >= 1);
    }
  }));
}

auto AdapterName(int i) -> AdapterId {
  return AdapterId("a" + std::to_string(i));
}

// Guards against adapters that are never loaded and against more adapters than
// an engine has slots, over a whole sequence of orders.
TEST(AdapterPlannerTest, LoadsEveryAdapterWithinTheSlotLimit) {
  AdapterPlannerInput input;
  for (int i = 1; i <= 14; ++i) {
    input.adapters[kA].push_back(AdapterName(i));
  }
  for (const auto* id : {"x", "y"}) {
    AdapterPlannerEngine engine;
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

// A rare adapter is requested while all slots are in use.
TEST(AdapterPlannerTest, EvictsAnAdapterForARequestedOne) {
  AdapterPlannerInput input;
  for (int i = 1; i <= 3; ++i) input.adapters[kA].push_back(AdapterName(i));
  AdapterPlannerEngine engine;
  engine.id = UpstreamId("x");
  engine.slots = 2;
  engine.held[kA] = {AdapterName(1), AdapterName(2)};
  input.engines.push_back(engine);
  input.requested = {{kA, AdapterName(3)}};
  const auto orders = PlanAdapters(input);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_FALSE(orders[0].load);
}

// Guards against a freed slot that another adapter takes before the requested
// one is loaded.
TEST(AdapterPlannerTest, LoadsARequestedAdapterIntoTheFreedSlot) {
  AdapterPlannerInput input;
  for (int i = 1; i <= 12; ++i) input.adapters[kA].push_back(AdapterName(i));
  AdapterPlannerEngine engine;
  engine.id = UpstreamId("x");
  engine.slots = 4;
  for (int i = 1; i <= 4; ++i) engine.held[kA].insert(AdapterName(i));
  input.engines.push_back(engine);
  input.requested = {{kA, AdapterName(11)}, {kA, AdapterName(12)}};
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

TEST(AdapterPlannerTest, SkipsUnavailableEngines) {
  AdapterPlannerInput input;
  input.adapters[kA] = {AdapterName(1)};
  AdapterPlannerEngine engine;
  engine.id = UpstreamId("x");
  engine.slots = 2;
  engine.held[kA] = {};
  engine.available = false;
  input.engines.push_back(engine);
  EXPECT_TRUE(PlanAdapters(input).empty());
}

// A few models with most of the demand, and a long tail of models that are
// requested once in ten seconds or less often, each with one copy. Guards
// against a tail that fills most of the memory while the engines of the models
// in high demand serve several times the mean demand per engine (seen as 10 to
// 19 of 55 engines with 40% of all requests, which were answered late or
// abandoned by their callers).
TEST(CopyPlannerTest, EvictsRareModelsForModelsInHighDemand) {
  constexpr int kEngines = 60;
  constexpr int kModels = 131;
  CopyPlannerInput input;
  input.demand_observed = true;
  for (int i = 0; i < kModels; ++i) {
    const auto rank = static_cast<double>(i + 1);
    const auto demand = i < 70 ? 65'000 / std::pow(rank, 1.1) : 20.0;
    CopyPlannerModel model{ModelId("m" + std::to_string(i)), 70, demand,
                           demand};
    input.models.push_back(model);
  }
  for (int i = 0; i < kEngines; ++i) {
    input.engines.push_back(MakeEngine("e" + std::to_string(i), {}));
    input.engines.back().load = 0.9;
  }
  for (int i = 0; i < 180; ++i) {
    auto& engine = input.engines[static_cast<std::size_t>(i % kEngines)];
    const auto& model = input.models[static_cast<std::size_t>(i % kModels)].id;
    engine.models.insert(model);
    engine.cached.insert(model);
  }
  double total = 0;
  for (const auto& model : input.models) total += model.demand;
  const auto mean_engine_demand = total / kEngines;
  // Each round's orders take effect before the next one.
  for (int round = 0; round < 200; ++round) {
    input.max_weight_store_loads = 2;
    for (const auto& step : CopyPlanner().Plan(input)) {
      for (auto& engine : input.engines) {
        if (engine.id != step.engine) continue;
        if (step.kind == CopyOrderKind::kLoad) {
          engine.models.insert(step.model);
          engine.cached.insert(step.model);
        } else {
          engine.models.erase(step.model);
        }
        ASSERT_LE(engine.models.size(), 3U);
      }
    }
  }
  std::map<ModelId, int> copies;
  for (const auto& engine : input.engines) {
    for (const auto& model : engine.models) ++copies[model];
  }
  for (const auto& model : input.models) {
    const auto per_copy = model.demand / std::max(copies[model.id], 1);
    // No copy has more than the mean demand per engine, so that routing can
    // balance the three models of an engine.
    EXPECT_LE(per_copy, mean_engine_demand) << model.id.Value();
    // A model that is requested regularly keeps a copy.
    if (model.demand > 0.02 * mean_engine_demand) {
      EXPECT_GE(copies[model.id], 1) << model.id.Value();
    }
  }
}

// Guards against evicting the last copy of a rare model that could be loaded
// again only from the weight store, or whose demand was not observed yet.
TEST(CopyPlannerTest, KeepsTheLastCopyOfARareModelThatIsNotCached) {
  CopyPlannerInput input;
  input.models = {MakeModel("a", 0), MakeModel("b", 1000)};
  input.engines = {MakeEngine("x", {kA}, 71), MakeEngine("y", {kB}, 71)};
  input.max_weight_store_loads = 1;
  input.demand_observed = true;
  EXPECT_TRUE(CopyPlanner().Plan(input).empty());
  input.engines[0].cached = {kA};
  input.engines[1].load = 0.8;
  ASSERT_EQ(CopyPlanner().Plan(input).size(), 1U);
  // It is also kept while the model in high demand has free slots (seen as
  // refusals when the demand for a rare model rose during low load).
  input.engines[1].load = 0.2;
  EXPECT_TRUE(CopyPlanner().Plan(input).empty());
  input.engines[1].load = 0.8;
  input.demand_observed = false;
  EXPECT_TRUE(CopyPlanner().Plan(input).empty());
}

// Guards against a model without a copy that is not loaded when it is
// requested.
TEST(CopyPlannerTest, LoadsARequestedModelWithoutACopy) {
  CopyPlannerInput input;
  input.models = {MakeModel("a", 15), MakeModel("b", 1000)};
  input.engines = {MakeEngine("x", {kB}, 71), MakeEngine("y", {kB}, 71)};
  input.engines[0].cached = {kA};
  input.demand_observed = true;
  const auto orders = CopyPlanner().Plan(input);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].engine, UpstreamId("x"));
  input.models[0].demand = 0;
  EXPECT_TRUE(CopyPlanner().Plan(input).empty());
}

// Guards against memory that was freed for a model in high demand and goes to a
// rarely requested one, because only that one can be loaded without the store.
TEST(CopyPlannerTest, ReservesMemoryForTheHighestDemandPerCopy) {
  CopyPlannerInput input;
  input.models = {MakeModel("a", 1000), MakeModel("b", 300),
                  MakeModel("c", 100)};
  input.engines = {MakeEngine("x", {kA, kB, kC}), MakeEngine("y", {}, 71)};
  input.engines[1].cached = {kC};
  input.max_weight_store_loads = 0;
  EXPECT_TRUE(CopyPlanner().Plan(input).empty());
  input.max_weight_store_loads = 1;
  const auto orders = CopyPlanner().Plan(input);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].model, kA);
}

// Guards against a copy that is loaded for one model and evicted for another
// before the demand estimate follows.
TEST(CopyPlannerTest, KeepsARecentlyLoadedCopy) {
  CopyPlannerInput input;
  input.models = {MakeModel("a", 0), MakeModel("b", 100)};
  input.engines = {MakeEngine("x", {kA}, 71), MakeEngine("y", {kA}, 71),
                   MakeEngine("z", {kB}, 71)};
  input.max_weight_store_loads = 1;
  input.engines[0].recently_loaded = {kA};
  const auto orders = CopyPlanner().Plan(input);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].engine, UpstreamId("y"));
  input.engines[1].recently_loaded = {kA};
  EXPECT_TRUE(CopyPlanner().Plan(input).empty());
}

// Guards against a freed slot that goes to another adapter than the requested
// one, because the request was dropped after the first of the two orders.
TEST(RequestedAdaptersTest, RequestOutlivesTheUnloadThatFreesASlot) {
  const auto at = [](double s) { return Timestamp(FromSeconds(1000 + s)); };
  RequestedAdapters requested(std::chrono::seconds(4));
  const RequestedAdapters::Adapter adapter{ModelId("m"), AdapterId("a9")};
  requested.OnRequest(adapter, at(0));
  AdapterPlannerInput input;
  AdapterPlannerEngine engine;
  engine.id = UpstreamId("e");
  engine.slots = 1;
  engine.held = {{ModelId("m"), {AdapterId("a1")}}};
  input.engines = {engine};
  input.adapters = {
      {ModelId("m"), {AdapterId("a1"), AdapterId("a2"), AdapterId("a9")}}};
  input.requested = requested.Current(at(0));
  auto orders = PlanAdapters(input);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_FALSE(orders[0].load);
  input.engines[0].held[ModelId("m")].clear();
  input.requested = requested.Current(at(0.2));
  orders = PlanAdapters(input);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_TRUE(orders[0].load);
  EXPECT_EQ(orders[0].adapter, AdapterId("a9"));
  EXPECT_TRUE(requested.Current(at(4.1)).empty());
}

}  // namespace
}  // namespace dotterellug
