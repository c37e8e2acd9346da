#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/core.h"
#include "serving/fleet/live_upstream.h"

namespace dotterellug::fleet {

// Changes to the list of upstreams after a given store position.
struct UpstreamNews {
  // Position that a reader has reached after applying these changes.
  std::int64_t position = 0;
  std::vector<serving::UpstreamRecord> changed;
  std::vector<UpstreamId> removed;
  // Whether the log does not cover the requested position. The reader has to
  // read the full list from the store.
  bool too_old = false;
};

// A bounded log of changes to the list of upstreams, through which a daemon
// that reads the list from the store serves daemons that do not. Positions are
// those of the store, so a reader can switch between daemons. Not thread-safe.
class UpstreamJournal {
 public:
  // Records that the full list was read at `position`. Earlier changes are not
  // covered.
  auto OnListed(std::int64_t position) -> void;
  // Records a new or changed upstream.
  auto OnChanged(const serving::UpstreamRecord& record, std::int64_t position)
      -> void;
  // Records the removal of an upstream.
  auto OnRemoved(const UpstreamId& id, std::int64_t position) -> void;

  // Returns the first changes after `position`, limited to a small number of
  // upstreams so that the reply fits into a datagram; call again with the
  // returned position for the rest. Of several changes to one upstream only the
  // latest state is returned. Empty before the first list.
  auto Since(std::int64_t position) const -> UpstreamNews;
  // Latest position recorded.
  auto Position() const -> std::int64_t { return position_; }

 private:
  struct Change {
    std::int64_t position = 0;
    UpstreamId id;
    bool removed = false;
  };

  auto Append(Change change) -> void;

  // Positions before this one are not covered; 0 before the first list.
  std::int64_t oldest_position_ = 0;
  std::int64_t position_ = 0;
  std::deque<Change> changes_;
  std::map<UpstreamId, serving::UpstreamRecord> records_;
};

}  // namespace dotterellug::fleet
