#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/core.h"
#include "fleet/member/fleet_member.h"

namespace dotterellug::fleet {

// Waiting times of CopyFetchPlanner.
struct CopyFetchOptions {
  // A daemon that is behind first gives the store this long to answer it. Most
  // reads of the store end sooner.
  Duration patience = std::chrono::milliseconds(300);
  // Pause after a fetch that brought nothing newer; doubles up to the longest
  // one.
  Duration first_pause = std::chrono::milliseconds(60);
  Duration longest_pause = std::chrono::milliseconds(120);
};

// Decides when a daemon asks another one for its copy of a list that is kept in
// the store, and which one. Pattern: the store serves most daemons and turns
// some away, or a zone's hub cannot read it. A daemon that learns from its hub
// that others have read a change, and cannot read it itself, gets it from a
// random daemon, mostly one of its own availability zone. The daemons asked
// differ, so no single one has to answer all. Not thread-safe.
class CopyFetchPlanner {
 public:
  CopyFetchPlanner(InstanceId self, AvailabilityZoneId zone, std::uint64_t seed,
                   CopyFetchOptions options = {})
      : self_(std::move(self)),
        zone_(std::move(zone)),
        options_(options),
        random_(seed) {}

  // Sets the daemons registered in the store.
  auto SetMembers(const std::vector<RegisteredDaemon>& members) -> void;
  // Returns the daemon to ask now for the list with number `list`; nothing if
  // none is to be asked yet. `behind_since` is when this daemon learned that it
  // is behind, or nothing if it is not. A fetch is under way until OnEnded.
  auto Next(std::size_t list, std::optional<Timestamp> behind_since,
            Timestamp now) -> std::optional<InstanceId>;
  // The fetch has ended, with a newer copy or without.
  auto OnEnded(std::size_t list, bool newer, Timestamp now) -> void;

 private:
  struct Fetch {
    bool under_way = false;
    // Fetches since the last one that brought a newer copy.
    std::int64_t vain = 0;
    Timestamp not_before{};
  };

  auto Choose(std::int64_t vain) -> std::optional<InstanceId>;

  InstanceId self_;
  AvailabilityZoneId zone_;
  CopyFetchOptions options_;
  Random random_;
  // Without this daemon.
  std::vector<InstanceId> in_zone_;
  std::vector<InstanceId> all_;
  std::map<std::size_t, Fetch> fetches_;
};

}  // namespace dotterellug::fleet
