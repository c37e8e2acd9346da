#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>

#include "serving/serving.h"

namespace dotterellug::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto At(double s) -> Timestamp { return Timestamp(FromSeconds(1000 + s)); }

auto MakeRoute(const std::string& host, const std::string& prefix)
    -> ServiceRoute {
  ServiceRoute route;
  route.name = host + prefix;
  route.host = host;
  route.path_prefix = prefix;
  route.pools = {{PoolId("p"), 1}};
  return route;
}

auto MakeRecord(const std::string& id, std::int64_t slots = 8)
    -> UpstreamRecord {
  UpstreamRecord record;
  record.id = UpstreamId(id);
  record.pool = PoolId("p");
  record.zone = AvailabilityZoneId("a");
  record.address = {"127.0.0.1", 1};
  record.slots = slots;
  return record;
}

// Guards against a shorter prefix winning, and against a prefix that ends
// within a path segment.
TEST(ServingCatalogTest, ChoosesTheLongestPrefix) {
  ServingCatalog catalog;
  catalog.AddRoute(MakeRoute("h", "/a/"));
  catalog.AddRoute(MakeRoute("h", "/a/b/"));
  EXPECT_EQ(catalog.FindRoute("h", "/a/b/c?x=/a/z/")->path_prefix, "/a/b/");
  EXPECT_EQ(catalog.FindRoute("h", "/a/bc")->path_prefix, "/a/");
  EXPECT_EQ(catalog.FindRoute("h", "/b/"), nullptr);
  EXPECT_EQ(catalog.FindRoute("other", "/a/"), nullptr);
}

TEST(ServingCatalogTest, FindsAccountsByKey) {
  ServingCatalog catalog;
  ServiceAccount account;
  account.id = ClientAccountId("shop");
  catalog.AddAccount(account, {"k1", "k2"});
  EXPECT_EQ(catalog.FindAccount("k2")->id, account.id);
  EXPECT_EQ(catalog.FindAccount(std::string("k3")), nullptr);
}

// Guards against a fleet whose repeated attempts multiply the load of a failing
// pool: whatever the daemons do, the sum in any window keeps to the ratio.
TEST(RepeatBudgetTest, SumOverDaemonsKeepsToTheBoundInEveryWindow) {
  rc::check([](std::uint64_t seed) {
    Random random(seed);
    const RetryLimits limits{0.2, 58, seconds(10)};
    const auto daemons = static_cast<std::int64_t>(1 + random.Below(9));
    std::vector<RepeatBudget> budgets(static_cast<std::size_t>(daemons),
                                      RepeatBudget(limits));
    for (auto& budget : budgets) budget.SetDaemons(daemons);
    std::deque<double> requests;
    std::deque<double> retries;
    double now = 0;
    const PoolId pool("p");
    for (int i = 0; i < 3000; ++i) {
      now += random.Exponential(0.01);
      auto& budget = budgets[random.Below(budgets.size())];
      if (random.Below(3) == 0) {
        budget.CountRequest(pool, At(now));
        requests.push_back(now);
      }
      if (budget.TryRepeat(pool, At(now))) retries.push_back(now);
      while (!retries.empty() && retries.front() < now - 10) {
        retries.pop_front();
      }
      while (!requests.empty() && requests.front() < now - 10) {
        requests.pop_front();
      }
      RC_ASSERT(static_cast<double>(retries.size()) <=
                0.2 * static_cast<double>(requests.size()) + 58);
    }
  });
}

// Guards against events that are cut, lost or joined when a stream goes on at
// another upstream.
TEST(EventSplitterTest, ReturnsWholeEventsHoweverTheBytesAreCut) {
  const std::string stream =
      "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata: d\n\n";
  for (std::size_t size = 1; size < stream.size(); ++size) {
    EventSplitter splitter;
    std::string out;
    for (std::size_t at = 0; at < stream.size(); at += size) {
      const auto piece = splitter.Feed(stream.substr(at, size));
      EXPECT_TRUE(piece.empty() || piece.substr(piece.size() - 2) == "\n\n");
      out += piece;
    }
    EXPECT_EQ(out, stream);
    EXPECT_EQ(splitter.LastEvent(), 3);
    EXPECT_EQ(splitter.Events(), 3);
    EXPECT_TRUE(splitter.Rest().empty());
  }
}

