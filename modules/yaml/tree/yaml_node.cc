#include "yaml/tree/yaml_node.h"

namespace dotterellug {

auto YamlNode::Find(std::string_view key) const -> const YamlNode* {
  for (const auto& entry : entries) {
    if (entry.key == key) return &entry.value;
  }
  return nullptr;
}

auto YamlNode::LineOf(std::string_view key) const -> int {
  for (const auto& entry : entries) {
    if (entry.key == key) return entry.line;
  }
  return line;
}

auto KindText(YamlKind kind) -> std::string_view {
  switch (kind) {
    case YamlKind::kNull:
      return "nothing";
    case YamlKind::kScalar:
      return "a value";
    case YamlKind::kList:
      return "a list";
    case YamlKind::kMap:
      return "a map";
  }
  return "nothing";
}

}  // namespace dotterellug
