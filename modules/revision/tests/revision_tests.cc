#include <gtest/gtest.h>

#include "revision/revision.h"

namespace dotterellug {
namespace {

const SectionName kModels{"models"};
const SectionName kLimits{"limits"};

auto Accept(const SectionTexts&) -> Result<void> { return {}; }

class RevisionTest : public testing::Test {
 protected:
  auto Connect() -> ObjectStore {
    return ObjectStore(MemoryObjectStore(backend_));
  }
  auto MakeEdit(const std::string& id, const RevisionRef& base,
                const SectionName& section, const std::string& text) -> Edit {
    return Edit{EditId(id), base, "ann", "test", WallTime{}, {{section, text}}};
  }
  auto Commit(const Edit& edit) -> Committed {
    auto outcome = repository_.Commit(edit, Accept);
    if (!outcome || !std::holds_alternative<Committed>(*outcome)) {
      ADD_FAILURE() << "edit " << edit.id << " was not committed";
      return Committed{};
    }
    return std::get<Committed>(*outcome);
  }
  auto Texts() -> SectionTexts {
    return repository_.Load(*repository_.ReadHead())->texts;
  }
  auto AddFault(FaultKind fault, OperationKind operation,
                const std::string& prefix) -> void {
    FaultRule rule;
    rule.fault = fault;
    rule.operation = operation;
    rule.prefix = prefix;
    backend_->AddFault(rule);
  }

