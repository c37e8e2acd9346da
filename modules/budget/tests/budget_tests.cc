#include <gtest/gtest.h>

#include "budget/budget.h"
#include "budget/tests/simulated_budget_fleet.h"

namespace dotterellug {
namespace {

using testing::BudgetFleetOptions;
using testing::SimulatedBudgetFleet;

const RateLimit kRateLimit{Tokens(100), Tokens(300)};
const ConcurrencyLimit kConcurrencyLimit{12};

// Returns the first seed with which the fleet exceeds the limit, or 0 if none
// does.
auto FirstViolatingSeed(const BudgetLimit& limit, BudgetFleetOptions options,
                        std::uint64_t seeds) -> std::uint64_t {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    SimulatedBudgetFleet fleet(seed, limit, options);
    fleet.Run(1500);
    if (fleet.Excess() > 0) return seed;
  }
  return 0;
}

// Guards against a fleet that admits more than burst + rate * window in total,
// under message loss, duplication and reordering, crashes, pauses, changes of
// owner and store outages.
TEST(BudgetFleetTest, NeverExceedsARateInAnyWindow) {
  std::int64_t admitted_tokens = 0;
  int takeovers = 0;
  for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
    BudgetFleetOptions options;
    options.alternate_limits = seed % 3 == 0;
    SimulatedBudgetFleet fleet(seed, kRateLimit, options);
    fleet.Run(1500);
    ASSERT_LE(fleet.Excess(), 0) << "seed " << seed;
    admitted_tokens += fleet.AdmittedAmount();
    takeovers += fleet.Takeovers();
  }
  // The simulated schedules must use the limit: 1,500 runs of about 50 s at a
  // rate of 100 tokens/s allow about 7 million tokens.
  EXPECT_GT(admitted_tokens, 1'000'000);
  EXPECT_GT(takeovers, 5000);
}

// Guards against a fleet that has more permits in use than the concurrency
// limit.
TEST(BudgetFleetTest, NeverExceedsAConcurrencyLimit) {
  std::int64_t admitted = 0;
  for (std::uint64_t seed = 1; seed <= 600; ++seed) {
    BudgetFleetOptions options;
    options.alternate_limits = seed % 3 == 0;
    SimulatedBudgetFleet fleet(seed, kConcurrencyLimit, options);
    fleet.Run(1500);
    ASSERT_LE(fleet.Excess(), 0) << "seed " << seed;
    admitted += fleet.AdmittedAmount();
  }
  EXPECT_GT(admitted, 1000);
}

// Guards against a refund that uses up the refundable tokens of another open
// charge, which lets the fleet spend more than the burst at once.
TEST(TokenBucketTest, RefundsNeverExceedTheBurstAtOnce) {
  const auto at = [](double seconds) {
    return Timestamp(FromSeconds(seconds));
  };
  TokenBucket bucket({Tokens(10), Tokens(100)}, at(0));
  bucket.ChangeShare(kWhole, MicroTokens(0), at(0));
  const auto first = bucket.TryCharge(Tokens(100), at(10));
  ASSERT_TRUE(first);
  const auto second = bucket.TryCharge(Tokens(20), at(17));
  ASSERT_TRUE(second);
  // 70 tokens were refilled since the first charge, so 30 of its tokens are
  // still refundable; the second charge keeps its own 20.
  bucket.CompleteCharge(*first, Tokens(60), at(17));
  EXPECT_EQ(bucket.Available(at(17)), MicroTokens(80 * kMicroTokensPerToken));
  bucket.CompleteCharge(*second, Tokens(25), at(17));
  EXPECT_EQ(bucket.Available(at(17)), MicroTokens(75 * kMicroTokensPerToken));
}

