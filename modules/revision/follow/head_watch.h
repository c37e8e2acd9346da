#pragma once

#include <optional>

#include "revision/model/revision.h"
#include "store/port/object_store.h"

namespace dotterellug {

// Follows kHeadObject in the store, for the daemons that read it for their
// availability zone. Not thread-safe.
class HeadWatch {
 public:
  explicit HeadWatch(ObjectStore store) : store_(std::move(store)) {}

  // Waits up to `max_wait` for a change; the first call, and the one after a
  // compacted watch, read the present head without waiting. Empty when nothing
  // changed. Every success proves that the store answers. The revision may be
  // older than one seen before; RevisionFollower ignores it then.
  auto Next(Duration max_wait) -> Result<std::optional<RevisionRef>>;

 private:
  auto ListHead() -> Result<std::optional<RevisionRef>>;

  ObjectStore store_;
  std::optional<WatchPosition> position_;
};

}  // namespace dotterellug
