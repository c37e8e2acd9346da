#include "serving/stream/event_splitter.h"

#include <algorithm>
#include <array>

#include "core/text/parse_integer.h"

namespace dotterellug::serving {
namespace {

constexpr std::string_view kIdField = "id:";

auto ParseEventId(std::string_view text) -> std::optional<std::int64_t> {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == '\r') text.remove_suffix(1);
  return ParseInteger(text);
}

// Fields that may stand without a value, and so without a colon.
constexpr std::array<std::string_view, 4> kEventFields{"data", "event", "id",
                                                       "retry"};

auto IsEventLine(std::string_view line) -> bool {
  if (line.find(':') != std::string_view::npos) return true;
  if (line.back() == '\r') line.remove_suffix(1);
  return std::find(kEventFields.begin(), kEventFields.end(), line) !=
         kEventFields.end();
}

}  // namespace

auto EventSplitter::Feed(std::string_view bytes) -> std::string {
  if (malformed_) return {};
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
  complete.resize(CountEvents(complete));
  return complete;
}

auto EventSplitter::CountEvents(std::string_view events) -> std::size_t {
  const auto whole = events.size();
  // Bytes from the beginning of the current event on.
  auto event = events;
  auto id = last_event_id_;
  while (!events.empty()) {
    const auto end = events.find('\n');
    const auto line = events.substr(0, end);
    events.remove_prefix(end == std::string_view::npos ? events.size()
                                                       : end + 1);
    if (line.empty() || line == "\r") {
      if (event.size() > line.size() + 1 + events.size()) ++event_count_;
      last_event_id_ = id;
      event = events;
      continue;
    }
    if (!IsEventLine(line)) {
      malformed_ = true;
      break;
    }
    if (line.substr(0, kIdField.size()) == kIdField) {
      if (const auto number = ParseEventId(line.substr(kIdField.size()))) {
        id = number;
      }
    }
  }
  return whole - event.size();
}

}  // namespace dotterellug::serving
