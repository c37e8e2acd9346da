#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <string>
#include <type_traits>
#include <vector>

#include "core/core.h"
#include "core/ids/store_position.h"

namespace dotterellug {
namespace {

static_assert(!std::is_convertible_v<ModelId, ClientAccountId>,
              "ids of different kinds must not convert into each other");
static_assert(!std::is_convertible_v<Tokens, Bytes>,
              "units must not convert into each other");

// Guards against seeds that do not reproduce a run.
TEST(RandomTest, SameSeedGivesSameSequence) {
  Random first(42);
  Random second(42);
  for (int i = 0; i < 1000; ++i) ASSERT_EQ(first.Next(), second.Next());
}

// Guards against an assignment that reshuffles all keys when one member leaves.
TEST(RendezvousTest, RemovingAnotherCandidateKeepsTheChoice) {
  const std::set<std::string> all{"a", "b", "c", "d", "e"};
  const auto choose = [](const std::set<std::string>& candidates,
                         const std::string& key) {
    std::string best;
    std::uint64_t best_weight = 0;
    for (const auto& candidate : candidates) {
      const auto weight = RendezvousWeight(key, candidate);
      if (best.empty() || weight > best_weight) {
        best = candidate;
        best_weight = weight;
      }
    }
    return best;
  };
  for (int i = 0; i < 200; ++i) {
    const auto key = "key" + std::to_string(i);
    const auto before = choose(all, key);
    for (const auto& removed : all) {
      if (removed == before) continue;
      auto rest = all;
      rest.erase(removed);
      ASSERT_EQ(choose(rest, key), before);
    }
  }
}

// Guards against a part of a target that becomes syntax: a list that goes on
// behind another name, or a change of another object.
TEST(RequestTargetTest, EscapesWhatSeparatesParts) {
  RequestTarget target("/objects");
  target.AddSegment("a/b?c").AddSegment("..").AddSegment("a b%41");
  target.AddField("after", "a&b=").AddField("k#", "+\xff");
  EXPECT_EQ(target.Text(),
            "/objects/a%2Fb%3Fc/%2E%2E/a%20b%2541?after=a%26b%3D&"
            "k%23=%2B%FF");
}

RC_GTEST_PROP(PercentEncodingTest, AnyBytesAreReadBack,
              (const std::vector<unsigned char>& bytes)) {
  const std::string text(bytes.begin(), bytes.end());
  const auto encoded = PercentEncode(text);
  RC_ASSERT(encoded.find_first_of("/?#&=+ \r\n") == std::string::npos);
  RC_ASSERT(PercentDecode(encoded) == text);
}

TEST(PercentEncodingTest, IncompleteEscapesAreNotDecoded) {
  for (const auto* text : {"%", "a%4", "%g1", "%%41", "%+1", "%-1"}) {
    EXPECT_FALSE(PercentDecode(text)) << text;
  }
}

// Guards against an error text that leaves out the remedy.
TEST(ErrorTest, TextContainsMessageAndRemedy) {
  const Error error{ErrorKind::kConflict, "revision 7 is not the latest",
                    "fetch revision 8"};
  EXPECT_EQ(error.Text(), "revision 7 is not the latest; fetch revision 8");
  EXPECT_EQ(ErrorKindName(error.kind), "conflict");
}

TEST(TimeTest, FormatsWallTimeAsUtc) {
  EXPECT_EQ(
      FormatWallTime(WallTime(std::chrono::milliseconds(1'700'000'000'123))),
      "2023-11-14T22:13:20.123Z");
}

// Guards against a position after a restore of the store that counts as older,
// because revisions go back, also in messages.
TEST(StorePositionTest, ALaterEpochIsAfterAnyRevisionOfAnEarlierOne) {
  const StorePosition before(StoreEpoch(1), StorePosition::kMaxRevision);
  const StorePosition after(StoreEpoch(2), 0);
  EXPECT_LT(before, after);
  EXPECT_LT(before.Packed(), after.Packed());
  EXPECT_EQ(StorePosition::FromPacked(before.Packed()), before);
  EXPECT_EQ(StorePosition::FromPacked(after.Packed()), after);
  const StorePosition last(StoreEpoch(StorePosition::kMaxEpoch),
                           StorePosition::kMaxRevision);
  EXPECT_EQ(StorePosition::FromPacked(last.Packed()), last);
  // Without epochs, a position is written as before there were any.
  EXPECT_EQ(StorePosition(17).Packed(), 17);
}

}  // namespace
}  // namespace dotterellug
