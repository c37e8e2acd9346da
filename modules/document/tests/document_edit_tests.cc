#include <gtest/gtest.h>

#include <string>

#include "document/document.h"

namespace dotterellug {
namespace {

auto ZonesDocument(const std::string& zones) -> ServingDocument {
  DocumentTexts texts;
  texts.Set(Section::kZones, zones);
  return ParseDocument(texts).value();
}

auto DiffTexts(const ServingDocument& before, const ServingDocument& after)
    -> std::vector<std::string> {
  std::vector<std::string> texts;
  for (const auto& difference : DiffDocuments(before, after)) {
    texts.push_back(difference.Text());
  }
  return texts;
}

TEST(DocumentDiffTest, NamesAddedRemovedAndChanged) {
  const auto before = ZonesDocument("zones:\n- id: a\n- id: b\n");
  auto after = ZonesDocument("zones:\n- id: b\n  out: true\n- id: c\n");
  after.limits.queue_length_per_class = 7;
  const std::vector<std::string> expected{
      "- zones[a] (id: a)", "~ zones[b].out: default -> true",
      "+ zones[c] (id: c)", "~ queue_length_per_class: default -> 7"};
  EXPECT_EQ(DiffTexts(before, after), expected);
}

// Guards against differences that are only a matter of writing.
TEST(DocumentDiffTest, OrderAndSpelledOutDefaultsAreNoDifference) {
  const auto before = ZonesDocument("zones:\n- id: a\n- id: b\n");
  const auto after =
      ZonesDocument("# comment\nzones: [{id: b, out: false}, {id: 'a'}]\n");
  EXPECT_TRUE(DiffDocuments(before, after).empty());
}

struct EditCase {
  std::string expression;
  std::string expected;
};

// Guards against an edit that changes another entry or key than the named one.
TEST(SectionEditTest, ChangesWhatTheExpressionNames) {
  const std::string text = "zones:\n  - id: a\n    out: true\n  - id: b\n";
  const std::vector<EditCase> cases{
      {"zones[b].out=true",
       "zones:\n  - id: a\n    out: true\n  - id: b\n    out: true\n"},
      {"zones[a].out=", "zones:\n  - id: a\n  - id: b\n"},
      {"zones[a]=", "zones:\n  - id: b\n"},
      {"zones[x]=", text},
      {"zones[c].out=false", text + "  - id: c\n    out: false\n"},
      {"max_body=2MB", text + "max_body: 2MB\n"},
      {"routes[r].idempotent_methods=[GET]",
       text + "routes:\n  - name: r\n    idempotent_methods:\n      - GET\n"}};
  for (const auto& edit : cases) {
    const auto edited = EditSection(text, edit.expression);
    ASSERT_TRUE(edited) << edit.expression << edited.error().Text();
    EXPECT_EQ(*edited, edit.expected) << edit.expression;
  }
}

// Guards against a misspelt expression that is applied in part.
TEST(SectionEditTest, RejectsOtherForms) {
  for (const auto* expression :
       {"", "=", "a", "zones[", "zones[]=1", "zones[a]", "zones[a]=1",
        "zones[a]x=1", "zones[a].=1", "[a].b=1", "zones[a].out=[1"}) {
    EXPECT_FALSE(EditSection("zones:\n- id: a\n", expression)) << expression;
  }
  EXPECT_FALSE(EditSection("zones: [", "a=1"));
}

}  // namespace
}  // namespace dotterellug
