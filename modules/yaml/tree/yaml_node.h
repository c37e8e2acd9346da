#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace dotterellug {

struct YamlEntry;

enum class YamlKind { kNull, kScalar, kList, kMap };

// One value of a YAML text with the line where it begins.
struct YamlNode {
  YamlKind kind = YamlKind::kNull;
  int line = 0;
  // Text of a scalar as it reads after quotes are removed.
  std::string text;
  // A quoted scalar is text even if it looks like a number.
  bool quoted = false;
  std::vector<YamlNode> items;
  std::vector<YamlEntry> entries;

  // The value of `key` in a map, or nullptr.
  auto Find(std::string_view key) const -> const YamlNode*;
  // Line of `key` in a map, or the node's own line when the key is missing.
  auto LineOf(std::string_view key) const -> int;
};

struct YamlEntry {
  std::string key;
  int line = 0;
  YamlNode value;
};

// "nothing", "a value", "a list" or "a map", for messages.
auto KindText(YamlKind kind) -> std::string_view;

}  // namespace dotterellug