TEST(EventSplitterTest, KeepsAnIncompleteEventBack) {
  EventSplitter splitter;
  EXPECT_EQ(splitter.Feed("id: 7\ndata: x\n\nid: 8\ndata: par"),
            "id: 7\ndata: x\n\n");
  EXPECT_EQ(splitter.LastEvent(), 7);
  splitter.DropRest();
  EXPECT_EQ(splitter.Feed("id: 8\ndata: whole\n\n"), "id: 8\ndata: whole\n\n");
  EXPECT_EQ(splitter.LastEvent(), 8);
}

class UpstreamChoiceTest : public ::testing::Test {
 protected:
  auto Choose(std::vector<UpstreamId> excluded = {})
      -> tl::expected<UpstreamTable::Entry, NoChoice> {
    ChoiceRequest request;
    request.pool = PoolId("p");
    request.zone = AvailabilityZoneId("a");
    request.excluded = std::move(excluded);
    request.model = model_;
    return choice_.Choose(
        table_, request, {}, [](const auto&) { return true; }, random_, At(0));
  }

  UpstreamTable table_;
  UpstreamChoice choice_;
  Random random_{1};
  ModelId model_;
};

// Guards against new work for an upstream that leaves or whose zone is out.
TEST_F(UpstreamChoiceTest, SkipsLeavingUpstreamsAndZonesOut) {
  auto leaving = MakeRecord("x");
  leaving.leaving = true;
  table_.Upsert(leaving, At(0));
  EXPECT_EQ(Choose().error(), NoChoice::kNoUpstream);
  table_.Upsert(MakeRecord("y"), At(0));
  EXPECT_EQ((*Choose())->record.id, UpstreamId("y"));
  table_.SetZonesOut({AvailabilityZoneId("a")});
  EXPECT_EQ(Choose().error(), NoChoice::kNoUpstream);
}

TEST_F(UpstreamChoiceTest, NeedsTheModelAndNamesTheReason) {
  auto record = MakeRecord("x");
  record.models = {{ModelId("m"), 1, {}}};
  table_.Upsert(record, At(0));
  model_ = ModelId("n");
  EXPECT_EQ(Choose().error(), NoChoice::kNoModel);
  model_ = ModelId("m");
  EXPECT_TRUE(Choose().has_value());
  EXPECT_EQ(Choose({UpstreamId("x")}).error(), NoChoice::kFull);
}

// Pattern: a burst arrives while reports lag. The daemon's own sends since the
// last report must spread it.
TEST_F(UpstreamChoiceTest, SpreadsABurstBetweenReports) {
  for (const auto* id : {"x", "y", "z"}) table_.Upsert(MakeRecord(id), At(0));
  for (int i = 0; i < 24; ++i) (*Choose())->requests += 1;
  for (const auto& [id, entry] : table_.All()) {
    EXPECT_GE(entry->requests, 6) << id;
  }
}

// Pattern: a burst of long prompts. An engine that still reads prompts gets no
// further ones while another is free, although both run as many requests.
TEST_F(UpstreamChoiceTest, AvoidsAnEngineThatReadsLongPrompts) {
  for (const auto* id : {"x", "y"}) table_.Upsert(MakeRecord(id), At(0));
  table_.Find(UpstreamId("x"))->prefill_tokens = 5000;
  for (int i = 0; i < 3; ++i) {
    const auto chosen = *Choose();
    EXPECT_EQ(chosen->record.id, UpstreamId("y"));
    chosen->requests += 1;
  }
}

// Pattern: an upstream whose health looks good fails part of its requests.
TEST_F(UpstreamChoiceTest, MovesWorkAwayFromAFailingUpstream) {
  for (const auto* id : {"x", "y"}) table_.Upsert(MakeRecord(id), At(0));
  const auto failing = table_.Find(UpstreamId("x"));
  for (int i = 0; i < 5; ++i) failing->NoteFailure(At(0));
  for (int i = 0; i < 6; ++i) {
    const auto chosen = *Choose();
    EXPECT_EQ(chosen->record.id, UpstreamId("y"));
    chosen->requests += 1;
  }
}

// Guards against an old process's counts staying with a new one of the same id.
TEST(UpstreamTableTest, ANewStartReplacesTheEntry) {
  UpstreamTable table;
  auto record = MakeRecord("x");
  record.started_ms = 1;
  table.Upsert(record, At(0));
  table.Find(UpstreamId("x"))->requests = 5;
  record.started_ms = 2;
  table.Upsert(record, At(1));
  EXPECT_EQ(table.Find(UpstreamId("x"))->requests, 0);
  EXPECT_EQ(table.InPool(PoolId("p")).size(), 1U);
}

