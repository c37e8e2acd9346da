#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

#include "placement/commands/placement_reconciler.h"
#include "placement/tests/fleet_harness.h"

namespace dotterellug {
namespace {

const std::vector<Fault> kFaults{
    Fault::kCommandLost,    Fault::kCommandLate,      Fault::kCommandDuplicated,
    Fault::kResponseLost,   Fault::kResponseLate,     Fault::kOwnerCrash,
    Fault::kOwnerPause,     Fault::kStoreOutage,      Fault::kStoreResponseLost,
    Fault::kStoreWriteLate, Fault::kZoneUnresponsive, Fault::kEngineRestart};

auto RunHarness(std::uint64_t seed, std::vector<Fault> faults,
                bool checks_fencing,
                DisabledSafeguard disabled_safeguard = DisabledSafeguard::kNone)
    -> HarnessResult {
  HarnessOptions options;
  options.seed = seed;
  options.faults = std::move(faults);
  options.engines_check_fencing = checks_fencing;
  options.disabled_safeguard = disabled_safeguard;
  return FleetHarness(options).Run();
}

// Guards against overcommitted memory, loads without a reservation and
// overlapping commands for one item (see FleetHarness::RecordSent), under each
// fault and each pair of faults. Also guards against lost progress: every item
// of the targets must be loaded 150 s after the faults, which is time for lease
// expiry (10 s), command lifetime (30 s), retries (up to 5 s) and loads (up to
// 6 s each).
TEST(PlacementReconcilerProperty, SafeAndLiveUnderPairsOfFaults) {
  std::int64_t loads = 0;
  std::int64_t takeovers = 0;
  for (const auto first : kFaults) {
    for (const auto second : kFaults) {
      for (const bool checks_fencing : {true, false}) {
        for (std::uint64_t seed = 1; seed <= 2; ++seed) {
          const auto result = RunHarness(seed, {first, second}, checks_fencing);
          loads += result.loads;
          takeovers += result.takeovers;
          ASSERT_EQ(result.Violations(), 0)
              << "faults " << static_cast<int>(first) << ","
              << static_cast<int>(second) << " checks fencing "
              << checks_fencing << " seed " << seed << ": "
              << result.first_violation;
          ASSERT_EQ(result.missing_at_end, 0)
              << "faults " << static_cast<int>(first) << ","
              << static_cast<int>(second) << " checks fencing "
              << checks_fencing << " seed " << seed;
        }
      }
    }
  }
  // Without loads and takeovers, the checks above would not test anything.
  EXPECT_GT(loads, 10000);
  EXPECT_GT(takeovers, 1000);
}

// Guards against checks that cannot fail: with each safeguard disabled, some
// seed must produce a violation under faults that need the safeguard.
TEST(PlacementReconcilerProperty, EachDisabledSafeguardCausesAViolation) {
  struct Row {
    DisabledSafeguard disabled_safeguard;
    bool checks_fencing;
    std::vector<Fault> faults;
  };
  const std::vector<Row> rows{
      {DisabledSafeguard::kCommandLifetime, false, {Fault::kCommandLate}},
      {DisabledSafeguard::kLeaseCheck, false, {Fault::kOwnerPause}},
      {DisabledSafeguard::kAuthorizeSend, false, {Fault::kOwnerPause}},
      {DisabledSafeguard::kConditionalWrite,
       true,
       {Fault::kOwnerPause, Fault::kStoreWriteLate}},
      {DisabledSafeguard::kWriteBeforeSend, true, {}},
      {DisabledSafeguard::kFirstWriteOfTerm,
       true,
       {Fault::kOwnerPause, Fault::kStoreWriteLate}},
      {DisabledSafeguard::kTakeoverWait, false, {Fault::kOwnerPause}},
      {DisabledSafeguard::kUnloadConfirmation, true, {Fault::kCommandLost}},
      {DisabledSafeguard::kResponseMatch, true, {Fault::kResponseLate}},
      {DisabledSafeguard::kEngineFencing, true, {Fault::kCommandLate}},
      {DisabledSafeguard::kFencingAfterRestart,
       true,
       {Fault::kEngineRestart, Fault::kCommandLate}},
      {DisabledSafeguard::kMemoryLimit, true, {}},
  };
  for (const auto& row : rows) {
    std::int64_t violations = 0;
    std::uint64_t seed = 0;
    while (violations == 0 && seed < 100) {
      violations = RunHarness(++seed, row.faults, row.checks_fencing,
                              row.disabled_safeguard)
                       .Violations();
    }
    EXPECT_GT(violations, 0)
        << "safeguard " << static_cast<int>(row.disabled_safeguard)
        << " in 100 seeds";
    std::cout << "safeguard " << static_cast<int>(row.disabled_safeguard)
              << ": violation at seed " << seed << "\n";
  }
}

// One engine with 100 bytes of memory and a PlacementReconciler that has
// received its first report.
class SingleEngineFixture {
 public:
  explicit SingleEngineFixture(bool checks_fencing)
      : reconciler(Term(1), Timestamp(), PlacementReconcilerOptions()) {
    reconciler.SetEngine({kEngine, Bytes(100), checks_fencing, true});
    reconciler.Handle(Timestamp(),
                      EngineReport{kEngine, Incarnation(1), now, {}});
  }

