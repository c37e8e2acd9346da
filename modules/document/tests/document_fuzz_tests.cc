#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <string>

#include "document/document.h"
#include "yaml/tests/yaml_fuzz.h"

namespace dotterellug {
namespace {

// The examples are the corpus.
auto ExampleTexts(const std::string& name) -> DocumentTexts {
  DocumentTexts texts;
  for (const auto section : kAllSections) {
    std::ifstream file(std::string(DOTTERELLUG_SOURCE_DIR) + "/examples/" +
                       name + "/" + std::string(NameOf(section)) + ".yaml");
    texts.Set(section, {std::istreambuf_iterator<char>(file),
                        std::istreambuf_iterator<char>()});
  }
  return texts;
}

// Every fault must say what is wrong and what to do.
auto ExpectTypedFaults(const FaultList& faults) -> void {
  ASSERT_FALSE(faults.Empty());
  for (const auto& fault : faults.Listed()) {
    ASSERT_TRUE(FindSection(fault.source)) << fault.Text();
    ASSERT_FALSE(fault.message.empty());
    ASSERT_FALSE(fault.remedy.empty()) << fault.Text();
    ASSERT_EQ(fault.Text().find('\n'), std::string::npos);
  }
}

// Guards against crashes, faults without remedy, and accepted documents that
// cannot be written and read again without loss.
TEST(DocumentFuzzTest, MutatedSectionsAreReadWithoutLossOrRejected) {
  for (const auto* name : {"chujio-hub", "kestrelfield"}) {
    const auto texts = ExampleTexts(name);
    YamlMutator mutator(7);
    for (int round = 0; round < 400; ++round) {
      const auto section =
          kAllSections[static_cast<std::size_t>(round) % kAllSections.size()];
      auto mutated = texts;
      mutated.Set(section, mutator.Mutate(texts.Get(section)));
      const auto document = ParseDocument(mutated);
      if (!document) {
        ExpectTypedFaults(document.error());
        continue;
      }
      const auto formatted = FormatDocument(*document);
      const auto again = ParseDocument(formatted);
      ASSERT_TRUE(again) << again.error().Text();
      ASSERT_EQ(FormatDocument(*again), formatted);
    }
  }
}

// Guards against a document that depends on which revision a daemon had before.
TEST(DocumentFuzzTest, ParsingChangesGivesTheSameAsParsingAll) {
  const auto texts = ExampleTexts("kestrelfield");
  const ParsedDocument previous{texts, ParseDocument(texts).value()};
  YamlMutator mutator(19);
  int accepted = 0;
  for (std::size_t round = 0; round < 200; ++round) {
    auto mutated = texts;
    for (std::size_t i = 0; i < 1 + round % 2; ++i) {
      const auto section = kAllSections[(round + i) % kAllSections.size()];
      mutated.Set(section, mutator.Mutate(texts.Get(section)));
    }
    const auto all = ParseDocument(mutated);
    const auto changes = ParseChanges(previous, mutated);
    ASSERT_EQ(all.has_value(), changes.has_value());
    if (!all) {
      ASSERT_EQ(changes.error().Text(), all.error().Text());
      continue;
    }
    ++accepted;
    ASSERT_EQ(FormatDocument(*changes), FormatDocument(*all));
  }
  EXPECT_GT(accepted, 5);
}

// Guards against truncated sections that parse as a shorter valid document
// with unresolved references.
TEST(DocumentFuzzTest, TruncatedSectionsAreTyped) {
  const auto texts = ExampleTexts("chujio-hub");
  for (const auto section : kAllSections) {
    const auto& text = texts.Get(section);
    for (std::size_t length = 0; length < text.size(); length += 97) {
      auto truncated = texts;
      truncated.Set(section, text.substr(0, length));
      const auto document = ParseDocument(truncated);
      if (!document) ExpectTypedFaults(document.error());
    }
  }
}

// Guards against key texts that crash the parser or are accepted by chance.
TEST(DocumentFuzzTest, MutatedKeysAreRefused) {
  const auto digest_key = DigestKey::FromHex(std::string(64, '1')).value();
  const auto issued = IssueKey(ClientAccountId("a"), KeyMaterial{}, digest_key);
  ServingDocument document;
  document.keys.emplace(issued.entry.id, issued.entry);
  const KeyTable table(document, digest_key);
  YamlMutator mutator(11);
  for (int i = 0; i < 5000; ++i) {
    const auto text = mutator.Mutate(issued.text);
    if (text == issued.text) continue;
    ASSERT_FALSE(table.Lookup(text)) << text;
  }
}

// Guards against edit expressions that crash or give a text that cannot be
// read.
TEST(DocumentFuzzTest, MutatedEditsGiveReadableTextsOrErrors) {
  const auto text = ExampleTexts("chujio-hub").Get(Section::kZones);
  YamlMutator mutator(13);
  for (int i = 0; i < 5000; ++i) {
    const auto edited =
        EditSection(text, mutator.Mutate("zones[kilimani-a].out=true"));
    if (!edited) {
      ASSERT_FALSE(edited.error().remedy.empty());
      continue;
    }
    ASSERT_TRUE(ReadYaml(*edited, "zones", kSectionLimits)) << Shorten(*edited);
  }
}

}  // namespace
}  // namespace dotterellug
