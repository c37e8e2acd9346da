#pragma once

#include <map>
#include <memory>
#include <set>

#include "core/core.h"
#include "daemon/control/upstream_monitor.h"
#include "document/document.h"
#include "placement/ramp/cold_start_ramp.h"
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
  // This daemon's part of each upstream's cold-start allowance.
  auto SetShare(PartsPerMillion share) -> void { share_ = share; }

  auto BuildTable(const RoutingTable* previous) const
      -> std::shared_ptr<const RoutingTable>;
  auto Ramp() -> ColdStartRamp& { return ramp_; }
  auto UpCount() const -> std::int64_t;

 private:
  struct Seen {
    bool up = false;
    Timestamp answered_at;
    Incarnation incarnation;
    std::vector<ModelId> models;
    std::vector<AdapterId> adapters;
  };

  SharedSnapshot snapshot_;
  std::map<UpstreamId, Seen> seen_;
  std::set<UpstreamId> leaving_;
  ColdStartRamp ramp_;
  PartsPerMillion share_ = kWhole;
};

}  // namespace dotterellug
