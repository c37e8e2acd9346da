#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dotterellug::serving {

// Cuts the bytes of an event stream after whole events, so that a stream can be
// continued from another upstream at an event's boundary.
class EventSplitter {
 public:
  // Takes bytes in and returns the whole events that are now complete.
  auto Feed(std::string_view bytes) -> std::string;
  // Bytes of an event that is not complete.
  auto Rest() const -> const std::string& { return pending_; }
  // Forgets the incomplete event; a new upstream sends it again.
  auto DropRest() -> void { pending_.clear(); }
  // The id of the last whole event that carried a number as its id.
  auto LastEvent() const -> std::optional<std::int64_t> {
    return last_event_id_;
  }
  auto Events() const -> std::int64_t { return event_count_; }

 private:
  auto CountEvents(std::string_view events) -> void;

  std::string pending_;
  std::optional<std::int64_t> last_event_id_;
  std::int64_t event_count_ = 0;
};

}  // namespace dotterellug::serving
