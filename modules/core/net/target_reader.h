#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterellug {

// A request target as an HTTP server reads it.
struct ReadTarget {
  // Between the slashes of the path, decoded; the first is behind the first
  // slash.
  std::vector<std::string> segments;
  // Of the query, decoded. A plus sign is a blank.
  std::map<std::string, std::string> fields;

  // The value of a field, or an empty text.
  auto Field(const std::string& name) const -> std::string;
};

// Reads a target. What follows a number sign is no part of it. Nothing if an
// escape is incomplete or the path does not begin with a slash.
auto ParseTarget(std::string_view target) -> std::optional<ReadTarget>;

}  // namespace dotterellug
