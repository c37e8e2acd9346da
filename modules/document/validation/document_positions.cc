#include "document/validation/document_positions.h"

namespace dotterellug {

namespace {

auto Name(std::string_view list, const std::string& id) -> std::string {
  return std::string(list) + "/" + id;
}

}  // namespace

auto DocumentPositions::Add(std::string_view list, const std::string& id,
                            const YamlNode& node) -> void {
  nodes_.emplace(Name(list, id), &node);
}

auto DocumentPositions::LineOf(std::string_view list, const std::string& id,
                               std::string_view field) const -> int {
  const auto found = nodes_.find(Name(list, id));
  if (found == nodes_.end()) return 0;
  return found->second->LineOf(field);
}

}  // namespace dotterellug
