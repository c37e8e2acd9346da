#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

#include "peer/auth/freshness_guard.h"

namespace dotterellug {
namespace {

constexpr auto kPeriod = std::chrono::seconds(60);

struct GuardFixture {
  ReceiverEpoch drawn = 0;
  Timestamp now{std::chrono::seconds(1000)};
  FreshnessGuard guard{{InstanceId{"b"}, Incarnation{1}},
                       kPeriod,
                       [this] { return ++drawn; },
                       now};
  GuardFixture() { guard.SetPeers({InstanceId{"a"}}, now); }

  auto Check(std::int64_t sequence, ReceiverEpoch epoch,
             std::int64_t incarnation = 1) -> PeerRefusal {
    return guard.Check({{InstanceId{"a"}, Incarnation{incarnation}},
                        InstanceId{"b"},
                        {},
                        epoch,
                        sequence},
                       now);
  }
};

// Guards against a recorded message that is accepted much later.
TEST(FreshnessGuard, RefusesMessagesOlderThanTwoPeriods) {
  GuardFixture fixture;
  const auto epoch = fixture.guard.CurrentEpoch(fixture.now);
  EXPECT_EQ(PeerRefusal::kNone, fixture.Check(1, epoch));
  fixture.now += kPeriod;
  EXPECT_EQ(PeerRefusal::kNone, fixture.Check(2, epoch));
  fixture.now += kPeriod;
  EXPECT_EQ(PeerRefusal::kStaleEpoch, fixture.Check(3, epoch));
  // The duplicate of an accepted message is never called stale, since the
  // sender would send it again.
  EXPECT_EQ(PeerRefusal::kReplay, fixture.Check(2, epoch));
}

// Guards against an epoch that survives a long silence.
TEST(FreshnessGuard, DropsBothEpochsAfterSilence) {
  GuardFixture fixture;
  const auto epoch = fixture.guard.CurrentEpoch(fixture.now);
  fixture.now += 10 * kPeriod;
  EXPECT_EQ(PeerRefusal::kStaleEpoch, fixture.Check(1, epoch));
}

// Guards against messages of a former process after its successor spoke.
TEST(FreshnessGuard, HigherIncarnationStartsItsOwnSequence) {
  GuardFixture fixture;
  const auto epoch = fixture.guard.CurrentEpoch(fixture.now);
  EXPECT_EQ(PeerRefusal::kNone, fixture.Check(5, epoch, 1));
  EXPECT_EQ(PeerRefusal::kNone, fixture.Check(5, epoch, 2));
  EXPECT_EQ(PeerRefusal::kOldIncarnation, fixture.Check(6, epoch, 1));
}

// Guards against replay by a peer that left the list for a moment.
TEST(FreshnessGuard, KeepsTheWindowOfARemovedPeer) {
  GuardFixture fixture;
  const auto epoch = fixture.guard.CurrentEpoch(fixture.now);
  EXPECT_EQ(PeerRefusal::kNone, fixture.Check(1, epoch));
  fixture.guard.SetPeers({}, fixture.now);
  EXPECT_EQ(PeerRefusal::kUnknownPeer, fixture.Check(1, epoch));
  fixture.guard.SetPeers({InstanceId{"a"}}, fixture.now);
  EXPECT_EQ(PeerRefusal::kReplay, fixture.Check(1, epoch));
}

// Guards against a sequence that is accepted twice, in any order of arrival.
TEST(ReplayWindow, AcceptsEachSequenceAtMostOnce) {
  const auto property = [] {
    ReplayWindow window;
    std::set<std::int64_t> accepted;
    std::int64_t highest = 0;
    const auto steps = *rc::gen::container<std::vector<std::int64_t>>(
        rc::gen::inRange<std::int64_t>(-600, 1500));
    for (const auto step : steps) {
      const auto sequence = highest + step;
      const auto in_window =
          sequence > 0 && sequence > highest - ReplayWindow::kLength;
      RC_ASSERT(window.Seen(sequence) ==
                (!in_window || accepted.count(sequence) > 0));
      if (window.Seen(sequence)) continue;
      window.Accept(sequence);
      accepted.insert(sequence);
      highest = std::max(highest, sequence);
    }
  };
  rc::detail::TestParams parameters;
  parameters.seed = 40;
  parameters.maxSuccess = 300;
  const auto result = rc::detail::checkTestable(
      property, rc::detail::TestMetadata{}, parameters);
  EXPECT_TRUE(result.template is<rc::detail::SuccessResult>());
}

}  // namespace
}  // namespace dotterellug
