#include "telemetry/events/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace dotterellug {
namespace {

// A write of this size to a pipe that is ready for writing does not block.
constexpr std::size_t kWriteBytes = 4096;

auto AppendQuoted(std::string& text, std::string_view value) -> void {
  text += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      text += '\\';
      text += c;
    } else if (static_cast<unsigned char>(c) < 0x20 ||
               static_cast<unsigned char>(c) > 0x7e) {
      std::array<char, 8> escaped{};
      std::snprintf(escaped.data(), escaped.size(), "\\u%04x",
                    static_cast<unsigned>(static_cast<unsigned char>(c)));
      text += escaped.data();
    } else {
      text += c;
    }
  }
  text += '"';
}

}  // namespace

EventLog::Line::Line(EventLog* log, EventRank rank, std::string_view event)
    : log_(log), rank_(rank), event_(event) {
  text_.reserve(256);
  text_ += R"({"time":")";
  text_ += FormatWallTime(WallNow());
  text_ += R"(","instance":)";
  AppendQuoted(text_, log->instance_);
  AddMs("up_ms", MonotonicNow() - log->started_at_);
  Add("event", event);
}

EventLog::Line::Line(Line&& other) noexcept
    : log_(std::exchange(other.log_, nullptr)),
      rank_(other.rank_),
      event_(std::move(other.event_)),
      text_(std::move(other.text_)) {}

EventLog::Line::~Line() {
  if (log_ == nullptr) return;
  text_ += "}\n";
  log_->Append(rank_, event_, std::move(text_));
}

auto EventLog::Line::Add(std::string_view name, std::string_view value)
    -> Line& {
  text_ += ',';
  AppendQuoted(text_, name);
  text_ += ':';
  AppendQuoted(text_, value);
  return *this;
}

auto EventLog::Line::Add(std::string_view name, std::int64_t value) -> Line& {
  text_ += ',';
  AppendQuoted(text_, name);
  text_ += ':';
  text_ += std::to_string(value);
  return *this;
}

auto EventLog::Line::AddMs(std::string_view name, Duration value) -> Line& {
  return Add(
      name,
      std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

EventLog::EventLog(int descriptor, std::string instance,
                   EventLogOptions options)
    : descriptor_(descriptor),
      instance_(std::move(instance)),
      options_(options),
      credit_(static_cast<double>(options.bytes_per_second)),
      started_at_(MonotonicNow()) {}

auto EventLog::Append(EventRank rank, const std::string& event,
                      std::string text) -> void {
  auto part = 1.0;
  if (rank == EventRank::kRoutine) part = options_.routine_part;
  if (rank == EventRank::kFailure) part = options_.failure_part;
  const auto size = static_cast<double>(text.size());
  const auto reserved =
      (1 - part) * static_cast<double>(options_.bytes_per_second);
  const auto room = part * static_cast<double>(options_.buffer_bytes);
  if (credit_ - size < reserved ||
      static_cast<double>(buffer_.size()) + size > room) {
    ++dropped_[event];
    ++dropped_total_;
    if (on_dropped_) on_dropped_(event);
    return;
  }
  credit_ -= size;
  const bool first = buffer_.empty();
  buffer_ += text;
  if (first && on_buffered_) on_buffered_();
}

auto EventLog::NoteDropped() -> void {
  const auto dropped = std::exchange(dropped_, {});
  auto line = Write(EventRank::kState, "log_lines_dropped");
  for (const auto& [event, count] : dropped) line.Add(event, count);
}

auto EventLog::Flush(Timestamp now) -> void {
  const auto seconds = std::clamp(ToSeconds(now - credited_at_), 0.0, 1.0);
  const auto rate = static_cast<double>(options_.bytes_per_second);
  credited_at_ = now;
  credit_ = std::min(rate, credit_ + seconds * rate);
  if (!dropped_.empty() && credit_ > rate / 2) NoteDropped();
  std::size_t written = 0;
  while (written < buffer_.size()) {
    pollfd ready{descriptor_, POLLOUT, 0};
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) break;
    const auto size = std::min(kWriteBytes, buffer_.size() - written);
    const auto count = ::write(descriptor_, buffer_.data() + written, size);
    if (count <= 0) break;
    written += static_cast<std::size_t>(count);
  }
  buffer_.erase(0, written);
}

}  // namespace dotterellug
