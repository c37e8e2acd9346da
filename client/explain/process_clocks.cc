#include "client/explain/process_clocks.h"

#include <algorithm>

namespace dotterellug {
namespace {

// Names what a line says that other processes note at about the same moment;
// empty for other lines.
auto SharedMoment(const LogLine& line) -> std::string {
  if (line.event == "config_in_force") {
    return "config " + std::to_string(line.Number("config"));
  }
  if (line.event == "upstream") {
    return "upstream " + line.Text("upstream") + " " + line.Text("state");
  }
  return "";
}

auto Median(std::vector<std::int64_t> values) -> std::int64_t {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

ProcessClocks::ProcessClocks(const std::vector<LogLine>& lines,
                             const LogLine& reference) {
  // The first time at which each process noted a shared moment.
  std::map<Process, std::map<std::string, std::int64_t>> moments;
  std::map<Process, std::int64_t> wall_starts;
  for (const auto& line : lines) {
    const auto process = ProcessOf(line);
    wall_starts.try_emplace(process, line.wall_ms - line.up_ms);
    const auto moment = SharedMoment(line);
    if (!moment.empty()) moments[process].try_emplace(moment, line.up_ms);
  }
  const auto own = ProcessOf(reference);
  const auto& own_moments = moments[own];
  for (const auto& [process, wall_start] : wall_starts) {
    std::vector<std::int64_t> differences;
    for (const auto& [moment, up_ms] : moments[process]) {
      const auto found = own_moments.find(moment);
      if (found != own_moments.end()) {
        differences.push_back(found->second - up_ms);
      }
    }
    offsets_[process] = differences.empty() ? wall_start - wall_starts[own]
                                            : Median(std::move(differences));
  }
  offsets_[own] = 0;
}

auto ProcessClocks::At(const LogLine& line) const -> std::int64_t {
  const auto found = offsets_.find(ProcessOf(line));
  return line.up_ms + (found == offsets_.end() ? 0 : found->second);
}

}  // namespace dotterellug
