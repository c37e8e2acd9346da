#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "yaml/faults/fault_list.h"
#include "yaml/rules/rules.h"
#include "yaml/tree/yaml_node.h"

namespace dotterellug {

// Reads the keys of one map and reports every fault. Call Optional, Required,
// List or Map for each key that the map may have, then Finish, which reports
// the keys that nothing asked for. The node and the fault list must outlive the
// reader. A node that is no map is reported once and then treated as empty.
class MapReader {
 public:
  MapReader(const YamlNode& node, std::string source, std::string path,
            FaultList& faults);

  // Sets `target` when the key is present and valid; false otherwise.
  template <typename Rule, typename Target>
  auto Optional(std::string_view key, const Rule& rule, Target& target)
      -> bool {
    const auto* node = Take(key);
    if (node == nullptr) return false;
    auto value = rule.Parse(*node);
    if (!value) {
      Report(*node, key, value.error());
      return false;
    }
    target = static_cast<Target>(std::move(*value));
    return true;
  }

  // As Optional, and a missing key is a fault.
  template <typename Rule, typename Target>
  auto Required(std::string_view key, const Rule& rule, Target& target)
      -> bool {
    if (Has(key)) return Optional(key, rule, target);
    ReportMissing(key, rule.Describe());
    return false;
  }

  // The items of the list under `key`; empty when the key is missing.
  auto List(std::string_view key) -> const std::vector<YamlNode>&;
  // The map under `key`, or nullptr when the key is missing.
  auto Map(std::string_view key) -> const YamlNode*;

  auto Has(std::string_view key) const -> bool;
  auto Finish() -> void;

  // Reports a fault at the line of `key`, for rules that span several keys.
  auto Report(std::string_view key, std::string value, std::string message,
              std::string remedy) -> void;

  auto Node() const -> const YamlNode& { return node_; }
  auto PathOf(std::string_view key) const -> std::string;

 private:
  auto Take(std::string_view key) -> const YamlNode*;
  auto Report(const YamlNode& node, std::string_view key, const Error& error)
      -> void;
  auto ReportMissing(std::string_view key, const std::string& accepted) -> void;

  const YamlNode& node_;
  std::string source_;
  std::string path_;
  FaultList& faults_;
  std::vector<std::string_view> known_;
};

}  // namespace dotterellug
