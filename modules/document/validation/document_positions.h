#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "yaml/tree/yaml_node.h"

namespace dotterellug {

// Where the entries of a document stand in the section texts, for faults that
// concern several entries. Holds pointers into the parsed trees, which must
// outlive it. Empty for a document that was built in code.
class DocumentPositions {
 public:
  // `list` is the name of the list that holds the entry, such as "models".
  auto Add(std::string_view list, const std::string& id, const YamlNode& node)
      -> void;
  // Line of `field` of the entry, or of the entry; 0 when unknown.
  auto LineOf(std::string_view list, const std::string& id,
              std::string_view field) const -> int;

 private:
  std::unordered_map<std::string, const YamlNode*> nodes_;
};

}  // namespace dotterellug
