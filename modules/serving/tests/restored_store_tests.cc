#include <gtest/gtest.h>

#include <set>
#include <string>

#include "serving/fleet/restore_retention.h"
#include "serving/fleet/restored_upstreams.h"

namespace dotterellug::serving {
namespace {

auto At(double s) -> Timestamp { return Timestamp(FromSeconds(1000 + s)); }

auto Entry(std::int64_t started_ms, bool leaving = false) -> UpstreamRecord {
  UpstreamRecord record;
  record.id = UpstreamId("u");
  record.started_ms = started_ms;
  record.leaving = leaving;
  return record;
}

// Guards against requests to a leaving engine: the backup has its entry from
// before it began to leave.
TEST(RestoredUpstreamsTest, ALeavingProcessStaysLeaving) {
  RestoredUpstreams upstreams;
  EXPECT_FALSE(upstreams.OnEntry(Entry(7), false, At(0))->leaving);
  EXPECT_TRUE(upstreams.OnEntry(Entry(7, true), false, At(1))->leaving);
  EXPECT_TRUE(upstreams.OnEntry(Entry(7), true, At(2))->leaving);
  EXPECT_TRUE(upstreams.OnEntry(Entry(7), false, At(3))->leaving);
  // The next process of the same upstream serves.
  EXPECT_FALSE(upstreams.OnEntry(Entry(8), false, At(4))->leaving);
  // An older backup has the one before once more.
  EXPECT_TRUE(upstreams.OnEntry(Entry(7), true, At(5))->leaving);
}

// Guards against requests to an engine that has ended: its entry was removed
// before the restore and is in the list again.
TEST(RestoredUpstreamsTest, ARemovedEntryFromTheBackupIsNotUsedAtOnce) {
  RestoredUpstreams upstreams;
  upstreams.OnRemoved(Entry(7), At(0));
  EXPECT_FALSE(upstreams.OnEntry(Entry(7), true, At(1)));
  EXPECT_TRUE(upstreams.DiffersFromList());
  // Reading the list again does not begin the time anew.
  EXPECT_FALSE(upstreams.OnEntry(Entry(7), true, At(5)));
  EXPECT_TRUE(upstreams.TakeConfirmed(At(6.5)).empty());
  const auto confirmed = upstreams.TakeConfirmed(At(6.7));
  ASSERT_EQ(confirmed.size(), 1U);
  EXPECT_EQ(confirmed.front().started_ms, 7);
  EXPECT_FALSE(upstreams.DiffersFromList());
  EXPECT_TRUE(upstreams.OnEntry(Entry(7), true, At(8)));
}

// Guards against an entry that is used when its time is over although the store
// has dropped it meanwhile, as it does when its process has ended.
TEST(RestoredUpstreamsTest, AHeldEntryThatLeavesTheListIsDropped) {
  RestoredUpstreams upstreams;
  upstreams.OnRemoved(Entry(7), At(0));
  EXPECT_FALSE(upstreams.OnEntry(Entry(7), true, At(1)));
  upstreams.OnEntryMissing(UpstreamId("u"), At(2));
  EXPECT_FALSE(upstreams.DiffersFromList());
  EXPECT_TRUE(upstreams.TakeConfirmed(At(20)).empty());
}

// Guards against an upstream that serves and is not used for seconds, since it
// was removed once, or has the name of one that was.
TEST(RestoredUpstreamsTest, AnEntryWrittenSinceTheRestoreIsUsedAtOnce) {
  RestoredUpstreams upstreams;
  upstreams.OnRemoved(Entry(7), At(0));
  EXPECT_FALSE(upstreams.OnEntry(Entry(7), true, At(1)));
  EXPECT_TRUE(upstreams.OnEntry(Entry(7), false, At(2)));
  EXPECT_FALSE(upstreams.DiffersFromList());
  upstreams.OnRemoved(Entry(7), At(3));
  EXPECT_TRUE(upstreams.OnEntry(Entry(8), true, At(4)));
}

// Guards against memory that grows with each upstream that ever ran.
TEST(RestoredUpstreamsTest, RemovalsAreForgotten) {
  RestoredUpstreamSettings settings;
  settings.max_removed = 2;
  RestoredUpstreams upstreams(settings);
  for (const auto* id : {"a", "b", "c"}) {
    auto record = Entry(7);
    record.id = UpstreamId(id);
    upstreams.OnRemoved(record, At(0));
  }
  auto oldest = Entry(7);
  oldest.id = UpstreamId("a");
  EXPECT_TRUE(upstreams.OnEntry(oldest, true, At(1)));
}

// Guards against all upstreams being removed at once because their entries are
// younger than the backup.
TEST(RestoredUpstreamsTest, KeepsUpstreamsThatTheBackupLacks) {
  RestoredUpstreams upstreams;
  EXPECT_FALSE(upstreams.OnEntryMissing(UpstreamId("a"), At(0)));
  upstreams.OnRestored(At(1));
  EXPECT_TRUE(upstreams.OnEntryMissing(UpstreamId("a"), At(1)));
  EXPECT_TRUE(upstreams.OnEntryMissing(UpstreamId("u"), At(1)));
  EXPECT_TRUE(upstreams.OnEntry(Entry(7), false, At(2)));
  EXPECT_TRUE(upstreams.TakeExpired(At(2.9)).empty());
  EXPECT_EQ(upstreams.TakeExpired(At(3.1)),
            std::set<UpstreamId>{UpstreamId("a")});
  EXPECT_FALSE(upstreams.DiffersFromList());
  EXPECT_FALSE(upstreams.OnEntryMissing(UpstreamId("u"), At(3.2)));
}

// Guards against upstreams that are removed at a second restore, before they
// had the time to write their entries.
TEST(RestoredUpstreamsTest, ASecondRestoreBeginsTheTimeAnew) {
  RestoredUpstreams upstreams;
  upstreams.OnRestored(At(1));
  EXPECT_TRUE(upstreams.OnEntryMissing(UpstreamId("a"), At(1)));
  upstreams.OnRestored(At(2));
  EXPECT_TRUE(upstreams.TakeExpired(At(3.5)).empty());
  EXPECT_EQ(upstreams.TakeExpired(At(4)).size(), 1U);
}

using Retention = RestoreRetention<std::string, int>;

// Guards against zones that take requests again, or shares of limits that grow,
// because a backup lacks what is written again a moment later.
TEST(RestoreRetentionTest, KeepsWhatIsMissingFromTheBackupForAWhile) {
  Retention retention(std::chrono::seconds(3));
  retention.Update({{"a", 1}, {"b", 1}}, At(0));
  retention.OnRestored(At(10));
  EXPECT_EQ(retention.Update({{"a", 2}}, At(10)),
            (Retention::Entries{{"a", 2}, {"b", 1}}));
  EXPECT_TRUE(retention.Retained("b"));
  EXPECT_FALSE(retention.TakeExpired(At(12.9)));
  EXPECT_TRUE(retention.TakeExpired(At(13)));
  EXPECT_EQ(retention.Current(), (Retention::Entries{{"a", 2}}));
  EXPECT_FALSE(retention.TakeExpired(At(14)));
}

// Guards against an entry that stays although it was removed after the restore.
TEST(RestoreRetentionTest, AnEntryListedSinceTheRestoreFollowsTheList) {
  Retention retention(std::chrono::seconds(3));
  retention.Update({{"a", 1}, {"b", 1}}, At(0));
  retention.OnRestored(At(10));
  retention.Update({{"b", 1}}, At(10));
  EXPECT_EQ(retention.Update({{"a", 1}, {"b", 1}}, At(11)),
            (Retention::Entries{{"a", 1}, {"b", 1}}));
  EXPECT_EQ(retention.Update({{"b", 1}}, At(12)),
            (Retention::Entries{{"b", 1}}));
}

// Guards against retention without a restore.
TEST(RestoreRetentionTest, RemovesAtOnceWithoutARestore) {
  Retention retention(std::chrono::seconds(3));
  retention.Update({{"a", 1}}, At(0));
  EXPECT_TRUE(retention.Update({}, At(1)).empty());
}

// Guards against entries that are dropped at a second restore, before whoever
// wrote them had the time to do it again.
TEST(RestoreRetentionTest, ASecondRestoreBeginsTheTimeAnew) {
  Retention retention(std::chrono::seconds(3));
  retention.Update({{"a", 1}}, At(0));
  retention.OnRestored(At(10));
  retention.Update({}, At(10));
  retention.OnRestored(At(10.5));
  EXPECT_EQ(retention.Update({}, At(10.5)), (Retention::Entries{{"a", 1}}));
  EXPECT_TRUE(retention.TakeExpired(At(13.5)));
}

}  // namespace
}  // namespace dotterellug::serving
