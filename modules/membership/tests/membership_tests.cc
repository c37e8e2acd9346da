#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>

#include "membership/tests/simulated_fleet.h"

namespace dotterellug {
namespace {

using std::chrono::seconds;

// RapidCheck reads its seed once, from the environment. A fixed seed gives the
// same result on every run; set RC_PARAMS to try another.
const int kSeedIsSet = setenv("RC_PARAMS", "seed=20240601 max_success=200", 0);

constexpr std::size_t kFleetSize = 16;

class MembershipFleetTest : public testing::Test {
 protected:
  MembershipFleetTest() {
    fleet_.RunFor(seconds(20));
    for (std::size_t i = 0; i < kFleetSize; ++i) fleet_.DrainEvents(i);
  }
  // Number of members other than `member` that see it in `state`.
  auto CountState(std::size_t member, MemberState state) -> std::size_t {
    std::size_t count = 0;
    for (std::size_t i = 0; i < kFleetSize; ++i) {
      if (i != member && fleet_.StateAt(i, member) == state) ++count;
    }
    return count;
  }
  auto ExpectAllLive() -> void {
    for (std::size_t i = 0; i < kFleetSize; ++i) {
      EXPECT_EQ(CountState(i, MemberState::kLive), kFleetSize - 1)
          << "member " << i;
    }
  }
  // Number of events of one kind at all members since the last call.
  auto CountEvents(MemberEventKind kind) -> std::size_t {
    std::size_t count = 0;
    for (std::size_t i = 0; i < kFleetSize; ++i) {
      const auto events = fleet_.DrainEvents(i);
      count += std::count_if(
          events.begin(), events.end(),
          [&](const MemberEvent& event) { return event.kind == kind; });
    }
    return count;
  }

