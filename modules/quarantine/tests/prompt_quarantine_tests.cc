#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "quarantine/quarantine.h"

namespace dotterellug::quarantine {
namespace {

using Parts = std::vector<PromptPartId>;

constexpr auto kSecond = std::chrono::seconds(1);

auto At(double seconds) -> Timestamp {
  return Timestamp(FromSeconds(1000 + seconds));
}

auto MakeParts(const std::vector<std::string>& names) -> Parts {
  Parts parts;
  for (const auto& name : names) parts.emplace_back(name);
  return parts;
}

auto Process(int number) -> UpstreamProcess {
  return {UpstreamId("u" + std::to_string(number)), number};
}

auto IsQuarantined(const PromptQuarantine& quarantine, const std::string& part)
    -> bool {
  return quarantine.FindQuarantined(MakeParts({part})) != nullptr;
}

class PromptQuarantineTest : public ::testing::Test {
 protected:
  // Upstreams end under requests with these parts, half a second apart.
  auto Crash(const std::vector<std::string>& names, int crashes) -> void {
    for (int i = 0; i < crashes; ++i) {
      quarantine_.RecordCrash(MakeParts(names), Process(++processes_), true,
                              At(now_));
      now_ += 0.5;
    }
  }
  auto Update() -> std::vector<QuarantineChange> {
    return quarantine_.Update(At(now_));
  }

  PromptQuarantine quarantine_;
  int processes_ = 0;
  double now_ = 0;
};

TEST_F(PromptQuarantineTest, QuarantinesThePartThatNeverWorked) {
  quarantine_.RecordWorking(MakeParts({"first", "second"}), At(-20));
  Crash({"first", "second", "bad"}, 2);
  EXPECT_TRUE(Update().empty());
  Crash({"first", "second", "bad"}, 1);
  const auto changes = Update();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].evidence.part, PromptPartId("bad"));
  EXPECT_TRUE(IsQuarantined(quarantine_, "bad"));
  EXPECT_FALSE(IsQuarantined(quarantine_, "first"));
  EXPECT_FALSE(IsQuarantined(quarantine_, "second"));
}

// Of parts that always occur together, the one that fewer requests have.
TEST_F(PromptQuarantineTest, BlamesTheDeeperOfTwoPartsThatOccurTogether) {
  Crash({"first", "bad"}, 4);
  Update();
  EXPECT_TRUE(IsQuarantined(quarantine_, "bad"));
  EXPECT_FALSE(IsQuarantined(quarantine_, "first"));
}

TEST_F(PromptQuarantineTest, FindsTwoBadPartsAtATime) {
  for (int i = 0; i < 3; ++i) {
    Crash({"first", "bad"}, 1);
    Crash({"first", "worse"}, 1);
    quarantine_.RecordWorking(MakeParts({"first"}), At(now_));
  }
  Update();
  EXPECT_TRUE(IsQuarantined(quarantine_, "bad"));
  EXPECT_TRUE(IsQuarantined(quarantine_, "worse"));
  EXPECT_FALSE(IsQuarantined(quarantine_, "first"));
}

// Guards against the blame for a bad part falling on a part that is only in
// more of the crashed requests.
TEST_F(PromptQuarantineTest, CrashesOfAQuarantinedPartExplainThoseOfOthers) {
  quarantine_.RecordWorking(MakeParts({"often"}), At(-60));
  Crash({"often", "bad"}, 7);
  Update();
  EXPECT_TRUE(IsQuarantined(quarantine_, "bad"));
  EXPECT_FALSE(IsQuarantined(quarantine_, "often"));
}

// Guards against a part that ends only engines of a new version, or that began
// to end engines after it had worked.
TEST_F(PromptQuarantineTest, APartThatUsedToWorkNeedsMoreCrashes) {
  quarantine_.RecordWorking(MakeParts({"bad"}), At(-10));
  Crash({"bad"}, 5);
  Update();
  EXPECT_FALSE(IsQuarantined(quarantine_, "bad"));
  Crash({"bad"}, 1);
  Update();
  EXPECT_TRUE(IsQuarantined(quarantine_, "bad"));
}

