#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <utility>

#include "core/time/time.h"

namespace dotterellug::standins {

// The batch of the engine stand-in: a limited number of requests run at once,
// others wait in order of priority and arrival.
class EngineSlots {
 public:
  explicit EngineSlots(std::int64_t limit) : limit_(limit) {}

  // Waits for a slot until `cancelled` holds. Lower numbers go first.
  auto Acquire(int priority, const std::function<auto()->bool>& cancelled)
      -> bool;
  auto Release() -> void;
  auto Running() const -> std::int64_t;
  auto Waiting() const -> std::int64_t;

 private:
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::int64_t limit_;
  std::int64_t running_ = 0;
  std::int64_t sequence_ = 0;
  std::set<std::pair<int, std::int64_t>> waiting_;
};

}  // namespace dotterellug::standins
