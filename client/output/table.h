#pragma once

#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace dotterellug {

enum class OutputFormat { kTable, kJson, kYaml };

auto FindOutputFormat(std::string_view name) -> std::optional<OutputFormat>;

// What a command reports, in a form that people or programs can read.
struct OutputTable {
  std::vector<std::string> columns;
  // Each row has one cell per column.
  std::vector<std::vector<std::string>> rows;
};

// As aligned columns, or as a list of maps in JSON or YAML.
auto WriteTable(const OutputTable& table, OutputFormat format,
                std::ostream& out) -> void;

}  // namespace dotterellug
