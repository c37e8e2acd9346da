#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/core.h"
#include "serving/fleet/live_upstream.h"

namespace dotterellug::fleet {

// Changes of the upstreams' list after some position of the store.
struct UpstreamNews {
  // The position up to which a reader that applies this has read.
  std::int64_t position = 0;
  std::vector<serving::UpstreamRecord> changed;
  std::vector<UpstreamId> removed;
  // The changes no longer reach back so far; the reader lists for itself.
  bool too_old = false;
};

// What a daemon that reads the platform's list of upstreams passes on to those
// that do not. Positions are the store's, so readers may change from one daemon
// to another.
class UpstreamJournal {
 public:
  // The list was read whole at `position`; earlier changes are not known.
  auto OnListed(std::int64_t position) -> void;
  auto OnChanged(const serving::UpstreamRecord& record, std::int64_t position)
      -> void;
  auto OnRemoved(const UpstreamId& id, std::int64_t position) -> void;

  // The first changes after `position`.
  auto Since(std::int64_t position) const -> UpstreamNews;
  auto Position() const -> std::int64_t { return position_; }

 private:
  struct Change {
    std::int64_t position = 0;
    UpstreamId id;
    bool removed = false;
  };

  auto Append(Change change) -> void;

  // Positions before this one are not covered.
  std::int64_t oldest_position_ = 0;
  std::int64_t position_ = 0;
  std::deque<Change> changes_;
  std::map<UpstreamId, serving::UpstreamRecord> records_;
};

}  // namespace dotterellug::fleet
