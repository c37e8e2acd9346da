#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace dotterellug {

// An immutable value that the control thread replaces and traffic threads
// read. A reader keeps the version it loaded for as long as it needs it.
template <typename T>
class Published {
 public:
  // Null before the first Store.
  auto Load() const -> std::shared_ptr<const T> {
    const std::lock_guard lock(mutex_);
    return value_;
  }

  auto Store(std::shared_ptr<const T> value) -> void {
    const std::lock_guard lock(mutex_);
    value_.swap(value);
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const T> value_;
};

}  // namespace dotterellug