  // Advances the time to `second`, completes store calls at once, and returns
  // the authorized commands.
  auto RunUntil(std::int64_t second) -> std::vector<EngineCommand> {
    std::vector<EngineCommand> commands;
    while (now < Timestamp(std::chrono::seconds(second))) {
      now += std::chrono::seconds(1);
      for (const auto& action : reconciler.Step(now, lease)) {
        CompleteStoreCall(action);
        const auto* send = std::get_if<SendCommand>(&action);
        if (send == nullptr) continue;
        if (reconciler.AuthorizeSend(now, lease, send->command)) {
          commands.push_back(send->command);
        }
      }
    }
    return commands;
  }
  auto ConfirmCommand(const EngineCommand& command) -> void {
    reconciler.Handle(
        now, CommandResponse{kEngine, command.fencing, CommandOutcome::kDone});
  }

  inline static const UpstreamId kEngine{"engine"};
  PlacementReconciler reconciler;
  Timestamp now;
  OwnerLease lease{Term(1), Timestamp(std::chrono::hours(1))};
  ObjectVersion version;

 private:
  auto CompleteStoreCall(const PlacementAction& action) -> void {
    if (std::holds_alternative<ReadRecord>(action)) {
      reconciler.Handle(now, RecordReadCompleted{kEngine, version, {}});
    } else if (std::holds_alternative<WriteRecord>(action)) {
      version = version.Next();
      reconciler.Handle(now, RecordWriteCompleted{kEngine, version});
    }
  }
};

const ItemKey kFirst{ModelId("first"), "1", AdapterId()};

// Guards against a deadlock at the start of a term, which occurs if the first
// targets are needed to read the records, because the planner waits for the
// records.
TEST(PlacementReconcilerTest, ReadsRecordsBeforeTargetsAreSet) {
  const Timestamp now{std::chrono::seconds(100)};
  const OwnerLease lease{Term(1), now + std::chrono::seconds(5)};
  PlacementReconciler reconciler(Term(1), now, {});
  reconciler.SetEngine({UpstreamId("e"), Bytes(100), true, true});
  const auto actions = reconciler.Step(now, lease);
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<ReadRecord>(actions[0]));
  reconciler.Handle(now,
                    RecordReadCompleted{UpstreamId("e"), ObjectVersion(0), {}});
  EXPECT_NE(reconciler.Record(UpstreamId("e")), nullptr);
  EXPECT_TRUE(reconciler.Step(now, lease).empty());
}

// Guards against a load that arrives after its item was released (trace in
// docs/decisions/0302): the load is delayed, and an unload sent after it is
// confirmed first. On engines that do not check fencing, the unload must wait
// for the load's lifetime, even if the load was answered, because a duplicate
// can still arrive.
TEST(PlacementReconcilerTest, UnloadWaitsForLifetimeOfLastLoadWithoutFencing) {
  for (const bool confirmed : {false, true}) {
    SingleEngineFixture fixture(false);
    fixture.reconciler.SetTarget(SingleEngineFixture::kEngine,
                                 {{{kFirst, Bytes(60), 1}}, {}});
    const auto loads = fixture.RunUntil(60);
    ASSERT_FALSE(loads.empty());
    if (confirmed) fixture.ConfirmCommand(loads.back());
    fixture.reconciler.SetTarget(SingleEngineFixture::kEngine, {});
    EXPECT_TRUE(fixture.RunUntil(88).empty());
    EXPECT_NE(
        fixture.reconciler.Record(SingleEngineFixture::kEngine)->Find(kFirst),
        nullptr);
    const auto unloads = fixture.RunUntil(95);
    ASSERT_FALSE(unloads.empty());
    fixture.ConfirmCommand(unloads.back());
    fixture.RunUntil(100);
    EXPECT_EQ(
        fixture.reconciler.Record(SingleEngineFixture::kEngine)->Find(kFirst),
        nullptr);
  }
}

// Guards against an unreachable model after an engine restart during a store
// outage, and against a load sent after the lease has expired to an engine that
// does not check fencing.
TEST(PlacementReconcilerTest,
     LoadsReservedItemsAfterLeaseExpiryOnlyWithFencing) {
  for (const bool checks_fencing : {true, false}) {
    SingleEngineFixture fixture(checks_fencing);
    fixture.reconciler.SetTarget(SingleEngineFixture::kEngine,
                                 {{{kFirst, Bytes(60), 1}}, {}});
    fixture.ConfirmCommand(fixture.RunUntil(10).front());
    fixture.lease.valid_until = fixture.now;
    fixture.RunUntil(20);
    fixture.reconciler.Handle(
        fixture.now,
        EngineReport{
            SingleEngineFixture::kEngine, Incarnation(2), fixture.now, {}});
    EXPECT_EQ(!fixture.RunUntil(30).empty(), checks_fencing);
  }
}

// Guards against reservations that are lost when a new owner reads the record.
TEST(EngineRecordTest, DecodingRestoresEncodedRecord) {
  EngineRecord record(Bytes(100), Bytes(10));
  ASSERT_TRUE(record.Reserve(kFirst, Bytes(60)));
  EXPECT_EQ(record.Reserve(kFirst, Bytes(1)).error().kind,
            ErrorKind::kConflict);
  EXPECT_FALSE(record.Release(kFirst));
  record.MarkForRemoval(kFirst);
  EXPECT_EQ(EngineRecord::Decode(record.Encode()).value(), record);
  EXPECT_EQ(EngineRecord::Decode("{}").error().kind, ErrorKind::kProtocol);
}

}  // namespace
}  // namespace dotterellug
