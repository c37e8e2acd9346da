#pragma once

#include <string>

#include "yaml/tree/yaml_node.h"

namespace dotterellug {

// The tree as YAML in block form with keys in the order of the tree. Reading
// the text gives an equal tree, except for lines.
auto WriteYaml(const YamlNode& node) -> std::string;

}  // namespace dotterellug
