#include "yaml/tree/yaml_writer.h"

#include <yaml-cpp/yaml.h>

namespace dotterellug {

namespace {

// Depth is bounded by the limits under which the tree was read.
auto WriteNode(YAML::Emitter& out, const YamlNode& node) -> void {
  switch (node.kind) {
    case YamlKind::kNull:
      out << YAML::Null;
      break;
    case YamlKind::kScalar:
      if (node.quoted) out << YAML::DoubleQuoted;
      out << node.text;
      break;
    case YamlKind::kList:
      out << YAML::BeginSeq;
      for (const auto& item : node.items) WriteNode(out, item);
      out << YAML::EndSeq;
      break;
    case YamlKind::kMap:
      out << YAML::BeginMap;
      for (const auto& entry : node.entries) {
        out << YAML::Key << entry.key << YAML::Value;
        WriteNode(out, entry.value);
      }
      out << YAML::EndMap;
      break;
  }
}

}  // namespace

auto WriteYaml(const YamlNode& node) -> std::string {
  YAML::Emitter out;
  WriteNode(out, node);
  return std::string(out.c_str()) + "\n";
}

}  // namespace dotterellug
