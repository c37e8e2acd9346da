#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterellug {

// One server-sent event.
struct StreamEvent {
  // Number from the `id` field; engines number the events of a stream from 1.
  std::optional<std::int64_t> number;
  std::string data;
  // The event as received, with its terminating blank line.
  std::string raw;
};

// Splits a stream of server-sent events that arrives in pieces. Incomplete
// events are kept until the rest arrives; a truncated stream so never yields
// a partial event.
class EventStreamParser {
 public:
  // Events completed by `bytes`. An event larger than kMaxEventBytes sets
  // Overflowed and ends the parsing.
  auto Feed(std::string_view bytes) -> std::vector<StreamEvent>;
  auto Overflowed() const -> bool { return overflowed_; }

  static constexpr std::size_t kMaxEventBytes = 256 * 1024;

 private:
  std::string pending_;
  bool overflowed_ = false;
};

// Whether the event ends a completion stream.
auto IsEndMarker(const StreamEvent& event) -> bool;

}  // namespace dotterellug