// Guards against blame for requests that were at many upstreams when a zone or
// a network failed.
TEST_F(PromptQuarantineTest, CrashesAtTheSameTimeCountOnce) {
  for (int i = 0; i < 9; ++i) {
    quarantine_.RecordCrash(MakeParts({"rare"}), Process(i), true,
                            At(0.01 * i));
  }
  now_ = 5;
  Update();
  EXPECT_FALSE(IsQuarantined(quarantine_, "rare"));
}

// Guards against blame for answers that are lost while their engine lives.
TEST_F(PromptQuarantineTest, AProcessThatAnswersLaterDidNotCrash) {
  Crash({"rare"}, 4);
  Update();
  EXPECT_TRUE(IsQuarantined(quarantine_, "rare"));
  now_ += 1;
  for (int i = 1; i <= 4; ++i) {
    quarantine_.RecordAnswer(Process(i), At(-1), At(now_));
  }
  Update();
  EXPECT_FALSE(IsQuarantined(quarantine_, "rare"));
}

// Guards against crashes that are refuted by the next process of the upstream,
// whose start is not known yet.
TEST_F(PromptQuarantineTest, AnAnswerToALaterRequestRefutesNoCrash) {
  Crash({"bad"}, 4);
  Update();
  now_ += 1;
  for (int i = 1; i <= 4; ++i) {
    quarantine_.RecordAnswer(Process(i), At(now_ - 0.2), At(now_));
  }
  Update();
  EXPECT_TRUE(IsQuarantined(quarantine_, "bad"));
}

TEST_F(PromptQuarantineTest, APartThatWorksElsewhereIsNotBlamed) {
  for (int i = 0; i < 10; ++i) {
    Crash({"busy"}, 1);
    quarantine_.RecordWorking(MakeParts({"busy"}), At(now_));
    Update();
    EXPECT_FALSE(IsQuarantined(quarantine_, "busy"));
  }
}

// Guards against a decision that is taken back when the list of crashes is full
// because many upstreams end at a time.
TEST_F(PromptQuarantineTest, ManyCrashesAtATimeDoNotEndTheQuarantine) {
  Crash({"bad"}, 3);
  Update();
  ASSERT_TRUE(IsQuarantined(quarantine_, "bad"));
  for (int i = 0; i < 50; ++i) {
    quarantine_.RecordCrash(MakeParts({"bad"}), Process(100 + i), true,
                            At(now_ + 0.001 * i));
  }
  now_ += 1;
  Update();
  EXPECT_TRUE(IsQuarantined(quarantine_, "bad"));
}

TEST_F(PromptQuarantineTest, ATrialThatWorksReleasesThePart) {
  Crash({"bad"}, 3);
  Update();
  EXPECT_FALSE(quarantine_.TrialDue(PromptPartId("bad"), At(now_)));
  EXPECT_GT(quarantine_.TimeUntilReview(PromptPartId("bad"), At(now_)),
            50 * kSecond);
  now_ += 61;
  ASSERT_TRUE(quarantine_.TrialDue(PromptPartId("bad"), At(now_)));
  quarantine_.CountTrial(PromptPartId("bad"), At(now_));
  EXPECT_FALSE(quarantine_.TrialDue(PromptPartId("bad"), At(now_)));
  quarantine_.RecordWorking(MakeParts({"bad"}), At(now_));
  const auto changes = Update();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_FALSE(changes[0].quarantined);
  EXPECT_FALSE(IsQuarantined(quarantine_, "bad"));
}

