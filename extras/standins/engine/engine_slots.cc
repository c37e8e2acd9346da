#include "standins/engine/engine_slots.h"

namespace dotterellug::standins {
namespace {

// How often a waiting request checks whether its caller is gone.
constexpr auto kCancelPoll = std::chrono::milliseconds(20);

}  // namespace

auto EngineSlots::Acquire(int priority,
                          const std::function<auto()->bool>& cancelled)
    -> bool {
  std::unique_lock lock(mutex_);
  const auto ticket = std::make_pair(priority, ++sequence_);
  waiting_.insert(ticket);
  while (running_ >= limit_ || *waiting_.begin() != ticket) {
    changed_.wait_for(lock, kCancelPoll);
    if (cancelled()) {
      waiting_.erase(ticket);
      changed_.notify_all();
      return false;
    }
  }
  waiting_.erase(ticket);
  ++running_;
  changed_.notify_all();
  return true;
}

auto EngineSlots::Release() -> void {
  const std::lock_guard lock(mutex_);
  --running_;
  changed_.notify_all();
}

auto EngineSlots::Running() const -> std::int64_t {
  const std::lock_guard lock(mutex_);
  return running_;
}

auto EngineSlots::Waiting() const -> std::int64_t {
  const std::lock_guard lock(mutex_);
  return static_cast<std::int64_t>(waiting_.size());
}

}  // namespace dotterellug::standins
