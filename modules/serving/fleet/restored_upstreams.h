#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/core.h"
#include "serving/fleet/upstream_view.h"

namespace dotterellug::serving {

struct RestoredUpstreamSettings {
  // An entry that was removed before a restore of the store and is in the list
  // again is used after it has stayed there for this time: three missed
  // heartbeats, after which the store drops the entry of a process that has
  // ended, and a margin. An unchanged entry is written without a new revision,
  // so nothing else shows that its process lives.
  Duration confirmation_time = std::chrono::milliseconds(5600);
  // A backup older than this is not expected, so that removals are forgotten.
  Duration memory = std::chrono::minutes(10);
  // Time after a restore within which upstreams that the backup lacks write
  // their entries again, as after an outage (ExpiredUpstreamRetention).
  Duration renewal_time = std::chrono::milliseconds(2000);
  // Removals that are remembered at most.
  std::size_t max_removed = 16'384;
};

// Judges the entries of upstreams that a store may have from an older backup. A
// process is known by its id and start time. One that was known to be leaving
// goes on leaving, whatever its entry says. One whose entry had been removed is
// not used at once when its entry is in the list again. One whose entry is
// missing after a restore is kept for a while.
class RestoredUpstreams {
 public:
  explicit RestoredUpstreams(RestoredUpstreamSettings settings = {})
      : settings_(settings) {}

  // The entry of an upstream has been read. `maybe_restored` is whether it may
  // come from a backup, because the upstream has not written it since the
  // store was restored. Returns the entry to use now; nothing if it is held
  // back.
  auto OnEntry(UpstreamRecord record, bool maybe_restored, Timestamp now)
      -> std::optional<UpstreamRecord>;
  // The next list is the first after a restore.
  auto OnRestored(Timestamp now) -> void;
  // The entry of an upstream in use is missing. Returns whether the upstream is
  // to be kept until TakeExpired returns it. An entry that is held back is
  // dropped.
  auto OnEntryMissing(const UpstreamId& id, Timestamp now) -> bool;
  // The same for all entries that are not in `listed`.
  auto OnListed(const std::set<UpstreamId>& listed) -> void;
  // An upstream that was in use has been removed.
  auto OnRemoved(const UpstreamRecord& record, Timestamp now) -> void;
  // Entries that were held back and have stayed in the list for long enough.
  auto TakeConfirmed(Timestamp now) -> std::vector<UpstreamRecord>;

  // Upstreams that were kept and have not written their entries in time.
  auto TakeExpired(Timestamp now) -> std::set<UpstreamId>;

  // Whether the upstreams in use are not those in the list for now.
  auto DiffersFromList() const -> bool {
    return !held_.empty() || !kept_.empty();
  }

 private:
  using Process = std::pair<UpstreamId, std::int64_t>;
  struct Held {
    UpstreamRecord record;
    Timestamp until;
  };

  auto Forget(Timestamp now) -> void;

  RestoredUpstreamSettings settings_;
  // Start times of the leaving processes of each upstream, the latest last.
  std::map<UpstreamId, std::deque<std::int64_t>> leaving_;
  std::map<Process, Timestamp> removed_;
  // The order in which they were removed.
  std::deque<std::pair<Timestamp, Process>> removals_;
  std::map<UpstreamId, Held> held_;
  std::set<UpstreamId> kept_;
  Timestamp kept_until_{};
};

}  // namespace dotterellug::serving
