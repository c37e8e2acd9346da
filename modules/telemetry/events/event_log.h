#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "core/core.h"

namespace dotterellug {

// How much an event matters when not all lines can be written.
enum class EventRank {
  // Lines about requests that went well; the first to be left out.
  kRoutine,
  // Failures and refusals of requests.
  kFailure,
  // Changes of what the process believes; left out last.
  kState,
};

struct EventLogOptions {
  // Bounds on what is written; see docs/OPERATIONS.md.
  std::int64_t bytes_per_second = 48'000;
  std::size_t buffer_bytes = 262'144;
  // Parts of the bounds that lines of a rank may fill.
  double routine_part = 0.5;
  double failure_part = 0.85;
};

// One JSON object a line on a file descriptor, for explaining afterwards what
// became of a request. Writing never blocks: lines that do not fit the bounds
// or a reader that has stopped are counted by event and left out. Used by one
// thread.
class EventLog {
 public:
  // One line under construction; written when it is destroyed.
  class Line {
   public:
    Line(EventLog* log, EventRank rank, std::string_view event);
    Line(const Line&) = delete;
    auto operator=(const Line&) -> Line& = delete;
    Line(Line&& other) noexcept;
    auto operator=(Line&&) -> Line& = delete;
    ~Line();

    auto Add(std::string_view name, std::string_view value) -> Line&;
    auto Add(std::string_view name, const char* value) -> Line& {
      return Add(name, std::string_view(value));
    }
    auto Add(std::string_view name, std::int64_t value) -> Line&;
    auto AddMs(std::string_view name, Duration value) -> Line&;

   private:
    EventLog* log_;
    EventRank rank_;
    std::string event_;
    std::string text_;
  };

  EventLog(int descriptor, std::string instance, EventLogOptions options = {});

  auto Write(EventRank rank, std::string_view event) -> Line {
    return Line(this, rank, event);
  }
  // Called when a first line is buffered, so that it can be flushed soon.
  auto OnBuffered(std::function<void()> handler) -> void {
    on_buffered_ = std::move(handler);
  }
  // Called with the event of each line that is left out.
  auto OnDropped(std::function<void(const std::string& event)> handler)
      -> void {
    on_dropped_ = std::move(handler);
  }
  // Hands buffered lines to the kernel as far as it takes them at once, and
  // notes what was left out. Call several times a second.
  auto Flush(Timestamp now) -> void;

  auto Dropped() const -> std::int64_t { return dropped_total_; }
  auto BufferedBytes() const -> std::size_t { return buffer_.size(); }

 private:
  auto Append(EventRank rank, const std::string& event, std::string text)
      -> void;
  auto NoteDropped() -> void;

  int descriptor_;
  std::string instance_;
  EventLogOptions options_;
  std::string buffer_;
  // Bytes that may still be written in this second.
  double credit_;
  Timestamp credited_at_{};
  std::map<std::string, std::int64_t> dropped_;
  std::int64_t dropped_total_ = 0;
  // Lines state the time since then, which no change of the clock moves.
  Timestamp started_at_;
  std::function<void()> on_buffered_;
  std::function<void(const std::string&)> on_dropped_;
};

}  // namespace dotterellug
