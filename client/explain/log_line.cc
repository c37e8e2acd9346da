#include "client/explain/log_line.h"

#include <cstddef>
#include <cstdio>
#include <ctime>
#include <map>
#include <optional>
#include <utility>

namespace dotterellug {
namespace {

// A process that is newer than the one before has been up for less time; lines
// of one process may be written a little out of order.
constexpr std::int64_t kOutOfOrderMs = 1000;

// Milliseconds since 1970 of a time such as 2026-12-04T07:00:00.123Z.
auto ParseWallTime(const std::string& text) -> std::optional<std::int64_t> {
  std::tm parts{};
  int milliseconds = 0;
  const auto count =
      std::sscanf(text.c_str(), "%d-%d-%dT%d:%d:%d.%dZ", &parts.tm_year,
                  &parts.tm_mon, &parts.tm_mday, &parts.tm_hour, &parts.tm_min,
                  &parts.tm_sec, &milliseconds);
  if (count != 7) return std::nullopt;
  parts.tm_year -= 1900;
  parts.tm_mon -= 1;
  return static_cast<std::int64_t>(timegm(&parts)) * 1000 + milliseconds;
}

auto ParseLine(const std::string& text) -> std::optional<LogLine> {
  const auto begin = text.find('{');
  if (begin == std::string::npos) return std::nullopt;
  auto fields =
      nlohmann::json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin),
                            text.end(), nullptr, false);
  if (!fields.is_object()) return std::nullopt;
  LogLine line;
  line.fields = std::move(fields);
  line.instance = line.Text("instance");
  line.event = line.Text("event");
  line.up_ms = line.Number("up_ms", -1);
  const auto wall = ParseWallTime(line.Text("time"));
  if (line.instance.empty() || line.event.empty() || line.up_ms < 0 || !wall) {
    return std::nullopt;
  }
  line.wall_ms = *wall;
  return line;
}

}  // namespace

auto LogLine::Text(std::string_view field) const -> std::string {
  const auto found = fields.find(std::string(field));
  if (found == fields.end() || !found->is_string()) return "";
  return found->get<std::string>();
}

auto LogLine::Number(std::string_view field, std::int64_t otherwise) const
    -> std::int64_t {
  const auto found = fields.find(std::string(field));
  if (found == fields.end() || !found->is_number_integer()) return otherwise;
  return found->get<std::int64_t>();
}

auto ReadLogLines(std::istream& file, LogCollection& collection) -> void {
  // The last line of each instance, for telling its processes apart.
  std::map<std::string, std::pair<int, std::int64_t>> last;
  for (const auto& line : collection.lines) {
    last[line.instance] = {line.process, line.up_ms};
  }
  std::string text;
  while (std::getline(file, text)) {
    auto line = ParseLine(text);
    if (!line) {
      ++collection.skipped;
      continue;
    }
    const auto before = last.find(line->instance);
    if (before != last.end()) {
      const auto& [process, up_ms] = before->second;
      const bool newer = line->up_ms + kOutOfOrderMs < up_ms ||
                         (line->event == "started" && up_ms > line->up_ms);
      line->process = newer ? process + 1 : process;
    }
    last[line->instance] = {line->process, line->up_ms};
    collection.lines.push_back(std::move(*line));
  }
}

}  // namespace dotterellug