// Guards against trials without end, each of which ends an engine.
TEST_F(PromptQuarantineTest, TrialsThatCrashAreFew) {
  Crash({"bad"}, 3);
  Update();
  int trials = 0;
  for (int i = 0; i < 5000; ++i) {
    now_ += 1;
    quarantine_.RecordRejection(PromptPartId("bad"), At(now_));
    if (quarantine_.TrialDue(PromptPartId("bad"), At(now_))) {
      quarantine_.CountTrial(PromptPartId("bad"), At(now_));
      Crash({"bad"}, 1);
      ++trials;
    }
    Update();
  }
  EXPECT_LE(trials, 2);
  EXPECT_TRUE(IsQuarantined(quarantine_, "bad"));
}

TEST_F(PromptQuarantineTest, APartThatNobodyAsksForIsReleased) {
  Crash({"bad"}, 3);
  Update();
  now_ += 599;
  quarantine_.RecordRejection(PromptPartId("bad"), At(now_));
  Update();
  EXPECT_TRUE(IsQuarantined(quarantine_, "bad"));
  now_ += 601;
  EXPECT_EQ(Update().size(), 1U);
  EXPECT_TRUE(quarantine_.Empty());
}

TEST_F(PromptQuarantineTest, AnOperatorReleasesAPart) {
  Crash({"bad"}, 3);
  Update();
  quarantine_.Release(PromptPartId("bad"), At(now_));
  Update();
  EXPECT_FALSE(IsQuarantined(quarantine_, "bad"));
}

// Guards against blame that passes to another part of the same prompts when the
// part that was to blame is released.
TEST_F(PromptQuarantineTest, AReleaseDismissesTheCrashesForOtherParts) {
  for (const bool by_operator : {true, false}) {
    Crash({"first", "bad"}, 3);
    Update();
    ASSERT_TRUE(IsQuarantined(quarantine_, "bad"));
    if (by_operator) {
      quarantine_.Release(PromptPartId("bad"), At(now_));
    } else {
      now_ += 61;
      quarantine_.CountTrial(PromptPartId("bad"), At(now_));
      quarantine_.RecordWorking(MakeParts({"bad"}), At(now_));
    }
    EXPECT_EQ(Update().size(), 1U);
    EXPECT_TRUE(quarantine_.Quarantined().empty());
    quarantine_ = PromptQuarantine();
  }
}

TEST_F(PromptQuarantineTest, ASecondCrashElsewhereIsSuspicious) {
  const auto parts = MakeParts({"first", "bad"});
  quarantine_.RecordWorking(MakeParts({"first"}), At(0));
  quarantine_.RecordCrash(parts, Process(1), true, At(0));
  EXPECT_FALSE(quarantine_.SuspectedElsewhere(parts, Process(1)));
  EXPECT_TRUE(quarantine_.SuspectedElsewhere(parts, Process(2)));
  EXPECT_FALSE(
      quarantine_.SuspectedElsewhere(MakeParts({"first"}), Process(2)));
}

// Guards against daemons of which each sees only some of the crashes.
TEST(PromptQuarantineExchangeTest, CopiesDecideFromTheCrashesOfAll) {
  std::vector<PromptQuarantine> copies(4);
  for (int i = 0; i < 3; ++i) {
    copies[static_cast<std::size_t>(i)].RecordCrash(MakeParts({"first", "bad"}),
                                                    Process(i), true, At(i));
  }
  copies[3].RecordWorking(MakeParts({"first"}), At(2.5));
  for (int round = 0; round < 2; ++round) {
    for (const auto& from : copies) {
      for (auto& to : copies) to.Merge(from.Share(At(3)), At(3));
    }
  }
  for (auto& copy : copies) {
    copy.Update(At(3));
    EXPECT_TRUE(IsQuarantined(copy, "bad"));
    EXPECT_FALSE(IsQuarantined(copy, "first"));
  }
}

