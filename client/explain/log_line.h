#pragma once

#include <cstdint>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace dotterellug {

// One line of a daemon's log.
struct LogLine {
  std::string instance;
  // Which of the instance's processes wrote it, counted from 0.
  int process = 0;
  // Time since that process started. Changes of the time of day do not move it.
  std::int64_t up_ms = 0;
  // Time of day as the process saw it, in milliseconds since 1970.
  std::int64_t wall_ms = 0;
  std::string event;
  nlohmann::json fields;

  // A text field, or an empty text.
  auto Text(std::string_view field) const -> std::string;
  // A number, or `otherwise`.
  auto Number(std::string_view field, std::int64_t otherwise = 0) const
      -> std::int64_t;
};

// Lines of any number of daemons, as collected.
struct LogCollection {
  std::vector<LogLine> lines;
  // Lines that are not a daemon's.
  std::int64_t skipped = 0;
};

// Adds the lines of one file. What stands before the JSON object of a line,
// such as a collector's time stamp, is passed over. The lines of one process
// must be in the order in which it wrote them; files may hold lines of several
// instances.
auto ReadLogLines(std::istream& file, LogCollection& collection) -> void;

}  // namespace dotterellug
