#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "idempotency/idempotency.h"
#include "idempotency/tests/claim_fleet.h"

namespace dotterellug {
namespace {

using testing::ClaimFleet;
using testing::ClaimFleetVariant;

// Guards against a call that runs twice, with loss, duplication, reordering,
// crash, pause, takeover, store outage, stale reads and lost store responses.
TEST(ClaimFleetTest, EachCallRunsAtMostOnce) {
  int runs = 0;
  int outage_grants = 0;
  int repeats = 0;
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    ClaimFleet fleet(seed, {});
    fleet.RunOwnerReplacement();
    fleet.Run(400, true);
    ASSERT_LE(fleet.MostRuns(), 1) << "seed " << seed;
    runs += fleet.Runs();
    outage_grants += fleet.OutageGrants();
    repeats += fleet.RepeatsAnswered();
  }
  // The schedules must exercise grants with and without the store.
  EXPECT_GT(runs, 10'000);
  EXPECT_GT(outage_grants, 1000);
  EXPECT_GT(repeats, 10'000);
}

// Guards against a log that loses state on its way through the store.
TEST(ClaimLogTest, SurvivesEncodingAndRejectsOtherInput) {
  ClaimRecord record;
  record.key = ClaimKey("k");
  record.claimant = {{InstanceId("a"), Incarnation(2)}, 7};
  record.state = ClaimState::kDone;
  record.response = {200, std::string("\xff\x00 body", 7), true};
  const auto value = EncodeClaimLog({Term(3), 4, WallTime{}, {record}});
  const auto parsed = ParseClaimLog(value);
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->term, Term(3));
  ASSERT_EQ(parsed->records.size(), 1U);
  EXPECT_EQ(parsed->records[0].claimant, record.claimant);
  EXPECT_EQ(parsed->records[0].state, ClaimState::kDone);
  EXPECT_EQ(parsed->records[0].response.body, record.response.body);
  EXPECT_EQ(ParseClaimLog("{}").error().kind, ErrorKind::kProtocol);
}

// A lone owner with its log read and its first write done.
class ClaimOwnerTest : public ::testing::Test {
 protected:
  ClaimOwnerTest()
      : owner_(shard_, Term(1), self_, TerminatedMembers(), MakePolicy()) {
    owner_.OnBarrierCompleted(false, now_);
    owner_.OnRead({ClaimObjectName(shard_), kAbsent, ""}, now_);
    owner_.OnWrite(kAbsent, WriteOutcome::kDone, ObjectVersion(1), now_);
  }
  static auto MakePolicy() -> ClaimPolicy {
    ClaimPolicy policy;
    policy.max_response_bytes = 8;
    policy.max_log_bytes = 700;
    return policy;
  }
  // Claims and finishes `key`; the verdict of a repeat at another process.
  auto VerdictOfRepeat(const std::string& body) -> ClaimVerdict {
    const ClaimKey key("k");
    owner_.OnClaim({shard_, key, RequestDigest("r"), {self_, 1}}, now_);
    owner_.OnWrite(ObjectVersion(1), WriteOutcome::kDone, ObjectVersion(2),
                   now_);
    owner_.OnResult(
        {shard_, key, {self_, 1}, ClaimState::kDone, {200, body, true}}, now_);
    return Claim("k", "r");
  }
  auto Claim(const std::string& key, const std::string& request)
      -> ClaimVerdict {
    const auto actions = owner_.OnClaim(
        {shard_, ClaimKey(key), RequestDigest(request), {other_, 1}}, now_);
    if (actions.empty()) return InProgress{};
    const auto* send = std::get_if<SendClaimMessage>(&actions.front());
    if (send == nullptr) return InProgress{};
    return std::get<ClaimAnswer>(send->message).verdict;
  }