// Guards against a cold upstream that gets more than it bears from all daemons
// together, also while their lists of members differ by one.
TEST(ColdGateTest, SumOverDaemonsStaysWithinTheRate) {
  for (const std::size_t daemons : {1U, 4U, 9U, 80U}) {
    std::vector<InstanceId> members;
    for (std::size_t i = 0; i < daemons; ++i) {
      members.emplace_back("d" + std::to_string(i));
    }
    std::vector<ColdGate> gates;
    for (const auto& member : members) {
      gates.emplace_back(member);
      gates.back().SetMembers(members);
    }
    const LiveUpstream upstream(MakeRecord("cold"));
    std::deque<double> sent;
    std::size_t most = 0;
    for (double now = 0; now < 5; now += 0.002) {
      for (auto& gate : gates) {
        if (gate.TryTake(upstream, 15, At(now))) sent.push_back(now);
      }
      while (!sent.empty() && sent.front() <= now - 1) sent.pop_front();
      most = std::max(most, sent.size());
    }
    // 15 a second, half as many more and 5 are the platform's bound.
    EXPECT_LE(most, 27U) << daemons;
    EXPECT_GE(most, 10U) << daemons;
  }
}

TEST(LiveUpstreamTest, SuspicionEndsWithASuccess) {
  LiveUpstream upstream(MakeRecord("x"));
  upstream.NoteUnreachable(At(0));
  EXPECT_FALSE(upstream.Suspected(At(0)));
  upstream.NoteUnreachable(At(0));
  EXPECT_TRUE(upstream.Suspected(At(0.4)));
  EXPECT_FALSE(upstream.Suspected(At(3)));
  upstream.NoteUnreachable(At(3));
  upstream.NoteSuccess(At(3));
  EXPECT_FALSE(upstream.Suspected(At(3)));
}

// Guards against every daemon finding out for itself, with requests of callers,
// that an upstream is dead (seen as 896 attempts of 80 daemons at nine
// engines).
TEST(LiveUpstreamTest, IsLeftOutWhenOthersCannotReachIt) {
  LiveUpstream upstream(MakeRecord("u"));
  upstream.NoteUnreachableElsewhere(At(10));
  EXPECT_TRUE(upstream.Suspected(At(10.5)));
  EXPECT_FALSE(upstream.Suspected(At(10.7)));
  EXPECT_FALSE(upstream.UnreachableLately(At(10)));
}

// Guards against an upstream that is left out by daemons that reach it because
// others are cut off from it.
TEST(LiveUpstreamTest, ItsOwnSuccessCountsForMore) {
  LiveUpstream upstream(MakeRecord("u"));
  upstream.NoteSuccess(At(9.5));
  upstream.NoteUnreachableElsewhere(At(10));
  EXPECT_FALSE(upstream.Suspected(At(10)));
  upstream.NoteUnreachable(At(10.1));
  EXPECT_TRUE(upstream.UnreachableLately(At(10.2)));
  EXPECT_FALSE(upstream.UnreachableLately(At(12)));
  upstream.NoteUnreachable(At(13));
  upstream.NoteSuccess(At(13.1));
  EXPECT_FALSE(upstream.UnreachableLately(At(13.2)));
}

TEST(LiveUpstreamTest, ForgetsAModelThatItDoesNotHold) {
  auto record = MakeRecord("x");
  record.models = {{ModelId("m"), 1, {AdapterId("a1")}}};
  LiveUpstream upstream(record);
  upstream.NoteMissing(ModelId("m"), AdapterId("a1"));
  EXPECT_FALSE(upstream.HasModel(ModelId("m"), AdapterId("a1")));
  EXPECT_TRUE(upstream.HasModel(ModelId("m"), AdapterId()));
  upstream.NoteMissing(ModelId("m"), AdapterId());
  EXPECT_FALSE(upstream.HasModel(ModelId("m"), AdapterId()));
}

