#include "serving/stream/event_splitter.h"

#include "core/text/parse_integer.h"

namespace dotterellug::serving {
namespace {

constexpr std::string_view kIdField = "id:";

auto ParseEventId(std::string_view text) -> std::optional<std::int64_t> {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == '\r') text.remove_suffix(1);
  return ParseInteger(text);
}

}  // namespace

auto EventSplitter::Feed(std::string_view bytes) -> std::string {
  // The end of an event may begin in the last two bytes that are pending.
  const auto searched =
      pending_.size() < 2 ? std::size_t{0} : pending_.size() - 2;
  pending_ += bytes;
  const std::string_view pending = pending_;
  const auto unsearched = pending.substr(searched);
  auto end = unsearched.rfind("\n\n");
  auto length = std::size_t{2};
  const auto carriage = unsearched.rfind("\n\r\n");
  if (carriage != std::string_view::npos &&
      (end == std::string_view::npos || carriage > end)) {
    end = carriage;
    length = 3;
  }
  if (end == std::string_view::npos) return {};
  end += searched;
  auto complete = pending_.substr(0, end + length);
  pending_.erase(0, end + length);
  CountEvents(complete);
  return complete;
}

auto EventSplitter::CountEvents(std::string_view events) -> void {
  bool line_in_event = false;
  while (!events.empty()) {
    const auto end = events.find('\n');
    const auto line = events.substr(0, end);
    if (line.empty() || line == "\r") {
      if (line_in_event) ++event_count_;
      line_in_event = false;
    } else {
      line_in_event = true;
      if (line.substr(0, kIdField.size()) == kIdField) {
        if (const auto id = ParseEventId(line.substr(kIdField.size()))) {
          last_event_id_ = id;
        }
      }
    }
    if (end == std::string_view::npos) return;
    events.remove_prefix(end + 1);
  }
}

}  // namespace dotterellug::serving
