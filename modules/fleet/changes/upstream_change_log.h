#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/core.h"
#include "core/ids/store_position.h"
#include "serving/fleet/upstream_view.h"

namespace dotterellug::fleet {

// Changes to the list of upstreams after a given position in the store.
struct UpstreamChanges {
  // Position that a reader has reached after applying these changes.
  StorePosition position;
  std::vector<serving::UpstreamRecord> changed;
  std::vector<UpstreamId> removed;
  // True if the requested position precedes the log. The reader has to read the
  // full list from the store.
  bool relist_required = false;
};

// A bounded log of changes to the list of upstreams. A daemon that watches the
// list in the store uses it to forward changes to daemons that do not watch it.
// Positions are those of the store, so a reader can switch between daemons; one
// of a later epoch is after all of an earlier one, whatever its revision. Not
// thread-safe.
class UpstreamChangeLog {
 public:
  // Records that the full list was read at `position`. The first call sets the
  // start of the log; earlier changes are not covered.
  auto OnFullListRead(StorePosition position) -> void;
  // Records a new or changed upstream.
  auto OnChanged(const serving::UpstreamRecord& record, StorePosition position)
      -> void;
  // Records the removal of an upstream.
  auto OnRemoved(const UpstreamId& id, StorePosition position) -> void;

  // Returns the first changes after `position`, limited to a small number of
  // upstreams so that the reply fits into a datagram; call again with the
  // returned position for the rest. Of several changes to one upstream only the
  // latest state is returned. Before the first OnFullListRead, returns no
  // changes and `position` unchanged.
  auto Since(StorePosition position) const -> UpstreamChanges;
  // Latest position recorded.
  auto Position() const -> StorePosition { return position_; }

 private:
  struct Change {
    StorePosition position;
    UpstreamId id;
    bool removed = false;
  };

  auto Append(Change change) -> void;

  // Positions before this one are not covered; 0 before the first
  // OnFullListRead.
  StorePosition oldest_position_;
  StorePosition position_;
  std::deque<Change> changes_;
  std::map<UpstreamId, serving::UpstreamRecord> records_;
};

}  // namespace dotterellug::fleet
