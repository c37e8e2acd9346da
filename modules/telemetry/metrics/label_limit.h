#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <unordered_set>

namespace dotterellug {

// Bounds the values of one metric label: the first `limit` different values
// are kept, all later ones become "other". Without it a document with many
// client accounts would make the metrics of each daemon grow without bound.
class LabelLimit {
 public:
  explicit LabelLimit(std::size_t limit) : limit_(limit) {}

  auto Bound(const std::string& value) -> std::string {
    const std::lock_guard lock(mutex_);
    if (kept_.count(value) > 0) return value;
    if (kept_.size() >= limit_) return "other";
    kept_.insert(value);
    return value;
  }

 private:
  std::size_t limit_;
  std::mutex mutex_;
  std::unordered_set<std::string> kept_;
};

}  // namespace dotterellug
