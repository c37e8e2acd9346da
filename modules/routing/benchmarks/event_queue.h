#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/time/time.h"

namespace dotterellug::simulation {

// Event queue of a discrete-event simulation. Events run in order of time, and
// events at the same time in order of insertion, so that a seed determines a
// run.
class EventQueue {
 public:
  auto Now() const -> Timestamp { return now_; }

  // Runs `action` at the current simulated time plus `delay`.
  auto Schedule(Duration delay, std::function<void()> action) -> void {
    events_.push(Event{now_ + delay, next_sequence_++, std::move(action)});
  }

  // Runs all events up to and including `end`. Later ones stay in the queue.
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