  std::shared_ptr<MemoryObjectBackend> backend_ =
      std::make_shared<MemoryObjectBackend>();
  RevisionRepository repository_{Connect()};
};

// Guards against an edit of one section that undoes an edit of another.
TEST_F(RevisionTest, RacingEditsOfDifferentSectionsBothSurvive) {
  const auto base = Commit(MakeEdit("e1", {}, kModels, "m1")).revision;
  Commit(MakeEdit("e2", base, kModels, "m2"));
  Commit(MakeEdit("e3", base, kLimits, "l1"));
  EXPECT_EQ(Texts(), (SectionTexts{{kModels, "m2"}, {kLimits, "l1"}}));
}

// Guards against a silently lost edit of the same section.
TEST_F(RevisionTest, RacingEditsOfOneSectionConflictWithThreeTexts) {
  const auto base = Commit(MakeEdit("e1", {}, kModels, "base")).revision;
  const auto theirs = Commit(MakeEdit("e2", base, kModels, "theirs")).revision;
  const auto outcome =
      repository_.Commit(MakeEdit("e3", base, kModels, "ours"), Accept);
  ASSERT_TRUE(outcome.has_value());
  const auto& conflict = std::get<EditConflict>(*outcome);
  EXPECT_EQ(conflict.latest, theirs);
  ASSERT_EQ(conflict.sections.size(), 1U);
  EXPECT_EQ(conflict.sections[0].base, "base");
  EXPECT_EQ(conflict.sections[0].theirs, "theirs");
  EXPECT_EQ(conflict.sections[0].ours, "ours");
  EXPECT_EQ(Texts().at(kModels), "theirs");
}

// Guards against two edits that are valid alone and invalid together.
TEST_F(RevisionTest, MergedDocumentIsValidatedAgain) {
  const auto at_most_one = [](const SectionTexts& texts) -> Result<void> {
    if (texts.size() <= 1) return {};
    return Fail(ErrorKind::kInvalidArgument, "two sections", "remove one");
  };
  Commit(MakeEdit("e1", {}, kModels, "m"));
  const auto outcome =
      repository_.Commit(MakeEdit("e2", {}, kLimits, "l"), at_most_one);
  ASSERT_FALSE(outcome.has_value());
  EXPECT_EQ(outcome.error().message, "two sections");
  EXPECT_EQ(Texts().size(), 1U);
}

// Guards against an edit that is committed twice because its response was lost
// and another edit followed.
TEST_F(RevisionTest, RepeatedEditIsRecognisedBelowLaterEdits) {
  const auto edit = MakeEdit("e1", {}, kModels, "m1");
  AddFault(FaultKind::kLostAfter, OperationKind::kPut, kHeadObject);
  const auto first = Commit(edit);
  EXPECT_TRUE(first.recognised);
  Commit(MakeEdit("e2", first.revision, kModels, "m2"));
  RevisionRepository restarted(Connect());
  const auto again = restarted.Commit(edit, Accept);
  ASSERT_TRUE(again.has_value());
  EXPECT_EQ(std::get<Committed>(*again).revision, first.revision);
  EXPECT_EQ(Texts().at(kModels), "m2");
}

// Guards against an unknown outcome that is reported as not committed.
TEST_F(RevisionTest, OutageAfterLostResponseIsUnknown) {
  AddFault(FaultKind::kLostAfter, OperationKind::kPut, kHeadObject);
  FaultRule outage;
  outage.fault = FaultKind::kOutage;
  outage.operation = OperationKind::kGet;
  outage.skip = 1;
  outage.count = -1;
  backend_->AddFault(outage);
  const auto edit = MakeEdit("e1", {}, kModels, "m1");
  const auto outcome = repository_.Commit(edit, Accept);
  ASSERT_FALSE(outcome.has_value());
  EXPECT_EQ(outcome.error().kind, ErrorKind::kOutcomeUnknown);
  backend_->ClearFaults();
  EXPECT_TRUE(Commit(edit).recognised);
}

// Guards against a conflict that a stale read after a lost response reports for
// an edit that was committed.
TEST_F(RevisionTest, StaleReadAfterLostResponseGivesNoConflict) {
  const auto base = Commit(MakeEdit("e1", {}, kModels, "a")).revision;
  const auto second = Commit(MakeEdit("e2", base, kModels, "b")).revision;
  Commit(MakeEdit("e3", second, kModels, "a"));
  AddFault(FaultKind::kLostAfter, OperationKind::kPut, kHeadObject);
  FaultRule stale;
  stale.fault = FaultKind::kStale;
  stale.operation = OperationKind::kGet;
  stale.prefix = kHeadObject;
  stale.skip = 1;
  // Three objects written by the edit and one by e3: the head of e2.
  stale.lag = 4;
  backend_->AddFault(stale);
  EXPECT_TRUE(Commit(MakeEdit("e4", base, kModels, "c")).recognised);
}

// Guards against a section that the object API rejects as too large, and
// against a chunk that begins inside a character.
TEST_F(RevisionTest, LargeSectionIsChunkedBetweenCharacters) {
  std::string text = "x";
  while (text.size() < 2'500'000) text += "\xe2\x82\xac";
  Commit(MakeEdit("e1", {}, kModels, text));
  EXPECT_EQ(Texts().at(kModels), text);
  EXPECT_GE(backend_->Counts().Of(OperationKind::kPut), 5);
  EXPECT_EQ(SplitText("a\xe2\x82\xac", Bytes(4)).size(), 1U);
  EXPECT_EQ(SplitText("ab\xe2\x82\xac", Bytes(4)).at(0), "ab");
  EXPECT_TRUE(SplitText("").empty());
}

// Guards against a rollback that rewrites history or touches other sections,
// and against one whose repetition undoes a later edit.
TEST_F(RevisionTest, RollbackIsANewRevision) {
  const auto first = Commit(MakeEdit("e1", {}, kModels, "m1")).revision;
  const auto second = Commit(MakeEdit("e2", first, kLimits, "l1")).revision;
  const auto third = Commit(MakeEdit("e3", second, kModels, "m2")).revision;
  const auto edit = repository_.PrepareRollback(
      {EditId("r1"), "bob", "m2 is slow", WallTime{}, second.number, {}});
  ASSERT_TRUE(edit.has_value());
  EXPECT_EQ(edit->sections.size(), 1U);
  const auto rolled_back = Commit(*edit).revision;
  EXPECT_EQ(Texts(), (SectionTexts{{kModels, "m1"}, {kLimits, "l1"}}));
  Commit(MakeEdit("e4", rolled_back, kModels, "m3"));
  EXPECT_TRUE(Commit(*edit).recognised);
  EXPECT_EQ(Texts().at(kModels), "m3");
  const auto history = repository_.History(10);
  ASSERT_TRUE(history.has_value());
  ASSERT_EQ(history->size(), 5U);
  EXPECT_EQ((*history)[1].author, "bob");
  EXPECT_EQ((*history)[1].sections.at(kModels).chunks,
            (*history)[4].sections.at(kModels).chunks);
  EXPECT_EQ(repository_.History(2)->size(), 2U);
  EXPECT_EQ(third.number, RevisionNumber(3));
}

// Guards against a command that ends without a message, since its author typed
// a reason in another encoding.
TEST_F(RevisionTest, TextsOfAnEditAreUtf8) {
  for (const auto member : {&Edit::author, &Edit::reason}) {
    auto edit = MakeEdit("e1", {}, kModels, "m1");
    edit.*member = "caf\xe9";
    const auto outcome = repository_.Commit(edit, Accept);
    ASSERT_FALSE(outcome.has_value());
    EXPECT_EQ(outcome.error().kind, ErrorKind::kInvalidArgument);
    edit.*member = "caf\xc3\xa9 \"\n%#";
    EXPECT_TRUE(repository_.Commit(edit, Accept).has_value());
  }
  const auto named = MakeEdit("e\xff", {}, kModels, "m1");
  EXPECT_EQ(repository_.Commit(named, Accept).error().kind,
            ErrorKind::kInvalidArgument);
}

// Guards against content from a peer that is not what its name stands for.
TEST_F(RevisionTest, ContentFromPeersIsVerified) {
  const auto ref = Commit(MakeEdit("e1", {}, kModels, "m1")).revision;
  auto store = Connect();
  ImmutableObjects objects;
  EXPECT_FALSE(objects.Insert(ref.object, "forged").has_value());
  ASSERT_EQ(*objects.Missing(ref), std::vector<std::string>{ref.object});
  ASSERT_TRUE(objects.Insert(ref.object, store.Get(ref.object)->value));
  const auto missing = *objects.Missing(ref);
  ASSERT_EQ(missing.size(), 1U);
  EXPECT_EQ(objects.Assemble(ref).error().kind, ErrorKind::kNotFound);
  EXPECT_FALSE(objects.Insert(missing[0], "m2").has_value());
  ASSERT_TRUE(objects.Insert(missing[0], "m1"));
  EXPECT_EQ(objects.Assemble(ref)->at(kModels), "m1");
}

// Guards against a watch that stops after compaction or shows nothing new.
TEST_F(RevisionTest, HeadWatchSurvivesCompaction) {
  HeadWatch watch(Connect());
  EXPECT_FALSE(watch.Next(Duration{0})->has_value());
  const auto first = Commit(MakeEdit("e1", {}, kModels, "m1")).revision;
  EXPECT_EQ(**watch.Next(Duration{0}), first);
  EXPECT_FALSE(watch.Next(Duration{0})->has_value());
  const auto second = Commit(MakeEdit("e2", first, kModels, "m2")).revision;
  backend_->Compact();
  EXPECT_EQ(**watch.Next(Duration{0}), second);
}

// Guards against a daemon that goes back to a lower revision.
TEST(RevisionFollowerTest, NeverGoesBack) {
  RevisionFollower follower({});
  const RevisionRef five{RevisionNumber(5), "five"};
  const RevisionRef four{RevisionNumber(4), "four"};
  EXPECT_EQ(follower.OnStoreAnswer(five), OfferResult::kFetch);
  EXPECT_TRUE(follower.Adopt(five));
  EXPECT_EQ(follower.OnStoreAnswer(four), OfferResult::kIgnored);
  EXPECT_FALSE(follower.Adopt(four));
  EXPECT_EQ(follower.Current(), five);
  EXPECT_EQ(follower.IgnoredCount(), 2);
}

// Guards against a restarted daemon that serves a stale read of the store while
// its peers know a higher revision.
TEST(RevisionFollowerTest, StartsWithTheHighestOfStoreAndPeers) {
  const InstanceId a("a");
  const InstanceId b("b");
  RevisionFollower follower({a, b});
  const RevisionRef four{RevisionNumber(4), "four"};
  const RevisionRef five{RevisionNumber(5), "five"};
  follower.OnStoreAnswer(four);
  EXPECT_TRUE(follower.Adopt(four));
  EXPECT_FALSE(follower.IsReady());
  EXPECT_EQ(follower.OnPeerAnswer(a, five), OfferResult::kFetch);
  follower.OnPeerFailure(b);
  EXPECT_FALSE(follower.IsReady());
  EXPECT_EQ(follower.Target(), five);
  EXPECT_TRUE(follower.Adopt(five));
  EXPECT_TRUE(follower.IsReady());
  follower.OnPeerAnswer(a, {RevisionNumber(6), "six"});
  EXPECT_TRUE(follower.IsReady());
}

// Guards against a start without any answer, and against one that a store
// outage prevents although a peer knows the revision.
TEST(RevisionFollowerTest, StoreOutageAtStart) {
  const InstanceId a("a");
  RevisionFollower alone({a});
  alone.OnStoreFailure();
  alone.OnPeerAnswer(a, {});
  EXPECT_FALSE(alone.IsReady());
  RevisionFollower follower({a});
  follower.OnStoreFailure();
  const RevisionRef five{RevisionNumber(5), "five"};
  EXPECT_EQ(follower.OnPeerAnswer(a, five), OfferResult::kFetch);
  EXPECT_TRUE(follower.Adopt(five));
  EXPECT_TRUE(follower.IsReady());
}

}  // namespace
}  // namespace dotterellug
