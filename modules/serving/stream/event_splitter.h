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

  // Appends bytes and returns the events that are now complete, up to the first
  // malformed one.
  auto Feed(std::string_view bytes) -> std::string;
  // Bytes of the incomplete last event.
  auto PendingBytes() const -> const std::string& { return pending_; }
  // Whether the incomplete event is larger than any event of an upstream that
  // works, so that the stream should be given up.
  auto EventTooLarge() const -> bool {
    return pending_.size() > kMaxEventBytes;
  }
  // Whether an event had a line that is neither a field nor a comment, such as
  // the status line of another response. Nothing after it belongs to the
  // stream.
  auto Malformed() const -> bool { return malformed_; }
  // Discards the incomplete or malformed event; another upstream sends it
  // again.
  auto DiscardPending() -> void {
    pending_.clear();
    malformed_ = false;
  }
  // Id of the last complete event whose id is a number.
  auto LastEventId() const -> std::optional<std::int64_t> {
    return last_event_id_;
  }
  // Number of complete events so far.
  auto EventCount() const -> std::int64_t { return event_count_; }

 private:
  // Counts the events and returns the number of bytes up to the first malformed
  // one.
  auto CountEvents(std::string_view events) -> std::size_t;

  std::string pending_;
  std::optional<std::int64_t> last_event_id_;
  std::int64_t event_count_ = 0;
  bool malformed_ = false;
};

}  // namespace dotterellug::serving