  SimulatedFleet fleet_{kFleetSize, 7};
};

// Guards against suspicions without a fault.
TEST_F(MembershipFleetTest, HealthyFleetSuspectsNoMember) {
  fleet_.RunFor(seconds(60));
  ExpectAllLive();
  EXPECT_EQ(CountEvents(MemberEventKind::kStateChanged), 0U);
}

// Guards against suspicion of a member because a single link drops messages in
// one direction: indirect probes still reach it.
TEST_F(MembershipFleetTest, OneWayLossCausesNoSuspicion) {
  fleet_.SetLoss(
      [](std::size_t from, std::size_t to) { return from == 1 && to == 2; });
  fleet_.RunFor(seconds(60));
  EXPECT_EQ(CountEvents(MemberEventKind::kStateChanged), 0U);
}

// Guards against traffic to a dead member, and against declaring a member dead
// on suspicion alone: its resources would be reclaimed while it may still be
// running.
TEST_F(MembershipFleetTest, DeadMemberIsSuspectedButNotDeclaredDead) {
  fleet_.SetRunning(3, false);
  fleet_.RunFor(seconds(5));
  EXPECT_EQ(CountState(3, MemberState::kSuspected), kFleetSize - 1);
  fleet_.RunFor(kSuspicionTimeout);
  EXPECT_FALSE(fleet_.InLiveSet(0, 3));
  fleet_.RunFor(seconds(100));
  EXPECT_EQ(CountState(3, MemberState::kSuspected), kFleetSize - 1);
  EXPECT_EQ(CountEvents(MemberEventKind::kProcessDead), 0U);
}

// Guards against declaring a member dead before kUnlistedTimeout, which covers
// the list's lag, has passed, or while the list is unavailable.
TEST_F(MembershipFleetTest, DeclaredDeadOnlyAfterUnlistedTimeoutAndListAnswer) {
  fleet_.SetRunning(3, false);
  fleet_.RemoveFromList(3);
  fleet_.RunFor(seconds(14));
  EXPECT_EQ(CountState(3, MemberState::kDead), 0U);
  fleet_.SetListAvailable(false);
  fleet_.RunFor(seconds(60));
  EXPECT_EQ(CountState(3, MemberState::kDead), 0U);
  fleet_.SetListAvailable(true);
  fleet_.RunFor(seconds(2));
  EXPECT_EQ(CountState(3, MemberState::kDead), kFleetSize - 1);
  EXPECT_EQ(CountEvents(MemberEventKind::kProcessDead), kFleetSize - 1);
}

// Guards against declaring a process dead that responds although the list lacks
// it, and against never declaring it dead after it has stopped.
TEST_F(MembershipFleetTest, RespondingMemberIsNotDeclaredDead) {
  fleet_.RemoveFromList(3);
  fleet_.RunFor(seconds(60));
  EXPECT_EQ(CountState(3, MemberState::kDead), 0U);
  fleet_.SetRunning(3, false);
  fleet_.RunFor(seconds(10));
  EXPECT_EQ(CountState(3, MemberState::kDead), kFleetSize - 1);
}

// Guards against a resumed process that suspects all others, that remains
// suspected, or whose refutation is mistaken for a new process.
TEST_F(MembershipFleetTest, ResumedMemberRefutesSuspicion) {
  fleet_.SetRunning(3, false);
  fleet_.RunFor(seconds(30));
  EXPECT_EQ(CountState(3, MemberState::kSuspected), kFleetSize - 1);
  fleet_.DrainEvents(3);
  fleet_.SetRunning(3, true);
  fleet_.RunFor(seconds(6));
  ExpectAllLive();
  EXPECT_TRUE(fleet_.DrainEvents(3).empty());
  EXPECT_EQ(fleet_.DetectorOf(3).PauseCount(), 1);
  EXPECT_EQ(fleet_.DetectorOf(3).Self().version.incarnation, Incarnation(1));
  EXPECT_GT(fleet_.DetectorOf(3).Self().version.number, StatementNumber(0));
  EXPECT_EQ(CountEvents(MemberEventKind::kProcessDead), 0U);
}

// Guards against a partition that leaves suspicions behind after it has ended,
// and against either side declaring the other dead during it.
TEST_F(MembershipFleetTest, PartitionHeals) {
  fleet_.SetLoss(
      [](std::size_t from, std::size_t to) { return from % 2 != to % 2; });
  fleet_.RunFor(seconds(60));
  EXPECT_EQ(fleet_.StateAt(0, 1), MemberState::kSuspected);
  EXPECT_EQ(fleet_.StateAt(0, 2), MemberState::kLive);
  const auto zones =
      fleet_.DetectorOf(0).Table().ZonesHeardSince(fleet_.Now() - seconds(30));
  EXPECT_EQ(zones.size(), 2U);
  fleet_.SetLoss({});
  fleet_.RunFor(seconds(15));
  ExpectAllLive();
  EXPECT_EQ(CountEvents(MemberEventKind::kProcessDead), 0U);
}

// Guards against treating the predecessor of a restarted process as running,
// and against a predecessor that is not notified that it was replaced.
TEST_F(MembershipFleetTest, HigherIncarnationDeclaresPredecessorDead) {
  const auto old = fleet_.DetectorOf(3).Self();
  fleet_.Start(3, Incarnation(2));
  fleet_.RunFor(seconds(10));
  ExpectAllLive();
  EXPECT_EQ(CountEvents(MemberEventKind::kProcessDead), kFleetSize - 1);
  // A delayed message of the old process has no effect.
  MemberMessage late{MessageKind::kProbe,   old, {}, -1, 1,
                     InstanceId("entry-0"), {}};
  late.sender.version.number = StatementNumber(99);
  fleet_.DetectorOf(0).OnMessage(late, fleet_.Now());
  EXPECT_EQ(fleet_.StateAt(0, 3), MemberState::kLive);
  // A process that starts with its predecessor's incarnation is notified that
  // it is superseded.
  fleet_.Start(3, Incarnation(1));
  fleet_.RunFor(seconds(5));
  const auto events = fleet_.DrainEvents(3);
  EXPECT_TRUE(std::any_of(events.begin(), events.end(), [](const auto& event) {
    return event.kind == MemberEventKind::kSelfSuperseded &&
           event.incarnation == Incarnation(2);
  }));
}

// Guards against new requests to a member that is leaving, whether announced by
// itself or by the list.
TEST_F(MembershipFleetTest, LeavingStateIsDisseminated) {
  fleet_.DetectorOf(3).Leave();
  fleet_.SetListLeaving(4);
  fleet_.RunFor(seconds(5));
  for (const std::size_t member : {3, 4}) {
    EXPECT_EQ(CountState(member, MemberState::kLeaving), kFleetSize - 1);
    EXPECT_FALSE(fleet_.InLiveSet(0, member));
  }
}

// Guards against concurrent failures: packet loss while a member is dead must
// not cause others to be declared dead or to remain suspected.
TEST_F(MembershipFleetTest, PacketLossDuringMemberFailure) {
  Random random(5);
  fleet_.SetLoss(
      [&](std::size_t, std::size_t) { return random.Below(10) == 0; });
  fleet_.SetRunning(3, false);
  fleet_.RunFor(seconds(120));
  EXPECT_EQ(CountState(3, MemberState::kSuspected), kFleetSize - 1);
  fleet_.SetLoss({});
  fleet_.RunFor(seconds(20));
  for (std::size_t i = 0; i < kFleetSize; ++i) {
    if (i == 3) continue;
    // All members except the dead one see it as live.
    EXPECT_GE(CountState(i, MemberState::kLive), kFleetSize - 2)
        << "member " << i;
  }
  EXPECT_EQ(CountEvents(MemberEventKind::kProcessDead), 0U);
}

// Guards against a process that suspects a member after a pause because the
// acknowledgement arrived during the pause.
TEST(FailureDetectorTest, PauseDiscardsProbeInFlight) {
  const InstanceId other("other");
  const auto suspects_after = [&](Duration step) {
    MemberStatement self;
    self.id = InstanceId("self");
    self.version.incarnation = Incarnation(1);
    FailureDetector detector(self, DetectorSettings{}, 1);
    MemberMessage hello;
    hello.sender.id = other;
    hello.sender.version.incarnation = Incarnation(1);
    Timestamp now{seconds(100)};
    detector.OnMessage(hello, now);
    const auto end = now + seconds(2);
    for (; now <= end; now += step) detector.Tick(now);
    return detector.Table().Find(other)->State() == MemberState::kSuspected;
  };
  EXPECT_TRUE(suspects_after(std::chrono::milliseconds(100)));
  EXPECT_FALSE(suspects_after(seconds(2)));
}

// Guards against messages that exceed one packet when half of a large fleet
// changes at once.
TEST(MessageTest, EncodedSizeIsBounded) {
  SimulatedFleet fleet(100, 3);
  fleet.RunFor(seconds(10));
  fleet.SetLoss(
      [](std::size_t from, std::size_t to) { return from % 2 != to % 2; });
  fleet.RunFor(seconds(20));
  EXPECT_LE(fleet.TrafficTotals().largest, kMaxMessageBytes);
  EXPECT_GT(fleet.TrafficTotals().largest, kMaxMessageBytes * 9 / 10)
      << "no message came close to the size limit";
  EXPECT_EQ(DecodeMessage({0x83, 0x01}).error().kind, ErrorKind::kProtocol);
  EXPECT_EQ(DecodeMessage({}).error().kind, ErrorKind::kProtocol);
}

// Guards against tables that depend on the order or number of messages.
TEST(MemberTableTest, MergeIsOrderIndependent) {
  EXPECT_TRUE(rc::check([] {
    std::vector<MemberStatement> statements;
    const auto count = *rc::gen::inRange(1, 12);
    for (int i = 0; i < count; ++i) {
      MemberStatement statement;
      statement.id = InstanceId("a");
      statement.version = {Incarnation(*rc::gen::inRange(1, 4)),
                           StatementNumber(*rc::gen::inRange(0, 4))};
      statement.leaving = statement.version.number > StatementNumber(1);
      statement.suspected = *rc::gen::arbitrary<bool>();
      statements.push_back(statement);
    }
    const auto merge = [](const std::vector<MemberStatement>& all) {
      MemberTable table;
      for (const auto& one : all) table.Merge(one, false, Timestamp{});
      return table.Find(InstanceId("a"))->statement;
    };
    auto shuffled = statements;
    shuffled.insert(shuffled.end(), statements.begin(), statements.end());
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    for (std::size_t i = shuffled.size(); i > 1; --i) {
      std::swap(shuffled[i - 1], shuffled[random.Below(i)]);
    }
    const auto first = merge(statements);
    const auto second = merge(shuffled);
    RC_ASSERT(first.version == second.version);
    RC_ASSERT(first.suspected == second.suspected);
    RC_ASSERT(first.leaving == second.leaving);
  }));
}

}  // namespace
}  // namespace dotterellug