// Guards against a negative level that is forgotten over time, and against one
// that does not move along when the share moves to another member.
TEST(TokenBucketTest, KeepsNegativeLevelOverTimeAndMovesItWithTheShare) {
  const auto now = Timestamp(std::chrono::seconds(1));
  TokenBucket bucket({Tokens(10), Tokens(100)}, Timestamp{});
  bucket.ChangeShare(kWhole, MicroTokens(0), Timestamp{});
  const auto charge = bucket.TryCharge(Tokens(10), now);
  ASSERT_TRUE(charge);
  bucket.CompleteCharge(*charge, Tokens(50), now);
  EXPECT_EQ(bucket.Available(now), MicroTokens(-40 * kMicroTokensPerToken));
  EXPECT_FALSE(bucket.TryCharge(Tokens(1), now + std::chrono::seconds(2)));
  const auto released =
      bucket.ChangeShare(PartsPerMillion(250'000), MicroTokens(0), now);
  EXPECT_EQ(released, MicroTokens(-15 * kMicroTokensPerToken));
}

// Guards against applying the limits of an outdated revision, and against a
// level above the burst of a lower limit.
TEST(BudgetHolderTest, AppliesTheHighestRevision) {
  const BudgetId budget("account-a");
  const auto now = Timestamp(std::chrono::seconds(100));
  BudgetHolder holder(ShardId("s"), {InstanceId("a"), Incarnation(1)});
  holder.SetLimits({RevisionNumber(2), {{budget, kRateLimit}}}, Timestamp{});
  holder.Acknowledge(Term(1));
  const ChangeShare change{ShardId("s"), Term(1),       budget, 1,
                           kWhole,       MicroTokens(0)};
  ASSERT_TRUE(holder.OnChangeShare(change, Timestamp{}));
  EXPECT_EQ(holder.Available(budget, now), Tokens(300));
  holder.SetLimits(
      {RevisionNumber(3), {{budget, RateLimit{Tokens(10), Tokens(20)}}}}, now);
  holder.SetLimits({RevisionNumber(2), {{budget, kRateLimit}}}, now);
  EXPECT_EQ(holder.Available(budget, now), Tokens(20));
  EXPECT_FALSE(holder.TryCharge(budget, Tokens(21), now));
}

// Guards against assigning a share to another member while its permits are
// still in use.
TEST(ConcurrencyLimiterTest, DecreaseWaitsForPermitsInUse) {
  ConcurrencyLimiter limiter(ConcurrencyLimit{10});
  ASSERT_TRUE(limiter.ChangeShare(kWhole));
  const auto charge = limiter.TryAcquire(6);
  ASSERT_TRUE(charge);
  EXPECT_FALSE(limiter.ChangeShare(PartsPerMillion(500'000)));
  EXPECT_FALSE(limiter.TryAcquire(1));
  limiter.Release(*charge);
  EXPECT_TRUE(limiter.ChangeShare(PartsPerMillion(500'000)));
  EXPECT_EQ(limiter.Permits(), 5);
}

// Guards against transfer requests that are forwarded to a paused holder: 11
// requests within the rate limit were refused while a daemon that held most of
// an account's share was paused.
TEST(ShareTableTest, SelectsOnlyEligibleHoldersForTransfers) {
  const MemberId paused_member{InstanceId("paused"), Incarnation(1)};
  const MemberId live_member{InstanceId("live"), Incarnation(1)};
  ShareTable table(kRateLimit, Timestamp{});
  table.AddHolder(paused_member, PartsPerMillion(700'000), Timestamp{});
  table.AddHolder(live_member, PartsPerMillion(300'000), Timestamp{});
  const auto all = [](const MemberId&) { return true; };
  EXPECT_EQ(table.HolderWithLargestSurplus(all), paused_member);
  EXPECT_EQ(table.HolderWithLargestSurplus([&](const MemberId& member) {
    return member != paused_member;
  }),
            live_member);
}

// Guards against reclaiming the share of a terminated member twice. The former
// owner has reclaimed it and assigned it to `a`, but the terminated member had
// already reported it to the new owner, so the reported shares add up to 150%.
// The new owner must not assign that share again.
TEST(ShareTableTest, ReclaimsATerminatedMembersShareOnce) {
  const auto member = [](const std::string& name) {
    return MemberId{InstanceId(name), Incarnation(1)};
  };
  ShareTable table(kRateLimit, Timestamp{});
  table.AddHolder(member("terminated"), PartsPerMillion(500'000), Timestamp{});
  table.AddHolder(member("b"), PartsPerMillion(500'000), Timestamp{});
  table.AddHolder(member("a"), PartsPerMillion(500'000), Timestamp{});
  table.OpenPool(Timestamp{});
  EXPECT_EQ(table.PoolShare(), PartsPerMillion(0));
  table.RemoveHolder(member("terminated"), Timestamp{});
  EXPECT_EQ(table.TotalHeldShare() + table.PoolShare(), kWhole);
}

// A safeguard and the options of a fleet that lacks it.
struct SafeguardCase {
  const char* name;
  BudgetFleetOptions options;
};

class BudgetSafeguardTest : public ::testing::TestWithParam<SafeguardCase> {};

// Guards against a simulation that cannot detect violations: with any one
// safeguard disabled, some schedule must exceed the limit.
TEST_P(BudgetSafeguardTest, DisablingItLetsTheFleetExceedTheLimit) {
  EXPECT_NE(FirstViolatingSeed(kRateLimit, GetParam().options, 3000), 0U);
}

// Options with one safeguard disabled.
auto WithDisabled(bool BudgetFleetOptions::*safeguard) -> BudgetFleetOptions {
  BudgetFleetOptions options;
  options.*safeguard = false;
  return options;
}

INSTANTIATE_TEST_SUITE_P(
    Safeguards, BudgetSafeguardTest,
    ::testing::Values(
        SafeguardCase{"Barrier", WithDisabled(&BudgetFleetOptions::barrier)},
        SafeguardCase{"CheckTerms",
                      WithDisabled(&BudgetFleetOptions::check_terms)},
        SafeguardCase{
            "AwaitDecreaseAcknowledgement",
            WithDisabled(&BudgetFleetOptions::await_decrease_acknowledgement)},
        SafeguardCase{
            "RegisterBeforeAcknowledging",
            WithDisabled(&BudgetFleetOptions::register_before_acknowledging)},
        SafeguardCase{"DeduplicateTransfers",
                      WithDisabled(&BudgetFleetOptions::deduplicate_transfers)},
        SafeguardCase{"DecayTransfers",
                      WithDisabled(&BudgetFleetOptions::decay_transfers)},
        SafeguardCase{"ConditionalWrites",
                      WithDisabled(&BudgetFleetOptions::conditional_writes)}),
    [](const ::testing::TestParamInfo<SafeguardCase>& info) {
      return info.param.name;
    });

}  // namespace
}  // namespace dotterellug
