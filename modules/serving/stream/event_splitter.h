#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dotterellug::serving {

// Splits the bytes of an event stream (server-sent events) at event boundaries,
// so that another upstream can continue the stream after a complete event.
class EventSplitter {
 public:
  static constexpr std::size_t kMaxEventBytes = 262'144;

  // Appends bytes and returns the events that are now complete.
  auto Feed(std::string_view bytes) -> std::string;
  // Bytes of the incomplete last event.
  auto PendingBytes() const -> const std::string& { return pending_; }
  // Whether the incomplete event is larger than any event of an upstream that
  // works, so that the stream should be given up.
  auto EventTooLarge() const -> bool {
    return pending_.size() > kMaxEventBytes;
  }
  // Discards the incomplete event; another upstream sends it again.
  auto DiscardPending() -> void { pending_.clear(); }
  // Id of the last complete event whose id is a number.
  auto LastEventId() const -> std::optional<std::int64_t> {
    return last_event_id_;
  }
  // Number of complete events so far.
  auto EventCount() const -> std::int64_t { return event_count_; }

 private:
  auto CountEvents(std::string_view events) -> void;

  std::string pending_;
  std::optional<std::int64_t> last_event_id_;
  std::int64_t event_count_ = 0;
};

}  // namespace dotterellug::serving
