#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <iostream>
#include <string>
#include <thread>

#include "routing/policy/expected_cost.h"
#include "routing/tests/routing_fixture.h"

namespace dotterellug {
namespace {

// Checks a property with a fixed seed, so that the result is reproducible.
template <typename Property>
auto PropertyHolds(const Property& property, std::uint64_t seed) -> bool {
  rc::detail::TestMetadata metadata;
  rc::detail::TestParams params;
  params.seed = seed;
  const auto result = rc::detail::checkTestable(property, metadata, params);
  rc::detail::printResultMessage(result, std::cerr);
  return result.template is<rc::detail::SuccessResult>();
}

auto IdOf(const RoutingTable& table, const RoutingDecision& decision)
    -> std::string {
  return table.Entries()[decision.chosen.position].id.Value();
}

// No request may be routed to an upstream that is draining or down, whose zone
// is disabled, that lacks the model, that the request excludes, or that has
// reached its concurrency limit.
TEST(RoutingProperty, NeverSelectsUnusableUpstream) {
  const auto property = [] {
    Fleet fleet;
    fleet.AddZone("in", false);
    fleet.AddZone("out", true);
    std::vector<std::string> usable;
    RoutingRequest request = RequestFor("m");
    request.blocks = HashBlocks(request.model, AdapterId(),
                                std::string(1024, 'x'), BlockHashing{});
    const auto count = *rc::gen::inRange(1, 12);
    for (int i = 0; i < count; ++i) {
      const auto name = "e" + std::to_string(i);
      const bool zone_out = *rc::gen::arbitrary<bool>();
      const bool has_model = *rc::gen::arbitrary<bool>();
      const bool excluded = *rc::gen::arbitrary<bool>();
      const bool has_capacity = *rc::gen::arbitrary<bool>();
      const auto state = *rc::gen::element(
          UpstreamState::kLive, UpstreamState::kDraining, UpstreamState::kDown);
      auto& status =
          fleet.AddUpstream(name, zone_out ? "out" : "in",
                            {ModelId(has_model ? "m" : "other")}, state);
      status.concurrency_limit = has_capacity ? 1 : 0;
      if (excluded) request.excluded.emplace_back(name);
      if (!zone_out && has_model && !excluded && has_capacity &&
          state == UpstreamState::kLive) {
        usable.push_back(name);
      }
    }
    const auto table = fleet.Build();
    PrefixIndex prefixes(PrefixIndexOptions{64});
    // The unusable upstreams have the lowest cost, because they have the prompt
    // cached.
    for (int i = 0; i < count; ++i) {
      const auto name = "e" + std::to_string(i);
      if (std::count(usable.begin(), usable.end(), name) > 0) continue;
      const auto slot = table->SlotOf(UpstreamId(name));
      prefixes.RecordPrompt(request.blocks, *slot, At(0));
    }
    RoutingThreadState state(*rc::gen::arbitrary<std::uint64_t>());
    for (const auto& policy : AllPolicies()) {
      const auto decision =
          ChooseEngine(policy, *table, prefixes, request, state, At(1));
      RC_ASSERT(decision.has_value() == !usable.empty());
      if (!decision) continue;
      RC_ASSERT(std::count(usable.begin(), usable.end(),
                           IdOf(*table, *decision)) == 1);
    }
  };
  EXPECT_TRUE(PropertyHolds(property, 1));
}

// A phase must not run on an engine with the wrong role.
TEST(RoutingTable, OnlyMatchingRolesRunAStage) {
  struct Case {
    RequestPhase phase;
    std::vector<std::string> expected;
  };
  Fleet fleet;
  fleet.AddZone("z", false);
  fleet.AddUpstream("both", "z", {ModelId("m")});
  fleet.AddUpstream("decode", "z", {ModelId("m")}).role = EngineRole::kDecode;
  fleet.AddUpstream("prefill", "z", {ModelId("m")}).role = EngineRole::kPrefill;
  const auto table = fleet.Build();
  for (const auto& c : {Case{RequestPhase::kPrefillAndDecode, {"both"}},
                        Case{RequestPhase::kPrefill, {"both", "prefill"}},
                        Case{RequestPhase::kDecode, {"both", "decode"}}}) {
    std::vector<std::string> names;
    for (const auto position : *table->ForModel(ModelId("m"), c.phase)) {
      names.push_back(table->Entries()[position].id.Value());
    }
    EXPECT_EQ(names, c.expected);
  }
}

// A new table must not lose or mix up counters and slots.
TEST(RoutingTable, KeepsCountersAndSlotsOfKnownUpstreams) {
  Fleet fleet;
  fleet.AddZone("z", false);
  fleet.AddUpstream("a", "z", {ModelId("m")});
  fleet.AddUpstream("b", "z", {ModelId("m")});
  const auto first = fleet.Build();
  const auto slot = *first->SlotOf(UpstreamId("b"));
  const auto ticket =
      InFlightGuard::Begin(first->LoadOf(UpstreamId("b")), Tokens(10), At(0));
  fleet.document.upstreams.erase(UpstreamId("a"));
  fleet.AddUpstream("c", "z", {ModelId("m")}).concurrency_limit.reset();
  const auto second = fleet.Build(first.get());
  EXPECT_EQ(*second->SlotOf(UpstreamId("b")), slot);
  EXPECT_EQ(second->LoadOf(UpstreamId("b"))->InFlight(), 1);
  EXPECT_EQ(second->NewSlots().size(), 1U);
  // A new upstream without a stated limit starts with its cold concurrency.
  EXPECT_EQ(second->LoadOf(UpstreamId("c"))->ConcurrencyLimit(), 2);
}

// An upstream must not receive more requests than its concurrency limit, and
// counts must not leak when a request ends without a first token.
TEST(UpstreamLoad, LimitsRequestsInFlight) {
  const auto load = std::make_shared<UpstreamLoad>(2);
  auto first = InFlightGuard::Begin(load, Tokens(100), At(0));
  {
    const auto second = InFlightGuard::Begin(load, Tokens(100), At(0));
    EXPECT_TRUE(second.has_value());
    EXPECT_FALSE(InFlightGuard::Begin(load, Tokens(100), At(0)).has_value());
    EXPECT_DOUBLE_EQ(load->Estimate(At(0)).queued_tokens, 200);
  }
  EXPECT_EQ(load->InFlight(), 1);
  EXPECT_DOUBLE_EQ(load->Estimate(At(0)).queued_tokens, 100);
  first->OnFirstToken();
  first->OnFirstToken();
  EXPECT_DOUBLE_EQ(load->Estimate(At(0)).queued_tokens, 0);
}

// Traffic threads must not lose counts or exceed the limit in a race. With the
// thread sanitizer, this also finds data races on the shared state.
TEST(UpstreamLoad, IsThreadSafe) {
  constexpr std::int64_t kConcurrencyLimit = 3;
  Fleet fleet;
  fleet.AddZone("z", false);
  fleet.AddUpstream("e0", "z", {ModelId("m")}).concurrency_limit =
      kConcurrencyLimit;
  fleet.AddUpstream("e1", "z", {ModelId("m")}).concurrency_limit =
      kConcurrencyLimit;
  const auto table = fleet.Build();
  PrefixIndex prefixes(PrefixIndexOptions{64});
  std::atomic<std::int64_t> begun{0};
  std::atomic<bool> exceeded{false};
  const auto traffic = [&](int seed) {
    RoutingThreadState state(seed);
    auto request = RequestFor("m");
    for (int i = 0; i < 2000; ++i) {
      request.blocks = {state.random.Below(8), state.random.Below(8)};
      const auto decision =
          ChooseEngine(ExpectedCost{}, *table, prefixes, request, state, At(i));
      if (!decision) continue;
      const auto& entry = table->Entries()[decision->chosen.position];
      auto ticket = InFlightGuard::Begin(entry.load, Tokens(10), At(i));
      if (!ticket) continue;
      ++begun;
      if (entry.load->InFlight() > kConcurrencyLimit) exceeded = true;
      prefixes.RecordPrompt(request.blocks, entry.slot, At(i));
      ticket->OnFirstToken();
    }
  };
  std::array<std::thread, 4> threads;
  for (int seed = 0; seed < 4; ++seed) {
    threads[seed] = std::thread(traffic, seed);
  }
  for (int i = 0; i < 2000; ++i) {
    LoadReport report;
    report.measured_at = At(i);
    table->LoadOf(UpstreamId("e0"))->ApplyReport(report);
  }
  for (auto& thread : threads) thread.join();
  EXPECT_FALSE(exceeded);
  EXPECT_GT(begun, 0);
  for (const auto& entry : table->Entries()) {
    EXPECT_EQ(entry.load->InFlight(), 0);
    EXPECT_DOUBLE_EQ(entry.load->Estimate(At(100'000)).queued_tokens, 0);
  }
}

// Requests of this daemon must not be counted twice or not at all when a report
// is late, and the estimate must not grow when reports stop.
TEST(UpstreamLoad, CorrectsLateReportsForOwnRequests) {
  struct Case {
    const char* name;
    std::int64_t measured_ms;
    std::int64_t reported_tokens;
    std::int64_t reported_requests;
    double expected_tokens;
    double expected_requests;
  };
  // This daemon sends 800 tokens at 1000 ms and 400 at 2000 ms. The engine
  // processes 0.1 tokens per ms. Estimates are for 2100 ms. Other daemons
  // account for 500 tokens and 4 requests of the report.
  const std::vector<Case> cases = {
      {"before both requests", 900, 500, 4, 500 - 120 + 1200, 6},
      {"between the requests", 1500, 1300, 5, 500 - 60 + 1200, 6},
      {"after both requests", 2100, 1700, 6, 500 + 1200, 6},
      {"queue of other daemons is processed", 1500, 850, 5, 1200, 6},
      {"report has less than was sent", 2100, 300, 1, 1200, 2},
  };
  for (const auto& c : cases) {
    UpstreamLoad load(100);
    load.TryBegin(Tokens(0), At(100));
    load.End();
    load.TryBegin(Tokens(800), At(1000));
    load.TryBegin(Tokens(400), At(2000));
    LoadReport report;
    report.measured_at = At(c.measured_ms);
    report.waiting_tokens = Tokens(c.reported_tokens);
    // The record at 100 ms includes a request that has ended since.
    report.running_requests =
        c.reported_requests + (c.measured_ms < 1000 ? 1 : 0);
    report.prefill_tokens_per_ms = 0.1;
    EXPECT_TRUE(load.ApplyReport(report));
    const auto estimate = load.Estimate(At(2100));
    EXPECT_NEAR(estimate.queued_tokens, c.expected_tokens, 1e-6) << c.name;
    EXPECT_DOUBLE_EQ(estimate.total_requests, c.expected_requests) << c.name;
    report.measured_at = At(c.measured_ms - 1);
    EXPECT_FALSE(load.ApplyReport(report)) << c.name;
  }
}

// Each component of the cost must have its expected value.
TEST(ExpectedCost, ComputesEachComponent) {
  Fleet fleet;
  fleet.AddZone("z", false);
  fleet.AddUpstream("e", "z", {ModelId("m")}).adapters = {AdapterId("warm")};
  const auto table = fleet.Build();
  LoadReport report;
  report.measured_at = At(1000);
  report.waiting_tokens = Tokens(2000);
  report.running_requests = 8;
  report.prefill_tokens_per_ms = 10;
  table->LoadOf(UpstreamId("e"))->ApplyReport(report);
  auto request = RequestFor("m", 1000);
  request.adapter = AdapterId("cold");
  const auto evaluated =
      EvaluateCandidate(ExpectedCost{}, *table, request, 0, 5, At(1000));
  EXPECT_DOUBLE_EQ(evaluated.cost.queue_ms, 200);
  EXPECT_DOUBLE_EQ(evaluated.cost.contention_ms, 8 * 3.0);
  EXPECT_DOUBLE_EQ(evaluated.cost.prefill_ms, (1000 - 5 * 64) / 10.0);
  EXPECT_DOUBLE_EQ(evaluated.cost.adapter_ms, 7);
  EXPECT_DOUBLE_EQ(evaluated.cost.network_ms, 2);
  request.adapter = AdapterId("warm");
  EXPECT_DOUBLE_EQ(
      EvaluateCandidate(ExpectedCost{}, *table, request, 0, 5, At(1000))
          .cost.adapter_ms,
      0);
}

// After one stale report, many daemons must not all send their next request to
// the upstream that appears idle (thundering herd). Three random draws out of 9
// include it with probability 0.3.
TEST(ExpectedCost, StaleReportCausesNoThunderingHerd) {
  constexpr int kDaemons = 200;
  int received = 0;
  Fleet fleet;
  fleet.AddZone("z", false);
  for (int i = 0; i < 9; ++i) {
    fleet.AddUpstream("e" + std::to_string(i), "z", {ModelId("m")});
  }
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    const auto table = fleet.Build();
    for (const auto& entry : table->Entries()) {
      LoadReport report;
      report.measured_at = At(1000);
      report.waiting_tokens = Tokens(entry.id.Value() == "e0" ? 0 : 500);
      entry.load->ApplyReport(report);
    }
    const PrefixIndex prefixes(PrefixIndexOptions{64});
    RoutingThreadState state(daemon);
    const auto decision = ChooseEngine(ExpectedCost{}, *table, prefixes,
                                       RequestFor("m"), state, At(1000));
    received += IdOf(*table, *decision) == "e0" ? 1 : 0;
  }
  EXPECT_GT(received, kDaemons / 9);
  EXPECT_LT(received, kDaemons * 2 / 5);
}

// Cache events that are late, duplicated, reordered or missing must not restore
// removed entries or lose valid ones.
TEST(CacheEvents, HandlesLateAndMissingEvents) {
  struct Case {
    const char* name;
    std::vector<CacheEvent> events;
    std::size_t expected_blocks;
    std::int64_t ignored;
    std::int64_t missing;
  };
  constexpr auto kStored = CacheEventKind::kStored;
  constexpr auto kRemoved = CacheEventKind::kRemoved;
  const auto blocks = HashBlocks(ModelId("m"), AdapterId(),
                                 std::string(1024, 'x'), BlockHashing{});
  const BlockHashes last{blocks[3]};
  const Incarnation one(1);
  const Incarnation two(2);
  const std::vector<Case> cases = {
      {"in order", {{0, one, 1, kStored, blocks}}, 4, 0, 0},
      {"earlier block's event lost", {{0, one, 5, kStored, last}}, 4, 0, 0},
      {"removed",
       {{0, one, 1, kStored, blocks}, {0, one, 2, kRemoved, last}},
       3,
       0,
       0},
      {"reordered store after removal",
       {{0, one, 2, kRemoved, last}, {0, one, 1, kStored, last}},
       0,
       1,
       0},
      {"duplicate store after removal",
       {{0, one, 1, kStored, last},
        {0, one, 2, kRemoved, last},
        {0, one, 1, kStored, last}},
       0,
       1,
       0},
      {"missing event",
       {{0, one, 1, kStored, blocks}, {0, one, 4, kRemoved, last}},
       3,
       0,
       2},
      {"restart clears the entries",
       {{0, one, 7, kStored, blocks}, {0, two, 1, kStored, {blocks[0]}}},
       1,
       0,
       0},
      {"late event of the earlier incarnation",
       {{0, two, 1, kStored, {blocks[0]}}, {0, one, 9, kStored, blocks}},
       1,
       1,
       0},
      {"cleared",
       {{0, one, 1, kStored, blocks},
        {0, one, 2, CacheEventKind::kCleared, {}}},
       0,
       0,
       0},
  };
  for (const auto& c : cases) {
    PrefixIndex index(PrefixIndexOptions{64});
    CacheEventApplier applier(index);
    for (const auto& event : c.events) applier.Apply(event, At(0));
    const auto found = index.Lookup(blocks, At(1));
    EXPECT_EQ(found.count > 0 ? found.matches[0].blocks : 0, c.expected_blocks)
        << c.name;
    EXPECT_EQ(applier.Counts().ignored, c.ignored) << c.name;
    EXPECT_EQ(applier.Counts().missing, c.missing) << c.name;
  }
}

// The index must not grow, and must not return expired entries.
TEST(PrefixIndex, BoundsMemoryAndExpiresEntries) {
  PrefixIndex index(PrefixIndexOptions{64});
  const auto memory = index.MemoryBytes();
  const auto blocks = HashBlocks(ModelId("m"), AdapterId(),
                                 std::string(1024, 'x'), BlockHashing{});
  index.RecordPrompt(blocks, 3, At(0));
  EXPECT_EQ(index.Lookup(blocks, At(599'000)).count, 1U);
  EXPECT_EQ(index.Lookup(blocks, At(602'000)).count, 0U);
  Random random(1);
  for (int i = 0; i < 100'000; ++i) index.Insert(random.Next(), 1, At(i));
  EXPECT_EQ(index.MemoryBytes(), memory);
}

// Prompts of different models or adapters must not share block hashes.
TEST(BlockHashes, CoverModelAdapterAndPrecedingBlocks) {
  const std::string prompt(600, 'x');
  const auto hash = [&](const char* model, const char* adapter,
                        const std::string& text) {
    return HashBlocks(ModelId(model), AdapterId(adapter), text,
                      BlockHashing{256, 64});
  };
  const auto base = hash("m", "", prompt);
  ASSERT_EQ(base.size(), 2U);
  auto changed = prompt;
  changed[0] = 'y';
  for (const auto& other : {hash("n", "", prompt), hash("m", "a", prompt),
                            hash("m", "", changed)}) {
    EXPECT_NE(base[0], other[0]);
    EXPECT_NE(base[1], other[1]);
  }
}

// A plain service must not receive requests without a live instance, and the
// selection must consider the load.
TEST(ServiceRouting, PrefersFewerRequestsInFlight) {
  Fleet fleet;
  fleet.AddZone("z", false);
  fleet.AddUpstream("s0", "z", {});
  fleet.AddUpstream("s1", "z", {});
  fleet.AddUpstream("s2", "z", {}, UpstreamState::kDraining);
  const auto table = fleet.Build();
  RoutingThreadState state(5);
  for (int i = 0; i < 100; ++i) {
    const auto decision =
        ChooseServiceInstance(*table, PoolId("pool"), {}, state);
    ASSERT_TRUE(decision.has_value());
    table->Entries()[decision->chosen.position].load->TryBegin(Tokens(0),
                                                               At(0));
  }
  EXPECT_NEAR(table->LoadOf(UpstreamId("s0"))->InFlight(), 50, 10);
  EXPECT_EQ(table->LoadOf(UpstreamId("s2"))->InFlight(), 0);
  const auto unknown = ChooseServiceInstance(*table, PoolId("none"), {}, state);
  EXPECT_EQ(unknown.error(), NoUpstreamReason::kNoCandidate);
}

}  // namespace
}  // namespace dotterellug
