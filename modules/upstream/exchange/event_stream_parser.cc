#include "upstream/exchange/event_stream_parser.h"

#include <charconv>

namespace dotterellug {
namespace {

auto FieldValue(std::string_view line, std::string_view field)
    -> std::optional<std::string_view> {
  if (line.substr(0, field.size()) != field) return std::nullopt;
  line.remove_prefix(field.size());
  if (line.empty() || line.front() != ':') return std::nullopt;
  line.remove_prefix(1);
  if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  return line;
}

auto ParseEvent(std::string raw) -> StreamEvent {
  StreamEvent event;
  std::string_view rest = raw;
  while (!rest.empty()) {
    const auto end = rest.find('\n');
    auto line = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (const auto id = FieldValue(line, "id")) {
      std::int64_t number = 0;
      const auto parsed =
          std::from_chars(id->data(), id->data() + id->size(), number);
      if (parsed.ec == std::errc()) event.number = number;
    } else if (const auto data = FieldValue(line, "data")) {
      if (!event.data.empty()) event.data += '\n';
      event.data += *data;
    }
  }
  event.raw = std::move(raw);
  return event;
}

// Position behind the blank line that ends the first event, or npos.
auto EventEnd(std::string_view text) -> std::size_t {
  const auto plain = text.find("\n\n");
  const auto carriage = text.find("\n\r\n");
  if (plain == std::string_view::npos && carriage == std::string_view::npos) {
    return std::string_view::npos;
  }
  if (carriage == std::string_view::npos || plain < carriage) return plain + 2;
  return carriage + 3;
}

}  // namespace

auto EventStreamParser::Feed(std::string_view bytes)
    -> std::vector<StreamEvent> {
  std::vector<StreamEvent> events;
  if (overflowed_) return events;
  pending_.append(bytes);
  std::size_t begin = 0;
  while (true) {
    const std::string_view rest(pending_);
    const auto end = EventEnd(rest.substr(begin));
    if (end == std::string_view::npos) break;
    events.push_back(ParseEvent(pending_.substr(begin, end)));
    begin += end;
  }
  pending_.erase(0, begin);
  overflowed_ = pending_.size() > kMaxEventBytes;
  return events;
}

auto IsEndMarker(const StreamEvent& event) -> bool {
  return event.data == "[DONE]";
}

}  // namespace dotterellug
