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

// The longest prefix must win, and a prefix must not match within a path
// segment.
TEST(ServingCatalogTest, SelectsLongestPrefix) {
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

// Retries must not multiply the load of a failing pool: the sum over all
// daemons stays within the ratio in every window.
TEST(RetryBudgetTest, FleetStaysWithinLimitInEveryWindow) {
  EXPECT_TRUE(rc::check([](std::uint64_t seed) {
    Random random(seed);
    const RetryLimits limits{0.2, 58, seconds(10)};
    const auto daemons = static_cast<std::int64_t>(1 + random.Below(9));
    std::vector<RetryBudget> budgets(static_cast<std::size_t>(daemons),
                                     RetryBudget(limits));
    for (auto& budget : budgets) budget.SetDaemonCount(daemons);
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
      if (budget.TryRetry(pool, At(now))) retries.push_back(now);
      while (!retries.empty() && retries.front() < now - 10) {
        retries.pop_front();
      }
      while (!requests.empty() && requests.front() < now - 10) {
        requests.pop_front();
      }
      RC_ASSERT(static_cast<double>(retries.size()) <=
                0.2 * static_cast<double>(requests.size()) + 58);
    }
  }));
}

// No event may be cut, lost or joined with another when a stream continues at
// another upstream.
TEST(EventSplitterTest, ReturnsCompleteEventsForAnyChunkSize) {
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
    EXPECT_EQ(splitter.LastEventId(), 3);
    EXPECT_EQ(splitter.EventCount(), 3);
    EXPECT_TRUE(splitter.PendingBytes().empty());
  }
}

// Guards against memory and time that grow with an event that has no end.
TEST(EventSplitterTest, TellsThatAnEventHasNoEnd) {
  EventSplitter splitter;
  splitter.Feed("id: 1\ndata: a\n\ndata: ");
  EXPECT_FALSE(splitter.EventTooLarge());
  const std::string piece(1024, 'x');
  for (std::size_t i = 0; i <= EventSplitter::kMaxEventBytes / 1024; ++i) {
    EXPECT_TRUE(splitter.Feed(piece).empty());
  }
  EXPECT_TRUE(splitter.EventTooLarge());
  EXPECT_EQ(splitter.Feed("\n\nid: 2\n").substr(0, 6), "data: ");
  EXPECT_FALSE(splitter.EventTooLarge());
}

TEST(EventSplitterTest, BuffersIncompleteEvent) {
  EventSplitter splitter;
  EXPECT_EQ(splitter.Feed("id: 7\ndata: x\n\nid: 8\ndata: par"),
            "id: 7\ndata: x\n\n");
  EXPECT_EQ(splitter.LastEventId(), 7);
  splitter.DiscardPending();
  EXPECT_EQ(splitter.Feed("id: 8\ndata: whole\n\n"), "id: 8\ndata: whole\n\n");
  EXPECT_EQ(splitter.LastEventId(), 8);
}

