#pragma once

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

#include "daemon/control/command_sender.h"
#include "daemon/control/placement_lease_keeper.h"
#include "daemon/control/upstream_monitor.h"
#include "daemon/state/published.h"
#include "document/document.h"
#include "placement/placement.h"
#include "store/store.h"
#include "telemetry/telemetry.h"

namespace dotterellug {

// Runs the placement owner's part when this daemon holds the lease: plans what
// each engine should hold and brings the engines there. Every daemon runs one;
// those without the lease only watch it. Thread-safe.
class PlacementService {
 public:
  PlacementService(const MemberId& self, std::unique_ptr<ObjectStore> store,
                   Metrics& metrics);
  PlacementService(const PlacementService&) = delete;
  auto operator=(const PlacementService&) -> PlacementService& = delete;
  ~PlacementService();

  auto SetDocument(const SharedSnapshot& snapshot) -> void;
  auto OnObservation(const UpstreamObservation& observation) -> void;
  auto SetLeaving(std::set<UpstreamId> leaving) -> void;
  auto OnDemand(const ModelDemandReport& report) -> void;
  auto IsOwner() const -> bool { return is_owner_; }
  // The owner, for demand reports; absent while none is known.
  auto Owner() -> std::optional<MemberId>;

 private:
  auto Run() -> void;
  auto Work(const OwnerLease& lease) -> void;
  auto StartTerm(const OwnerLease& lease, Timestamp now) -> void;
  auto FeedReports(const ServingDocument& document, Timestamp now) -> void;
  auto Plan(const ServingDocument& document, Timestamp now) -> void;
  auto PlanInputOf(const ServingDocument& document, Timestamp now) -> PlanInput;
  auto CarryOut(const ServingDocument& document, const PlacementAction& action)
      -> void;
  auto Authorize(const EngineCommand& command) -> bool;

  MemberId self_;
  std::unique_ptr<ObjectStore> store_;
  Metrics& metrics_;
  PlacementLeaseKeeper keeper_;
  Published<ServingSnapshot> snapshot_;

  std::mutex mutex_;
  std::map<UpstreamId, UpstreamObservation> seen_;
  std::set<UpstreamId> leaving_;
  DemandEstimator demand_;
  std::optional<MemberId> owner_;
  std::optional<OwnerLease> lease_;
  std::unique_ptr<PlacementReconciler> reconciler_;
  std::unique_ptr<Planner> planner_;
  Term planned_term_;
  Timestamp planned_at_;
  std::atomic<bool> is_owner_{false};
  std::atomic<bool> stopping_{false};
  std::unique_ptr<CommandSender> sender_;
  std::thread thread_;
};

}  // namespace dotterellug
