#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "client/explain/log_line.h"

namespace dotterellug {

// Puts the lines of all processes on the time axis of one of them. Times of day
// of different instances may differ by hours and jump, so the offset between
// two processes comes from what both noted at about the same moment: a
// configuration that came into force, an upstream that appeared or left. Only
// processes without such lines in common are compared by the time of day.
class ProcessClocks {
 public:
  // `reference` must be a line of `lines`.
  ProcessClocks(const std::vector<LogLine>& lines, const LogLine& reference);

  // Milliseconds of the line after the start of the reference's process.
  auto At(const LogLine& line) const -> std::int64_t;

 private:
  using Process = std::pair<std::string, int>;

  static auto ProcessOf(const LogLine& line) -> Process {
    return {line.instance, line.process};
  }

  // What is added to the times of a process.
  std::map<Process, std::int64_t> offsets_;
};

}  // namespace dotterellug
