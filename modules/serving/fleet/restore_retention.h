#pragma once

#include <map>
#include <utility>

#include "core/core.h"

namespace dotterellug::serving {

// Keeps the entries of a list for a while after the store was restored from an
// older backup. An entry that is missing from the first list after the restore
// may only be missing from the backup; whoever wrote it gets time to write it
// again. An entry that has been listed since the restore follows the list.
template <typename Key, typename Value>
class RestoreRetention {
 public:
  using Entries = std::map<Key, Value>;

  explicit RestoreRetention(Duration time) : time_(time) {}

  // The next list is the first after a restore. Call before Update with it.
  auto OnRestored(Timestamp now) -> void {
    retained_ = current_;
    ends_at_ = now + time_;
  }
  // The list is now `listed`. Returns the entries that are in force: these, and
  // those that are retained.
  auto Update(Entries listed, Timestamp now) -> const Entries& {
    if (now >= ends_at_) retained_.clear();
    for (const auto& [key, value] : listed) retained_.erase(key);
    listed_ = std::move(listed);
    current_ = listed_;
    current_.insert(retained_.begin(), retained_.end());
    return current_;
  }
  // Whether the retention has ended for entries that nobody wrote again. They
  // are then no longer in force, and Current has the rest.
  auto TakeExpired(Timestamp now) -> bool {
    if (retained_.empty() || now < ends_at_) return false;
    retained_.clear();
    current_ = listed_;
    return true;
  }

  auto Current() const -> const Entries& { return current_; }
  // Whether entries may be missing because of a restore.
  auto Active(Timestamp now) const -> bool { return now < ends_at_; }
  auto Retained(const Key& key) const -> bool {
    return retained_.count(key) > 0;
  }

 private:
  Duration time_;
  Timestamp ends_at_{};
  Entries listed_;
  // In force before the restore and not listed since.
  Entries retained_;
  Entries current_;
};

}  // namespace dotterellug::serving
