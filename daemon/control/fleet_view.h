#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>

#include "core/core.h"
#include "daemon/control/upstream_monitor.h"
#include "document/document.h"
#include "routing/routing.h"

namespace dotterellug {

// What this daemon knows of the upstreams. Used by the control thread only;
// from observations and the document it builds the routing tables that traffic
// reads. Pure: time comes in with each call.
class FleetView {
 public:
  // An upstream that has not answered for this long gets no new work. Two
  // missed polls of 250 ms with 500 ms time limit fit in.
  static constexpr Duration kSilenceLimit = std::chrono::milliseconds(1600);

  // Takes over the upstreams of a document.
  auto SetSnapshot(const SharedSnapshot& snapshot) -> void;
  // Returns true when the routing table must be built anew.
  auto Observe(const UpstreamObservation& observation, Timestamp now) -> bool;
  // Upstreams that the instance list calls leaving. Returns true on a change.
  auto SetLeaving(std::set<UpstreamId> leaving) -> bool;
  // Upstreams whose last answer is too old go down. Returns true on a change.
  auto Expire(Timestamp now) -> bool;
  // The live daemons, among which each upstream's allowance is divided, and
  // which of them this one is. Returns true on a change.
  auto SetDaemons(const InstanceId& self, std::set<InstanceId> daemons) -> bool;
  // Requests that an upstream bears from all daemons together now: its cold
  // concurrency at first, doubled each time as many responses are complete.
  // Every daemon derives it from the upstream's own reports. An upstream that
  // states neither that it is cold nor how much it completed counts as warm.
  auto ConcurrencyLimit(const UpstreamId& upstream) const -> std::int64_t;
  // This daemon's part; over all daemons with the same view the parts add up to
  // the allowance.
  auto PartOf(const UpstreamId& upstream) const -> std::int64_t;

  auto BuildTable(const RoutingTable* previous) const
      -> std::shared_ptr<const RoutingTable>;
  auto UpCount() const -> std::int64_t;

 private:
  struct Seen {
    bool up = false;
    Timestamp answered_at;
    Incarnation incarnation;
    std::optional<bool> cold;
    std::optional<std::int64_t> completed;
    std::vector<ModelId> models;
    std::vector<AdapterId> adapters;
  };

  SharedSnapshot snapshot_;
  std::map<UpstreamId, Seen> seen_;
  std::set<UpstreamId> leaving_;
  InstanceId self_;
  std::set<InstanceId> daemons_;
};

}  // namespace dotterellug
