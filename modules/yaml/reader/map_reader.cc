#include "yaml/reader/map_reader.h"

#include <algorithm>
#include <utility>

namespace dotterellug {

MapReader::MapReader(const YamlNode& node, std::string source, std::string path,
                     FaultList& faults)
    : node_(node),
      source_(std::move(source)),
      path_(std::move(path)),
      faults_(faults) {
  if (node.kind == YamlKind::kMap) return;
  Fault fault;
  fault.source = source_;
  fault.line = node.line;
  fault.path = path_;
  fault.value = node.text;
  fault.message = std::string(KindText(node.kind)) + " where a map is expected";
  fault.remedy = "write keys with values, such as \"id: name\"";
  faults_.Add(std::move(fault));
}

auto MapReader::List(std::string_view key) -> const std::vector<YamlNode>& {
  static const std::vector<YamlNode> none;
  const auto* node = Take(key);
  if (node == nullptr || node->kind == YamlKind::kNull) return none;
  if (node->kind == YamlKind::kList) return node->items;
  Report(*node, key,
         Error{ErrorKind::kInvalidArgument,
               std::string(KindText(node->kind)) + " where a list is expected",
               "write items that begin with \"- \""});
  return none;
}

auto MapReader::Map(std::string_view key) -> const YamlNode* {
  return Take(key);
}

auto MapReader::Has(std::string_view key) const -> bool {
  return node_.Find(key) != nullptr;
}

auto MapReader::Finish() -> void {
  for (const auto& entry : node_.entries) {
    const bool known =
        std::find(known_.begin(), known_.end(), entry.key) != known_.end();
    if (known) continue;
    std::string keys;
    for (const auto& key : known_) {
      if (!keys.empty()) keys += ", ";
      keys += key;
    }
    Fault fault;
    fault.source = source_;
    fault.line = entry.line;
    fault.path = path_;
    fault.value = entry.key;
    fault.message = "unknown key";
    fault.remedy = "use one of: " + keys;
    faults_.Add(std::move(fault));
  }
}

auto MapReader::Report(std::string_view key, std::string value,
                       std::string message, std::string remedy) -> void {
  Fault fault;
  fault.source = source_;
  fault.line = node_.LineOf(key);
  fault.path = PathOf(key);
  fault.value = std::move(value);
  fault.message = std::move(message);
  fault.remedy = std::move(remedy);
  faults_.Add(std::move(fault));
}

auto MapReader::PathOf(std::string_view key) const -> std::string {
  if (path_.empty()) return std::string(key);
  return path_ + "." + std::string(key);
}

auto MapReader::Take(std::string_view key) -> const YamlNode* {
  known_.push_back(key);
  return node_.Find(key);
}

auto MapReader::Report(const YamlNode& node, std::string_view key,
                       const Error& error) -> void {
  Fault fault;
  fault.source = source_;
  fault.line = node.line;
  fault.path = PathOf(key);
  fault.value = node.text;
  fault.message = error.message;
  fault.remedy = error.remedy;
  faults_.Add(std::move(fault));
}

auto MapReader::ReportMissing(std::string_view key, const std::string& accepted)
    -> void {
  known_.push_back(key);
  Fault fault;
  fault.source = source_;
  fault.line = node_.line;
  fault.path = PathOf(key);
  fault.message = "key is missing";
  fault.remedy = "add \"" + std::string(key) + ":\" with " + accepted;
  if (node_.kind == YamlKind::kMap) faults_.Add(std::move(fault));
}

}  // namespace dotterellug