// Guards against a second response, written into the stream, that is passed on
// as one of its events.
TEST(EventSplitterTest, StopsAtALineThatIsNoField) {
  EventSplitter splitter;
  EXPECT_EQ(splitter.Feed(": comment\nweights: 2\nid: 1\ndata\n\n"
                          "id: 2\nHTTP/1.1 503 Unavailable\r\nX: y\r\n\r\n"),
            ": comment\nweights: 2\nid: 1\ndata\n\n");
  EXPECT_TRUE(splitter.Malformed());
  EXPECT_EQ(splitter.LastEventId(), 1);
  EXPECT_EQ(splitter.EventCount(), 1);
  EXPECT_EQ(splitter.Feed("id: 3\ndata: c\n\n"), "");
  splitter.DiscardPending();
  EXPECT_EQ(splitter.Feed("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
}

class UpstreamSelectorTest : public ::testing::Test {
 protected:
  auto Choose(std::vector<UpstreamId> excluded = {})
      -> tl::expected<UpstreamTable::Entry, SelectionFailure> {
    SelectionRequest request;
    request.pool = PoolId("p");
    request.zone = AvailabilityZoneId("a");
    request.excluded = std::move(excluded);
    request.model = model_;
    const auto ranked = choice_.Rank(table_, request, {}, random_, At(0));
    if (!ranked) return tl::unexpected(ranked.error());
    return ranked->front().upstream;
  }

  UpstreamTable table_;
  UpstreamSelector choice_;
  Random random_{1};
  ModelId model_;
};

// No request may go to an upstream that is draining or whose zone is disabled.
TEST_F(UpstreamSelectorTest, SkipsDrainingUpstreamsAndDisabledZones) {
  auto leaving = MakeRecord("x");
  leaving.leaving = true;
  table_.Upsert(leaving, At(0));
  EXPECT_EQ(Choose().error(), SelectionFailure::kNoUpstream);
  table_.Upsert(MakeRecord("y"), At(0));
  EXPECT_EQ((*Choose())->record.id, UpstreamId("y"));
  table_.SetDisabledZones({AvailabilityZoneId("a")});
  EXPECT_EQ(Choose().error(), SelectionFailure::kNoUpstream);
}

TEST_F(UpstreamSelectorTest, RequiresModelAndReturnsReason) {
  auto record = MakeRecord("x");
  record.models = {{ModelId("m"), 1, {}}};
  table_.Upsert(record, At(0));
  model_ = ModelId("n");
  EXPECT_EQ(Choose().error(), SelectionFailure::kNoModel);
  model_ = ModelId("m");
  EXPECT_TRUE(Choose().has_value());
  EXPECT_EQ(Choose({UpstreamId("x")}).error(), SelectionFailure::kNoneEligible);
}

// A burst arrives between two load reports. The requests that the daemon has
// sent since the last report must spread it over the upstreams.
TEST_F(UpstreamSelectorTest, SpreadsBurstBetweenReports) {
  for (const auto* id : {"x", "y", "z"}) table_.Upsert(MakeRecord(id), At(0));
  for (int i = 0; i < 24; ++i) (*Choose())->requests += 1;
  for (const auto& [id, entry] : table_.All()) {
    EXPECT_GE(entry->requests, 6) << id;
  }
}

// After a burst of long prompts, an engine with prompts waiting for prefill
// must receive no further ones while another engine is free, although both run
// as many requests.
TEST_F(UpstreamSelectorTest, AvoidsEngineWithQueuedPrefill) {
  for (const auto* id : {"x", "y"}) table_.Upsert(MakeRecord(id), At(0));
  table_.Find(UpstreamId("x"))->prefill_tokens = 5000;
  for (int i = 0; i < 3; ++i) {
    const auto chosen = *Choose();
    EXPECT_EQ(chosen->record.id, UpstreamId("y"));
    chosen->requests += 1;
  }
}

// An upstream that reports itself healthy but fails a fraction of its requests
// must receive fewer.
TEST_F(UpstreamSelectorTest, AvoidsFailingUpstream) {
  for (const auto* id : {"x", "y"}) table_.Upsert(MakeRecord(id), At(0));
  const auto failing = table_.Find(UpstreamId("x"));
  for (int i = 0; i < 5; ++i) failing->RecordFailure(At(0));
  for (int i = 0; i < 6; ++i) {
    const auto chosen = *Choose();
    EXPECT_EQ(chosen->record.id, UpstreamId("y"));
    chosen->requests += 1;
  }
}

// The counts of an old process must not carry over to a new one with the same
// id.
TEST(UpstreamTableTest, NewStartTimeReplacesEntry) {
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

// A cold upstream must not receive more requests than it can handle from all
// daemons together, also while the daemons' lists of members differ by one.
TEST(ColdStartLimiterTest, FleetStaysWithinRate) {
  for (const std::size_t daemons : {1U, 4U, 9U, 80U}) {
    std::vector<InstanceId> members;
    for (std::size_t i = 0; i < daemons; ++i) {
      members.emplace_back("d" + std::to_string(i));
    }
    std::vector<ColdStartLimiter> gates;
    for (const auto& member : members) {
      gates.emplace_back(member);
      gates.back().SetMembers(members);
    }
    const UpstreamView upstream(MakeRecord("cold"));
    std::deque<double> sent;
    std::size_t max_sent = 0;
    for (double now = 0; now < 5; now += 0.002) {
      for (auto& gate : gates) {
        if (gate.TryAcquire(upstream, 15, At(now))) sent.push_back(now);
      }
      while (!sent.empty() && sent.front() <= now - 1) sent.pop_front();
      max_sent = std::max(max_sent, sent.size());
    }
    // The platform allows 1.5 times the rate of 15 per second, plus 5 requests.
    EXPECT_LE(max_sent, 27U) << daemons;
    EXPECT_GE(max_sent, 10U) << daemons;
  }
}

TEST(UpstreamViewTest, SuccessEndsSuspicion) {
  UpstreamView upstream(MakeRecord("x"));
  upstream.RecordUnreachable(At(0));
  EXPECT_FALSE(upstream.Suspected(At(0)));
  upstream.RecordUnreachable(At(0));
  EXPECT_TRUE(upstream.Suspected(At(0.4)));
  EXPECT_FALSE(upstream.Suspected(At(3)));
  upstream.RecordUnreachable(At(3));
  upstream.RecordSuccess(At(3));
  EXPECT_FALSE(upstream.Suspected(At(3)));
}

// Daemons must not each find out from their own callers' requests that an
// upstream is unreachable: without shared reports, 80 daemons made 896 attempts
// on nine engines.
TEST(UpstreamViewTest, IsSuspectedWhenOthersCannotReachIt) {
  UpstreamView upstream(MakeRecord("u"));
  upstream.RecordReportedUnreachable(At(10));
  EXPECT_TRUE(upstream.Suspected(At(10.5)));
  EXPECT_FALSE(upstream.Suspected(At(10.7)));
  EXPECT_FALSE(upstream.RecentlyUnreachable(At(10)));
}

// A daemon that reaches an upstream must not avoid it because other daemons are
// cut off from it.
TEST(UpstreamViewTest, LocalSuccessTakesPrecedence) {
  UpstreamView upstream(MakeRecord("u"));
  upstream.RecordSuccess(At(9.5));
  upstream.RecordReportedUnreachable(At(10));
  EXPECT_FALSE(upstream.Suspected(At(10)));
  upstream.RecordUnreachable(At(10.1));
  EXPECT_TRUE(upstream.RecentlyUnreachable(At(10.2)));
  EXPECT_FALSE(upstream.RecentlyUnreachable(At(12)));
  upstream.RecordUnreachable(At(13));
  upstream.RecordSuccess(At(13.1));
  EXPECT_FALSE(upstream.RecentlyUnreachable(At(13.2)));
}

// Guards against an engine that gets no request for a model any more because a
// single response said that it lacks it.
TEST(UpstreamViewTest, MissingModelIsTriedAgainAfterABoundedTime) {
  UpstreamView upstream(MakeRecord("x"));
  const ModelId model("m");
  const AdapterId adapter("a1");
  EXPECT_EQ(upstream.RecordModelMissing(model, adapter, At(9.9), At(10)),
            At(11));
  EXPECT_TRUE(upstream.ModelMissing(model, adapter, At(10.9)));
  EXPECT_FALSE(upstream.ModelMissing(model, AdapterId(), At(10.9)));
  EXPECT_FALSE(upstream.ModelMissing(model, adapter, At(11)));
  // One trial, whose response confirms it, then a longer time.
  upstream.RecordSent(model, adapter, At(11.1));
  EXPECT_TRUE(upstream.ModelMissing(model, adapter, At(11.2)));
  EXPECT_EQ(upstream.RecordModelMissing(model, adapter, At(11.1), At(11.3)),
            At(13.3));
  upstream.RecordServed(model, adapter);
  EXPECT_FALSE(upstream.ModelMissing(model, adapter, At(11.4)));
  upstream.RecordModelMissing(model, adapter, At(12), At(12));
  upstream.ClearMissingModels();
  EXPECT_FALSE(upstream.ModelMissing(model, adapter, At(12)));
}

// Guards against a suspicion that lasts because the responses of a burst count
// as repetitions, and against one that grows without bound.
TEST(ResponseSuspicionTest, DoublesWithRepetitionUpToABound) {
  ResponseSuspicion suspicion;
  EXPECT_TRUE(suspicion.Record(At(0.9), At(1)));
  EXPECT_FALSE(suspicion.Record(At(0.9), At(1.1)));
  EXPECT_EQ(suspicion.Until(), At(2));
  auto now = 2.0;
  for (const double expected : {2.0, 4.0, 4.0, 4.0}) {
    EXPECT_FALSE(suspicion.Active(At(now)));
    suspicion.RecordSent(At(now));
    EXPECT_TRUE(suspicion.Active(At(now + 0.2)));
    EXPECT_TRUE(suspicion.Record(At(now), At(now + 0.1)));
    now += 0.1 + expected;
    EXPECT_EQ(suspicion.Until(), At(now));
  }
  suspicion.Clear();
  EXPECT_TRUE(suspicion.Record(At(30), At(30)));
  EXPECT_EQ(suspicion.Until(), At(31));
}

// Guards against an upstream that stays unused because a trial request got no
// response.
TEST(ResponseSuspicionTest, TrialWithoutAResponseIsFollowedByAnother) {
  ResponseSuspicion suspicion;
  suspicion.Record(At(1), At(1));
  suspicion.RecordSent(At(3));
  EXPECT_TRUE(suspicion.Active(At(3.2)));
  EXPECT_FALSE(suspicion.Active(At(3.3)));
}

// Guards against a single response, perhaps a delayed duplicate, that is proof
// of another instance.
TEST(UpstreamViewTest, AddressIsTakenIfTwoResponsesNameAnotherInstance) {
  UpstreamView upstream(MakeRecord("x"));
  upstream.RecordMisdirected(true, At(1), At(1));
  EXPECT_TRUE(upstream.Misdirected(At(1.5)));
  EXPECT_FALSE(upstream.AddressTaken(At(1.5)));
  upstream.RecordMisdirected(true, At(2.1), At(2.1));
  EXPECT_TRUE(upstream.AddressTaken(At(4)));
  EXPECT_FALSE(upstream.AddressTaken(At(4.2)));
  upstream.RecordServed(ModelId(), AdapterId());
  upstream.RecordMisdirected(true, At(5), At(5));
  EXPECT_FALSE(upstream.AddressTaken(At(5)));
}

// Upstreams must not all be removed at once because their entries expired
// during an outage of the store.
TEST(ExpiredUpstreamRetentionTest, RetainsExpiredUpstreamsAfterStoreRecovery) {
  ExpiredUpstreamRetention expired({});
  expired.OnStoreResponse(At(0));
  expired.OnStoreFailure(At(0.5));
  expired.OnStoreResponse(At(5));
  EXPECT_FALSE(expired.OnEntryMissing(UpstreamId("u"), At(5)));
  EXPECT_FALSE(expired.OnEntryMissing(UpstreamId("v"), At(5)));
  expired.Forget(UpstreamId("v"));
  EXPECT_TRUE(expired.TakeExpired(At(6.9)).empty());
  EXPECT_EQ(expired.TakeExpired(At(7)), std::vector{UpstreamId("u")});
  EXPECT_TRUE(expired.TakeExpired(At(9)).empty());
}

// An upstream that leaves shortly after the recovery of the store must not be
// retained for a full window from then on. It received requests for 2,122 and
// 4,345 ms after it had left.
TEST(ExpiredUpstreamRetentionTest, RetentionStartsAtStoreRecovery) {
  ExpiredUpstreamRetention expired({});
  expired.OnStoreResponse(At(0));
  expired.OnStoreFailure(At(0.5));
  expired.OnStoreResponse(At(5));
  EXPECT_FALSE(expired.OnEntryMissing(UpstreamId("u"), At(6.8)));
  EXPECT_EQ(expired.TakeExpired(At(7)), std::vector{UpstreamId("u")});
  EXPECT_TRUE(expired.OnEntryMissing(UpstreamId("v"), At(7.1)));
}

// A daemon that was cut off only briefly must not retain, for two seconds,
// upstreams that the other daemons have seen leave.
TEST(ExpiredUpstreamRetentionTest, ShortOutageRetainsNothing) {
  ExpiredUpstreamRetention expired({});
  expired.OnStoreResponse(At(0));
  expired.OnStoreFailure(At(0.5));
  expired.OnStoreResponse(At(2.3));
  EXPECT_TRUE(expired.OnEntryMissing(UpstreamId("u"), At(2.4)));
}

// One failed call after a long poll of the store must not be treated as an
// outage that began at the previous response: the daemon would retain upstreams
// that have left.
TEST(ExpiredUpstreamRetentionTest, ResponseToOtherDaemonShortensOutage) {
  ExpiredUpstreamRetention expired({});
  expired.OnStoreResponse(At(0));
  expired.OnResponseToOtherDaemon(At(12));
  expired.OnStoreFailure(At(13));
  expired.OnStoreResponse(At(13.2));
  EXPECT_TRUE(expired.OnEntryMissing(UpstreamId("u"), At(13.2)));
  EXPECT_FALSE(expired.IsRetaining());
}

// Nothing may be removed during a second outage that follows the first.
TEST(ExpiredUpstreamRetentionTest, RemovesNothingDuringSecondOutage) {
  ExpiredUpstreamRetention expired({});
  expired.OnStoreResponse(At(0));
  expired.OnStoreFailure(At(0.5));
  expired.OnStoreResponse(At(5));
  EXPECT_FALSE(expired.OnEntryMissing(UpstreamId("u"), At(5.1)));
  expired.OnStoreFailure(At(6));
  EXPECT_TRUE(expired.TakeExpired(At(8)).empty());
  expired.OnStoreResponse(At(9));
  EXPECT_EQ(expired.TakeExpired(At(9.1)), std::vector{UpstreamId("u")});
}

// An upstream whose entry is missing is removed exactly at the end of the
// renewal window, or at once if that is over.
TEST(ExpiredUpstreamRetentionTest, RemovesEveryMissingUpstreamInTime) {
  EXPECT_TRUE(rc::check([] {
    const ExpirySettings settings;
    ExpiredUpstreamRetention expired(settings);
    expired.OnStoreResponse(At(0));
    const auto outage_ms = *rc::gen::inRange(2500, 20'000);
    const auto recovered_at = Timestamp(At(0) + milliseconds(outage_ms));
    expired.OnStoreFailure(At(0.1));
    expired.OnStoreResponse(recovered_at);
    const auto missing_at =
        recovered_at + milliseconds(*rc::gen::inRange(0, 4000));
    const auto retained_until = recovered_at + settings.renewal_window;
    const UpstreamId id("u");
    const bool at_once = expired.OnEntryMissing(id, missing_at);
    RC_ASSERT(at_once == (missing_at >= retained_until));
    if (at_once) return;
    RC_ASSERT(expired.TakeExpired(retained_until - milliseconds(1)).empty());
    RC_ASSERT(expired.TakeExpired(retained_until).size() == 1U);
  }));
}

// Guards against estimates for long generations from the time of short ones,
// which is mostly fixed: they must not be refused for lack of time.
TEST(ServiceTimeEstimateTest, DoesNotExtrapolateFromOneSize) {
  ServiceTimeEstimate estimate;
  for (int i = 0; i < 4; ++i) estimate.Observe("r", 1, milliseconds(50));
  EXPECT_FALSE(estimate.Expected("r", 1));
  estimate.Observe("r", 1, milliseconds(50));
  EXPECT_EQ(estimate.Expected("r", 800), Duration(milliseconds(50)));
  EXPECT_FALSE(estimate.Expected("other", 1));
}

// Guards against requests that a stopping daemon accepts although it has to end
// before they do: whatever was learned before, the fixed time and the time per
// token of later requests are found.
TEST(ServiceTimeEstimateTest, FindsFixedTimeAndTimePerToken) {
  EXPECT_TRUE(rc::check([] {
    const auto before = *rc::gen::inRange(1, 5000);
    const auto fixed = *rc::gen::inRange(1, 1000);
    const auto per_token = *rc::gen::inRange(0, 20);
    const auto asked = *rc::gen::inRange(1, 1000);
    ServiceTimeEstimate estimate;
    estimate.Observe("r", 100, milliseconds(before));
    for (int i = 0; i < 300; ++i) {
      const auto tokens = 50 + 37 * i % 400;
      estimate.Observe("r", tokens, milliseconds(fixed + per_token * tokens));
    }
    const auto expected = ToSeconds(*estimate.Expected("r", asked));
    RC_ASSERT(std::abs(expected - (fixed + per_token * asked) / 1000.0) < 0.02);
  }));
}

TEST_F(UpstreamSelectorTest, SkipsUpstreamsThatLeaveOrAskedForAPause) {
  for (const auto* id : {"x", "y"}) table_.Upsert(MakeRecord(id), At(0));
  StatedBackpressure leaving;
  leaving.leaving = true;
  table_.Backpressure().RecordAnswer(UpstreamId("x"), 0, leaving, At(0), At(0));
  EXPECT_EQ((*Choose())->record.id, UpstreamId("y"));
  StatedBackpressure pause;
  pause.retry_after = std::chrono::seconds(1);
  table_.Backpressure().RecordAnswer(UpstreamId("y"), 0, pause, At(0), At(0));
  EXPECT_EQ(Choose().error(), SelectionFailure::kPaused);
  EXPECT_EQ(table_.Backpressure().PausedFor(UpstreamId("y"), At(1)),
            Duration(0));
}

// Guards against a pool without a usable upstream after one stray response of
// each.
TEST_F(UpstreamSelectorTest, MisdirectedUpstreamIsTheLastChoice) {
  for (const auto* id : {"x", "y"}) table_.Upsert(MakeRecord(id), At(0));
  const auto x = table_.Find(UpstreamId("x"));
  x->RecordMisdirected(false, At(0), At(0));
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ((*Choose())->record.id, UpstreamId("y"));
  }
  // The other one is full, not gone.
  table_.Find(UpstreamId("y"))->requests = 1000;
  EXPECT_EQ(Choose().error(), SelectionFailure::kNoneEligible);
  table_.Remove(UpstreamId("y"));
  EXPECT_EQ((*Choose())->record.id, UpstreamId("x"));
}

// Guards against an upstream that a daemon avoids although it serves others.
TEST_F(UpstreamSelectorTest, SuspicionIsDisregardedIfTheUpstreamServesOthers) {
  for (const auto* id : {"x", "y"}) table_.Upsert(MakeRecord(id), At(0));
  table_.Find(UpstreamId("y"))->requests = 3;
  const UpstreamId id("x");
  table_.Find(id)->RecordMisdirected(false, At(0), At(0));
  table_.Backpressure().RecordMisdirected(id, 0, At(0));
  EXPECT_EQ((*Choose())->record.id, UpstreamId("y"));
  BackpressureTable other;
  other.Merge(table_.Backpressure().Share(At(0.1)), At(0.1));
  table_.Backpressure().Merge(other.Share(At(0.2)), At(0.2));
  EXPECT_EQ((*Choose())->record.id, UpstreamId("y"));
  other.RecordServed(id, 0, At(0.3));
  table_.Backpressure().Merge(other.Share(At(0.4)), At(0.4));
  EXPECT_EQ((*Choose())->record.id, id);
}

class BackpressureTableTest : public ::testing::Test {
 protected:
  static auto Rate(std::optional<double> rate) -> StatedBackpressure {
    StatedBackpressure stated;
    stated.requests_per_second = rate;
    stated.shows_no_rate = !rate;
    return stated;
  }
  static auto Leaving() -> StatedBackpressure {
    StatedBackpressure stated;
    stated.leaving = true;
    return stated;
  }

  const UpstreamId id_{"x"};
  BackpressureTable table_;
  BackpressureTable other_;
};

// Guards against an older answer that arrives late and ends a rate in force.
TEST_F(BackpressureTableTest, RateEndsOnlyByAnAnswerToALaterRequest) {
  table_.RecordAnswer(id_, 1, Rate(2), At(0), At(1));
  table_.RecordAnswer(id_, 1, Rate(std::nullopt), At(0.9), At(1.2));
  EXPECT_EQ(table_.RateLimit(id_), 2);
  table_.RecordAnswer(id_, 1, Rate(std::nullopt), At(1.1), At(1.3));
  EXPECT_FALSE(table_.RateLimit(id_));
}

// Guards against an answer that cannot be trusted, or whose rate cannot be
// read, and ends the rate.
TEST_F(BackpressureTableTest, AnswerThatShowsNothingChangesNothing) {
  table_.RecordAnswer(id_, 1, Rate(2), At(0), At(1));
  table_.RecordAnswer(id_, 1, {}, At(2), At(3));
  EXPECT_EQ(table_.RateLimit(id_), 2);
}

// Guards against what an earlier process said.
TEST_F(BackpressureTableTest, FactsEndWithTheirProcess) {
  table_.RecordAnswer(id_, 1, Leaving(), At(0), At(0));
  table_.OnProcess(id_, 1);
  EXPECT_TRUE(table_.Leaving(id_));
  table_.OnProcess(id_, 2);
  EXPECT_FALSE(table_.Leaving(id_));
  other_.RecordAnswer(id_, 1, Leaving(), At(0), At(0));
  table_.RecordAnswer(id_, 2, Rate(3), At(0), At(0));
  table_.Merge(other_.Share(At(1)), At(1));
  EXPECT_FALSE(table_.Leaving(id_));
  EXPECT_EQ(table_.RateLimit(id_), 3);
}

TEST_F(BackpressureTableTest, LatestObservationOfARateWins) {
  table_.RecordAnswer(id_, 1, Rate(2), At(0), At(1));
  other_.RecordAnswer(id_, 1, Rate(5), At(0), At(2));
  table_.Merge(other_.Share(At(4)), At(4));
  other_.Merge(table_.Share(At(4)), At(4));
  EXPECT_EQ(table_.RateLimit(id_), 5);
  EXPECT_EQ(other_.RateLimit(id_), 5);
  table_.RecordAnswer(id_, 1, Rate(std::nullopt), At(4), At(5));
  other_.Merge(table_.Share(At(5)), At(5));
  EXPECT_FALSE(other_.RateLimit(id_));
}

// Guards against a fact that looks newer each time that it is passed on and so
// outlives the observation that ends it.
TEST_F(BackpressureTableTest, FactPassedToAndFroDoesNotBecomeNewer) {
  table_.RecordAnswer(id_, 1, Rate(2), At(0), At(1));
  for (int i = 0; i < 40; ++i) {
    const double at = 1.1 + 0.1 * i;
    other_.Merge(table_.Share(At(at)), At(at + 0.03));
    table_.Merge(other_.Share(At(at + 0.03)), At(at + 0.06));
  }
  table_.RecordAnswer(id_, 1, Rate(std::nullopt), At(1.2), At(5.5));
  EXPECT_FALSE(table_.RateLimit(id_));
}

TEST_F(BackpressureTableTest, PausesStayWithTheDaemonThatWasAsked) {
  StatedBackpressure pause;
  pause.retry_after = std::chrono::seconds(2);
  table_.RecordAnswer(id_, 1, pause, At(0), At(1));
  EXPECT_EQ(table_.PausedFor(id_, At(2)), Duration(std::chrono::seconds(1)));
  EXPECT_TRUE(table_.Share(At(2)).empty());
  EXPECT_EQ(table_.TakeChanges().size(), 1U);
  EXPECT_EQ(table_.RestrictedCount(At(2)), 1U);
  EXPECT_EQ(table_.RestrictedCount(At(4)), 0U);
}

TEST_F(BackpressureTableTest, FactsThatAreNotRepeatedAreForgotten) {
  table_.RecordAnswer(id_, 1, Leaving(), At(0), At(0));
  table_.Expire(At(500));
  EXPECT_TRUE(table_.Leaving(id_));
  table_.Expire(At(700));
  EXPECT_FALSE(table_.Leaving(id_));
}

// Guards against an upstream that is used again while its process leaves.
TEST_F(BackpressureTableTest, LeavingHoldsForTheLifeOfTheProcess) {
  table_.OnProcess(id_, 7);
  table_.RecordAnswer(id_, 7, Leaving(), At(0), At(0));
  table_.Expire(At(5000));
  EXPECT_TRUE(table_.Leaving(id_));
  other_.OnProcess(id_, 7);
  other_.Merge(table_.Share(At(5000)), At(5000));
  EXPECT_TRUE(other_.Leaving(id_));
  table_.OnGone(id_);
  table_.Expire(At(5001));
  EXPECT_FALSE(table_.Leaving(id_));
}

// Guards against a rate or a pause that one answer imposes for long.
TEST_F(BackpressureTableTest, UnconfirmedRatesAndPausesEnd) {
  table_.RecordAnswer(id_, 1, Rate(0), At(0), At(0));
  EXPECT_EQ(table_.RateEndsIn(id_, At(10)), Duration(std::chrono::seconds(50)));
  table_.Expire(At(59));
  EXPECT_EQ(table_.RateLimit(id_), 0);
  // Another daemon passes it on just before it ends.
  other_.Merge(table_.Share(At(59.9)), At(59.95));
  table_.Expire(At(61));
  EXPECT_FALSE(table_.RateLimit(id_));
  table_.Merge(other_.Share(At(61)), At(61));
  EXPECT_FALSE(table_.RateLimit(id_));
  // One request in 100 s is allowed, so its answer must be waited for.
  table_.RecordAnswer(id_, 1, Rate(0.01), At(100), At(100));
  table_.Expire(At(350));
  EXPECT_TRUE(table_.RateLimit(id_));
  table_.Expire(At(401));
  EXPECT_FALSE(table_.RateLimit(id_));
  StatedBackpressure pause;
  pause.retry_after = std::chrono::hours(24);
  table_.RecordAnswer(id_, 1, pause, At(500), At(500));
  EXPECT_EQ(table_.PausedFor(id_, At(500)), Duration(std::chrono::seconds(60)));
}

}  // namespace
}  // namespace dotterellug::serving
