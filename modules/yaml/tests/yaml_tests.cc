#include <gtest/gtest.h>

#include <string>

#include "yaml/tests/yaml_fuzz.h"
#include "yaml/yaml.h"

namespace dotterellug {
namespace {

// Guards against amounts that change when they are written and read again.
TEST(QuantitiesTest, FormattedAmountsReadAsTheSame) {
  Random random(1);
  for (int i = 0; i < 2000; ++i) {
    const auto amount =
        static_cast<std::int64_t>(random.Next() >> (2 + random.Below(60)));
    EXPECT_EQ(ParseBytes(FormatBytes(Bytes(amount))).value(), Bytes(amount));
    EXPECT_EQ(ParseDuration(FormatDuration(Duration(amount))).value(),
              Duration(amount));
  }
}

TEST(QuantitiesTest, RejectsOtherForms) {
  for (const auto* text : {"", "-1", "1.5GiB", "GiB", "1 GiB", "1gib", "0x1",
                           "9999999TiB", "99999999999999999999"}) {
    EXPECT_FALSE(ParseBytes(text)) << text;
  }
  for (const auto* text : {"", "1", "-1s", "1.5s", "s", "99999999999999h"}) {
    EXPECT_FALSE(ParseDuration(text)) << text;
  }
}

// Guards against a list of faults that grows with hostile input.
TEST(FaultListTest, ListsTheFirstAndCountsTheRest) {
  FaultList faults;
  for (std::size_t i = 0; i < FaultList::kMaxListed + 5; ++i) {
    faults.Add(Fault{"file", 1, "", std::string(10'000, 'x'), "wrong", ""});
  }
  EXPECT_EQ(faults.Listed().size(), FaultList::kMaxListed);
  EXPECT_LT(faults.Listed().front().value.size(), 100U);
  EXPECT_NE(faults.Text().find("5 further faults"), std::string::npos);
  FaultList sum;
  sum.Append(faults);
  EXPECT_EQ(sum.Total(), FaultList::kMaxListed + 5);
}

// Guards against values that break the form of a message or a log line.
TEST(FaultListTest, ValuesHaveNoControlCharacters) {
  EXPECT_EQ(Shorten("a\nb\x1b[31m"), "a?b?[31m");
}

// Guards against crashes and against bounds that do not hold: a text that is
// read must stay within the limits, and reading what was written must succeed.
TEST(YamlFuzzTest, MutatedTextsAreReadWithinTheLimitsOrRejected) {
  const std::string text =
      "a: [1, two, {three: 4}]\nb:\n  - c: \"x\"\n    d: 'y'\n  - e: |\n"
      "      long\n      text\nf: {g: ~, h: [[], {}]}\n";
  const YamlLimits limits{4096, 5, 60, 100};
  YamlMutator mutator(2024);
  int accepted = 0;
  for (int i = 0; i < 20'000; ++i) {
    const auto mutated = mutator.Mutate(text);
    const auto node = ReadYaml(mutated, "text", limits);
    if (!node) {
      ASSERT_FALSE(node.error().Empty());
      ASSERT_FALSE(node.error().Listed().front().message.empty());
      continue;
    }
    ++accepted;
    ASSERT_LE(mutated.size(), limits.max_bytes);
  }
  // A mutator that only makes rubbish would test the first lines only.
  EXPECT_GT(accepted, 1000);
}

}  // namespace
}  // namespace dotterellug
