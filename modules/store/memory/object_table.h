#pragma once

#include <deque>
#include <map>
#include <string>

#include "core/errors/error.h"
#include "store/port/object_record.h"

namespace dotterellug {

// Objects with versions, conditional updates and a log of changes, as the
// object API keeps them. The version of an object is the position of the change
// that wrote it, so a name that is removed and written again never repeats a
// version. Not thread-safe.
class ObjectTable {
 public:
  // The object; kNotFound when there is none.
  auto Get(const std::string& name) const -> Result<ObjectRecord>;
  // Writes when the object's version is `expected` (kAbsent: no such object),
  // otherwise kConflict.
  auto Put(const std::string& name, const std::string& value,
           ObjectVersion expected) -> Result<ObjectVersion>;
  auto Remove(const std::string& name, ObjectVersion expected)
      -> Result<ObjectVersion>;
  auto List(const std::string& prefix) const -> ListResult;
  // The changes after `after`; kCompacted when the log no longer reaches there.
  auto Changes(const std::string& prefix, WatchPosition after) const
      -> Result<WatchResult>;

  // Reads as they were `lag` changes ago, for stale-read faults. Each object
  // keeps its last few changes; older reads get the oldest one kept.
  auto GetStale(const std::string& name, std::int64_t lag) const
      -> Result<ObjectRecord>;
  auto ListStale(const std::string& prefix, std::int64_t lag) const
      -> ListResult;

  // Forgets the log of changes, so that watches from earlier positions fail.
  auto Compact() -> void;

 private:
  using History = std::deque<ObjectEvent>;

  auto CurrentVersion(const std::string& name) const -> ObjectVersion;
  auto CheckVersion(const std::string& name, ObjectVersion expected) const
      -> Result<void>;
  auto Record(ObjectEvent event) -> ObjectVersion;
  auto TrimLog() -> void;
  auto AsOf(const History& history, WatchPosition position) const
      -> const ObjectEvent*;

  WatchPosition position_;
  // Watches after an earlier position than this one fail.
  WatchPosition compacted_;
  std::map<std::string, History> objects_;
  std::deque<ObjectEvent> log_;
  std::size_t log_bytes_ = 0;
};

}  // namespace dotterellug
