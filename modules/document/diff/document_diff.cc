#include "document/diff/document_diff.h"

#include <map>
#include <utility>

#include "document/format/document_formatter.h"
#include "document/sections/document_parser.h"
#include "yaml/tree/tree_builder.h"

namespace dotterellug {

namespace {

// Values of one entry, by key.
using Fields = std::map<std::string, std::string>;

// Entries by path such as "accounts[shop]"; limits are one entry with an empty
// path.
using Entries = std::map<std::string, Fields>;

auto ValueText(const YamlNode& node) -> std::string {
  if (node.kind != YamlKind::kList) return node.text;
  std::string text = "[";
  for (const auto& item : node.items) {
    if (text.size() > 1) text += ", ";
    text += item.text;
  }
  return text + "]";
}

auto EntryName(const YamlNode& entry) -> std::string {
  for (const auto* key : {"id", "name"}) {
    const auto* node = entry.Find(key);
    if (node != nullptr) return node->text;
  }
  return "";
}

// Entries of the canonical text of a section, which contains only lists of maps
// or, for limits, plain values.
auto ReadEntries(const ServingDocument& document, Section section) -> Entries {
  Entries entries;
  const auto root = ReadYaml(FormatSection(document, section),
                             std::string(NameOf(section)), kSectionLimits);
  if (!root) return entries;
  for (const auto& [list, line, value] : root->entries) {
    if (value.kind != YamlKind::kList) {
      entries[""][list] = ValueText(value);
      continue;
    }
    for (const auto& item : value.items) {
      auto& fields = entries[list + "[" + EntryName(item) + "]"];
      for (const auto& field : item.entries) {
        fields[field.key] = ValueText(field.value);
      }
    }
  }
  return entries;
}

auto Summary(const Fields& fields) -> std::string {
  std::string text;
  for (const auto& [key, value] : fields) {
    if (!text.empty()) text += ", ";
    text += key;
    text += ": ";
    text += value;
  }
  return text;
}

class SectionDiff {
 public:
  SectionDiff(Section section, std::vector<Difference>& differences)
      : section_(section), differences_(differences) {}

  auto Compare(const Entries& before, const Entries& after) -> void {
    for (const auto& [path, fields] : before) {
      const auto found = after.find(path);
      if (found != after.end()) {
        CompareFields(path, fields, found->second);
      } else if (path.empty()) {
        CompareFields(path, fields, Fields{});
      } else {
        Add(DifferenceKind::kRemoved, path, Summary(fields), "");
      }
    }
    for (const auto& [path, fields] : after) {
      if (before.count(path) > 0) continue;
      if (path.empty()) {
        CompareFields(path, Fields{}, fields);
      } else {
        Add(DifferenceKind::kAdded, path, "", Summary(fields));
      }
    }
  }

 private:
  auto CompareFields(const std::string& path, const Fields& before,
                     const Fields& after) -> void {
    auto all = before;
    all.insert(after.begin(), after.end());
    for (const auto& [key, value] : all) {
      const auto old_value = ValueOrDefault(before, key);
      const auto new_value = ValueOrDefault(after, key);
      if (old_value == new_value) continue;
      Add(DifferenceKind::kChanged, path.empty() ? key : path + "." + key,
          old_value, new_value);
    }
  }

  static auto ValueOrDefault(const Fields& fields, const std::string& key)
      -> std::string {
    const auto found = fields.find(key);
    return found == fields.end() ? "default" : found->second;
  }

  auto Add(DifferenceKind kind, std::string path, std::string before,
           std::string after) -> void {
    differences_.push_back(Difference{kind, section_, std::move(path),
                                      std::move(before), std::move(after)});
  }

  Section section_;
  std::vector<Difference>& differences_;
};

}  // namespace

auto DifferenceKindName(DifferenceKind kind) -> std::string_view {
  switch (kind) {
    case DifferenceKind::kAdded:
      return "added";
    case DifferenceKind::kRemoved:
      return "removed";
    case DifferenceKind::kChanged:
      return "changed";
  }
  return "changed";
}

auto Difference::Text() const -> std::string {
  switch (kind) {
    case DifferenceKind::kAdded:
      return "+ " + path + " (" + after + ")";
    case DifferenceKind::kRemoved:
      return "- " + path + " (" + before + ")";
    case DifferenceKind::kChanged:
      return "~ " + path + ": " + before + " -> " + after;
  }
  return path;
}

auto DiffDocuments(const ServingDocument& before, const ServingDocument& after)
    -> std::vector<Difference> {
  std::vector<Difference> differences;
  for (const auto section : kAllSections) {
    SectionDiff(section, differences)
        .Compare(ReadEntries(before, section), ReadEntries(after, section));
  }
  return differences;
}

}  // namespace dotterellug