  const ShardId shard_{"claims-0"};
  const MemberId self_{InstanceId("a"), Incarnation(1)};
  const MemberId other_{InstanceId("b"), Incarnation(1)};
  ClaimTime now_;
  ClaimOwner owner_;
};

// Guards against a repeat that does not get the first response, and against a
// key that is reused for another request and gets a foreign response.
TEST_F(ClaimOwnerTest, RepeatGetsTheFirstResponse) {
  const auto verdict = VerdictOfRepeat("ok");
  ASSERT_TRUE(std::holds_alternative<FirstResponse>(verdict));
  EXPECT_EQ(std::get<FirstResponse>(verdict).response.body, "ok");
  EXPECT_TRUE(std::holds_alternative<DifferentRequest>(Claim("k", "other")));
}

// Guards against responses and claims that grow the log without bound.
TEST_F(ClaimOwnerTest, BoundsResponsesAndTheLog) {
  const auto verdict = VerdictOfRepeat("a body above the limit");
  ASSERT_TRUE(std::holds_alternative<FirstResponse>(verdict));
  EXPECT_FALSE(std::get<FirstResponse>(verdict).response.body_stored);
  EXPECT_TRUE(std::get<FirstResponse>(verdict).response.body.empty());
  Claim("k2", "r");
  EXPECT_TRUE(std::holds_alternative<ClaimRejected>(Claim("k3", "r")));
}

// Guards against records that stay beyond their retention.
TEST_F(ClaimOwnerTest, ForgetsAfterTheRetention) {
  VerdictOfRepeat("ok");
  owner_.OnWrite(ObjectVersion(2), WriteOutcome::kDone, ObjectVersion(3), now_);
  now_.wall += std::chrono::hours(23);
  owner_.Tick({}, now_);
  EXPECT_NE(owner_.Find(ClaimKey("k")), nullptr);
  now_.wall += std::chrono::hours(2);
  owner_.Tick({}, now_);
  EXPECT_EQ(owner_.Find(ClaimKey("k")), nullptr);
}

struct GuardCase {
  const char* name;
  ClaimFleetVariant variant;
};

class ClaimGuardTest : public ::testing::TestWithParam<GuardCase> {};

// Guards against a fleet test that cannot fail: without any one guard, some
// schedule must run a call twice.
TEST_P(ClaimGuardTest, WithoutItSomeCallRunsTwice) {
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    ClaimFleet fleet(seed, GetParam().variant);
    fleet.RunOwnerReplacement();
    if (fleet.MostRuns() > 1) return;
  }
  FAIL() << "no schedule ran a call twice";
}

auto Without(bool ClaimFleetVariant::*guard) -> ClaimFleetVariant {
  ClaimFleetVariant variant;
  variant.*guard = false;
  return variant;
}

INSTANTIATE_TEST_SUITE_P(
    Guards, ClaimGuardTest,
    ::testing::Values(
        GuardCase{"Barrier", Without(&ClaimFleetVariant::barrier)},
        GuardCase{"TermCheck", Without(&ClaimFleetVariant::term_check)},
        GuardCase{"Countersignature",
                  Without(&ClaimFleetVariant::countersignature)},
        GuardCase{"ConditionalLog",
                  Without(&ClaimFleetVariant::conditional_log)},
        GuardCase{"ClaimantOnce", Without(&ClaimFleetVariant::claimant_once)}),
    [](const ::testing::TestParamInfo<GuardCase>& info) {
      return info.param.name;
    });

// Guards against a log that the store refuses or that does not come back as it
// was written: the object API takes UTF-8 text only, and a log in a binary form
// left every owner in outage mode.
TEST(ClaimLogTest, IsTextAndReadsBackEqual) {
  ClaimRecord record;
  record.key = ClaimKey("k");
  record.request = RequestDigest("r");
  record.claimant = {{InstanceId("i"), Incarnation(3)}, 4};
  record.state = ClaimState::kDone;
  record.response = {200, "{\"crates\":\"\u00fc\"}\n", true};
  const ClaimLog log{Term(2), 7, {}, {record}};
  const auto text = EncodeClaimLog(log);
  EXPECT_FALSE(nlohmann::json::parse(text, nullptr, false).is_discarded());
  const auto read = ParseClaimLog(text);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->batch, 7);
  ASSERT_EQ(read->records.size(), 1U);
  EXPECT_EQ(read->records[0].response.body, record.response.body);
  EXPECT_EQ(EncodeClaimLog(*read), text);
}

}  // namespace
}  // namespace dotterellug
