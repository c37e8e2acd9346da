#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "core/time/time.h"

namespace dotterellug {

// Hands values from any thread to one receiving thread, in order.
template <typename T>
class Mailbox {
 public:
  auto Send(T value) -> void {
    {
      const std::lock_guard lock(mutex_);
      values_.push_back(std::move(value));
    }
    arrived_.notify_one();
  }

  // The next value; nothing when none arrives within `wait`.
  auto Receive(Duration wait) -> std::optional<T> {
    std::unique_lock lock(mutex_);
    arrived_.wait_for(lock, wait, [this] { return !values_.empty(); });
    if (values_.empty()) return std::nullopt;
    auto value = std::move(values_.front());
    values_.pop_front();
    return value;
  }

 private:
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::deque<T> values_;
};

}  // namespace dotterellug
