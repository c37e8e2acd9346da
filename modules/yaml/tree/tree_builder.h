#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "tl/expected.hpp"
#include "yaml/faults/fault_list.h"
#include "yaml/tree/yaml_node.h"

namespace dotterellug {

// Bounds on a YAML text. They hold before and while the text is read, so that
// a hostile text costs no more than a large valid one.
struct YamlLimits {
  std::size_t max_bytes = 65'536;
  std::size_t max_depth = 12;
  std::size_t max_nodes = 20'000;
  std::size_t max_scalar_bytes = 4096;
};

// Reads one YAML document. An empty text gives an empty map. The failure
// carries one fault, or one per duplicate key. Rejected besides wrong syntax:
// aliases and anchors (their expansion is unbounded), explicit tags, several
// documents in one text, and keys that are no plain text.
auto ReadYaml(std::string_view text, const std::string& source,
              const YamlLimits& limits) -> tl::expected<YamlNode, FaultList>;

}  // namespace dotterellug
