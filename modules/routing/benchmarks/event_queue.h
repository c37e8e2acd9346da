#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/time/time.h"

namespace dotterellug::simulation {

// Events in order of time; equal times run in order of insertion, so that a
// seed determines a run.
class EventQueue {
 public:
  auto Now() const -> Timestamp { return now_; }

  auto Schedule(Duration delay, std::function<void()> action) -> void {
    events_.push(Event{now_ + delay, next_sequence_++, std::move(action)});
  }

  // Runs events until `end`; later ones are dropped with the list.
  auto RunUntil(Timestamp end) -> void {
    while (!events_.empty() && events_.top().time <= end) {
      auto event = events_.top();
      events_.pop();
      now_ = event.time;
      event.action();
    }
  }

 private:
  struct Event {
    Timestamp time;
    std::uint64_t sequence = 0;
    std::function<void()> action;
    friend auto operator<(const Event& a, const Event& b) -> bool {
      return a.time != b.time ? a.time > b.time : a.sequence > b.sequence;
    }
  };

  Timestamp now_{};
  std::uint64_t next_sequence_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace dotterellug::simulation
