#pragma once

#include <string>
#include <vector>

#include "core/ids/ids.h"

namespace dotterellug {

// One object as read from the object API.
struct ObjectRecord {
  std::string name;
  // Version of this object; use it as the condition of the next update.
  ObjectVersion version;
  std::string value;
};

// One change seen by a watch.
struct ObjectEvent {
  std::string name;
  ObjectVersion version;
  std::string value;
  bool deleted = false;
};

// Position in the store's sequence of changes, for resuming a watch.
using WatchPosition = StrongInteger<struct WatchPositionTag>;

// The changes under a prefix after a position, and the position that follows.
struct WatchResult {
  WatchPosition position;
  std::vector<ObjectEvent> events;
};

// The objects under a prefix, and the position from which to watch them.
struct ListResult {
  WatchPosition position;
  std::vector<ObjectRecord> objects;
};

// Largest value the object API accepts.
inline constexpr Bytes kMaxObjectBytes{1'000'000};

// Condition that an object does not exist yet.
inline constexpr ObjectVersion kAbsent{0};

}  // namespace dotterellug