// Guards against messages that go on after there is nothing new in them.
TEST(PromptQuarantineExchangeTest, NothingIsSharedWithoutNews) {
  PromptQuarantine quarantine;
  quarantine.RecordWorking(MakeParts({"a", "b"}), At(0));
  EXPECT_TRUE(quarantine.Share(At(0)).empty());
  quarantine.RecordCrash(MakeParts({"rare"}), Process(1), true, At(1));
  EXPECT_EQ(quarantine.Share(At(1)).size(), 1U);
  const auto message = quarantine.Share(At(1));
  quarantine.Merge(message, At(5));
  EXPECT_TRUE(quarantine.Share(At(5)).empty());
}

// Guards against a released part that another daemon's old message brings back.
TEST(PromptQuarantineExchangeTest, ExpiredEvidenceIsNotTakenBack) {
  PromptQuarantine quarantine;
  for (int i = 0; i < 3; ++i) {
    quarantine.RecordCrash(MakeParts({"bad"}), Process(i), true, At(i));
  }
  quarantine.Update(At(4));
  const auto message = quarantine.Share(At(700));
  PromptQuarantine other;
  other.Merge(message, At(700));
  EXPECT_TRUE(other.Empty());
}

// Whatever callers name, memory and messages are bounded and a quarantined part
// stays quarantined.
RC_GTEST_PROP(PromptQuarantineProperty, IsBoundedUnderManyParts, ()) {
  PromptQuarantine quarantine;
  for (int i = 0; i < 3; ++i) {
    quarantine.RecordCrash(MakeParts({"bad"}), Process(i), true, At(i));
  }
  quarantine.Update(At(4));
  const auto crashes = *rc::gen::inRange(1, 40);
  int name = 0;
  for (int i = 0; i < crashes; ++i) {
    Parts parts;
    const auto count = *rc::gen::inRange(1, 64);
    for (int j = 0; j < count; ++j) {
      parts.emplace_back("p" + std::to_string(++name));
    }
    quarantine.RecordCrash(parts, Process(100 + i), false, At(5 + 0.3 * i));
    quarantine.Update(At(5 + 0.3 * i));
  }
  RC_ASSERT(quarantine.PartCount() <= QuarantineOptions{}.max_parts);
  RC_ASSERT(quarantine.Share(At(5)).size() <=
            QuarantineOptions{}.max_shared_parts);
  RC_ASSERT(IsQuarantined(quarantine, "bad"));
}

// Copies that have exchanged everything decide the same, whatever each saw. All
// of it happens within the time in which changes are shared.
RC_GTEST_PROP(PromptQuarantineProperty, CopiesAgreeAfterAnExchange, ()) {
  const int copies_count = 3;
  std::vector<PromptQuarantine> copies(copies_count);
  const auto crashes = *rc::gen::inRange(1, 12);
  for (int i = 0; i < crashes; ++i) {
    Parts parts;
    for (int j = 0; j < 3; ++j) {
      parts.emplace_back("p" + std::to_string(*rc::gen::inRange(0, 6)));
    }
    const auto copy = *rc::gen::inRange(0, copies_count);
    copies[static_cast<std::size_t>(copy)].RecordCrash(parts, Process(i), true,
                                                       At(0.25 * i));
    if (*rc::gen::inRange(0, 4) == 0) {
      copies[static_cast<std::size_t>(copy)].RecordWorking(
          MakeParts({"p" + std::to_string(*rc::gen::inRange(0, 6))}),
          At(0.25 * i));
    }
  }
  for (int round = 0; round < 3; ++round) {
    for (const auto& from : copies) {
      for (auto& to : copies) to.Merge(from.Share(At(2.9)), At(2.9));
    }
  }
  std::vector<std::vector<std::string>> decisions;
  for (auto& copy : copies) {
    copy.Update(At(4));
    std::vector<std::string> names;
    for (const auto& evidence : copy.Quarantined()) {
      names.push_back(evidence.part.Value());
    }
    decisions.push_back(names);
  }
  RC_ASSERT(decisions[0] == decisions[1]);
  RC_ASSERT(decisions[0] == decisions[2]);
}

}  // namespace
}  // namespace dotterellug::quarantine
