#include "client/output/table.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dotterellug {

namespace {

auto WriteRow(const std::vector<std::string>& cells,
              const std::vector<std::size_t>& widths, std::ostream& out)
    -> void {
  std::string line;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    line += cells[i];
    if (i + 1 < cells.size()) line.append(widths[i] - cells[i].size() + 2, ' ');
  }
  out << line << "\n";
}

auto WriteColumns(const OutputTable& table, std::ostream& out) -> void {
  std::vector<std::size_t> widths;
  for (const auto& column : table.columns) widths.push_back(column.size());
  for (const auto& row : table.rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  WriteRow(table.columns, widths, out);
  for (const auto& row : table.rows) WriteRow(row, widths, out);
}

auto WriteJson(const OutputTable& table, std::ostream& out) -> void {
  auto list = nlohmann::ordered_json::array();
  for (const auto& row : table.rows) {
    auto object = nlohmann::ordered_json::object();
    for (std::size_t i = 0; i < row.size(); ++i) {
      object[table.columns[i]] = row[i];
    }
    list.push_back(std::move(object));
  }
  // Values may quote damaged files, so invalid UTF-8 is replaced.
  out << list.dump(2, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace)
      << "\n";
}

auto WriteYamlList(const OutputTable& table, std::ostream& out) -> void {
  YAML::Emitter emitter;
  emitter << YAML::BeginSeq;
  for (const auto& row : table.rows) {
    emitter << YAML::BeginMap;
    for (std::size_t i = 0; i < row.size(); ++i) {
      emitter << YAML::Key << table.columns[i] << YAML::Value
              << YAML::DoubleQuoted << row[i];
    }
    emitter << YAML::EndMap;
  }
  emitter << YAML::EndSeq;
  out << emitter.c_str() << "\n";
}

}  // namespace

auto FindOutputFormat(std::string_view name) -> std::optional<OutputFormat> {
  if (name == "table") return OutputFormat::kTable;
  if (name == "json") return OutputFormat::kJson;
  if (name == "yaml") return OutputFormat::kYaml;
  return std::nullopt;
}

auto WriteTable(const OutputTable& table, OutputFormat format,
                std::ostream& out) -> void {
  switch (format) {
    case OutputFormat::kTable:
      WriteColumns(table, out);
      break;
    case OutputFormat::kJson:
      WriteJson(table, out);
      break;
    case OutputFormat::kYaml:
      WriteYamlList(table, out);
      break;
  }
}

}  // namespace dotterellug