// Guards against upstreams that are dropped, all at once, because their entries
// lapsed while the store was away.
TEST(LapsedUpstreamsTest, KeepsWhatLapsedUntilTheStoreHasBeenBackForAWhile) {
  LapsedUpstreams lapsed({});
  lapsed.OnStoreAnswer(At(0));
  lapsed.OnStoreSilence(At(0.5));
  lapsed.OnStoreAnswer(At(5));
  EXPECT_FALSE(lapsed.OnMissing(UpstreamId("u"), At(5)));
  EXPECT_FALSE(lapsed.OnMissing(UpstreamId("v"), At(5)));
  lapsed.Forget(UpstreamId("v"));
  EXPECT_TRUE(lapsed.TakeGone(At(6.9)).empty());
  EXPECT_EQ(lapsed.TakeGone(At(7)), std::vector{UpstreamId("u")});
  EXPECT_TRUE(lapsed.TakeGone(At(9)).empty());
}

// Guards against a leaving upstream that gets work for seconds because it left
// shortly after the store's return (seen as DRAIN, 2,122 and 4,345 ms).
TEST(LapsedUpstreamsTest, CountsTheTimeFromTheReturnAndNotFromTheRemoval) {
  LapsedUpstreams lapsed({});
  lapsed.OnStoreAnswer(At(0));
  lapsed.OnStoreSilence(At(0.5));
  lapsed.OnStoreAnswer(At(5));
  EXPECT_FALSE(lapsed.OnMissing(UpstreamId("u"), At(6.8)));
  EXPECT_EQ(lapsed.TakeGone(At(7)), std::vector{UpstreamId("u")});
  EXPECT_TRUE(lapsed.OnMissing(UpstreamId("v"), At(7.1)));
}

// Guards against a daemon that was itself cut off for a moment and then keeps
// for two seconds what the others have seen leave.
TEST(LapsedUpstreamsTest, AShortSilenceLosesNoEntries) {
  LapsedUpstreams lapsed({});
  lapsed.OnStoreAnswer(At(0));
  lapsed.OnStoreSilence(At(0.5));
  lapsed.OnStoreAnswer(At(2.3));
  EXPECT_TRUE(lapsed.OnMissing(UpstreamId("u"), At(2.4)));
}

// Guards against a daemon whose watches wait for many seconds and that takes
// one failed call for an outage as long as its last wait: it would keep what
// left.
TEST(LapsedUpstreamsTest, AnAnswerToAnotherDaemonEndsTheSilenceBeforeIt) {
  LapsedUpstreams lapsed({});
  lapsed.OnStoreAnswer(At(0));
  lapsed.OnAnswerElsewhere(At(12));
  lapsed.OnStoreSilence(At(13));
  lapsed.OnStoreAnswer(At(13.2));
  EXPECT_TRUE(lapsed.OnMissing(UpstreamId("u"), At(13.2)));
  EXPECT_FALSE(lapsed.HoldsBack());
}

// Guards against removals during a second outage that follows the first.
TEST(LapsedUpstreamsTest, RemovesNothingWhileTheStoreIsAwayAgain) {
  LapsedUpstreams lapsed({});
  lapsed.OnStoreAnswer(At(0));
  lapsed.OnStoreSilence(At(0.5));
  lapsed.OnStoreAnswer(At(5));
  EXPECT_FALSE(lapsed.OnMissing(UpstreamId("u"), At(5.1)));
  lapsed.OnStoreSilence(At(6));
  EXPECT_TRUE(lapsed.TakeGone(At(8)).empty());
  lapsed.OnStoreAnswer(At(9));
  EXPECT_EQ(lapsed.TakeGone(At(9.1)), std::vector{UpstreamId("u")});
}

// An upstream whose entry is missing is removed at the latest when the time of
// return is over and the store answers, and never before it.
TEST(LapsedUpstreamsTest, EveryMissingUpstreamIsRemovedInTime) {
  rc::check([] {
    const ExpirySettings times;
    LapsedUpstreams lapsed(times);
    lapsed.OnStoreAnswer(At(0));
    const auto away = *rc::gen::inRange(2500, 20'000);
    const auto back = Timestamp(At(0) + milliseconds(away));
    lapsed.OnStoreSilence(At(0.1));
    lapsed.OnStoreAnswer(back);
    const auto missing = back + milliseconds(*rc::gen::inRange(0, 4000));
    const auto until = back + times.renewal_window;
    const UpstreamId id("u");
    const bool at_once = lapsed.OnMissing(id, missing);
    RC_ASSERT(at_once == (missing >= until));
    if (at_once) return;
    RC_ASSERT(lapsed.TakeGone(until - milliseconds(1)).empty());
    RC_ASSERT(lapsed.TakeGone(until).size() == 1U);
  });
}

}  // namespace
}  // namespace dotterellug::serving
