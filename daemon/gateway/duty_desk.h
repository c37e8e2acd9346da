#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"
#include "daemon/gateway/control_link.h"
#include "daemon/gateway/fleet_node.h"
#include "daemon/gateway/gateway_context.h"
#include "daemon/gateway/order_desk.h"
#include "placement/scaling/scaling_planner.h"

namespace dotterellug::gateway {

// Makes the calls to the platform that are the duty of one daemon at a time,
// while this daemon holds the order lease. What is called for is decided in
// modules/spend and modules/placement; this class carries it out, one call at a
// time and within the rate that the platform accepts.
class DutyDesk {
 public:
  DutyDesk(GatewayContext& context, FleetNode& fleet, OrderDesk& orders,
           std::shared_ptr<ControlLink> link);

  // Call about every 100 ms.
  auto Tick() -> void;
  // States what this daemon has reported and ordered.
  auto SetLevels() -> void;

 private:
  // The number of engines that was last planned for a subject, and what is
  // known of its call.
  struct Scale {
    std::int64_t desired = 0;
    bool taken = false;
    Timestamp retry_at{};
    // When calls with other numbers, which got no answer, will have been
    // carried out or never will be. The number is then ordered once more.
    std::optional<Timestamp> superseded_at;
    // Whether a call with `desired` got no answer.
    bool uncertain = false;
  };

  // The fencing number for a call now; nothing if this daemon must make none.
  auto Fence() const -> std::optional<std::int64_t>;
  auto StepUsage(Timestamp now) -> void;
  auto Do(const ReadUsageReports& action) -> void;
  auto Do(const WriteUsageReports& action) -> void;
  auto Do(const SendUsageReport& action) -> void;
  auto PlanScaling(Timestamp now) -> void;
  // What the planner needs to know of a pool in each of its zones.
  auto ScalingStates(const serving::ServicePool& pool, Timestamp now)
      -> std::vector<ScalingState>;
  // Sends the next order that is due.
  auto SendScaleOrder(Timestamp now) -> void;
  auto OnScaleReply(const ScalingSubject& subject, std::int64_t desired,
                    DutyOutcome outcome) -> void;
  // Whether the rate allows a call now.
  auto MayCall(Timestamp now) const -> bool { return now >= call_due_; }
  // A call is made now.
  auto NoteCall(Timestamp now) -> void;
  // Logs and counts the outcome of a call made under `fence`, and learns from
  // it.
  auto OnOutcome(const char* duty, const std::string& subject,
                 std::int64_t fence, DutyOutcome outcome) -> void;
  auto LogStoreFailure(const char* call, const Error& error) -> void;

  GatewayContext& context_;
  FleetNode& fleet_;
  OrderDesk& orders_;
  std::shared_ptr<ControlLink> link_;
  ScalingPlanner planner_;
  Timestamp planned_at_{};
  std::map<ScalingSubject, Scale> scales_;
  // Subjects whose number has been stated in the metrics.
  std::set<ScalingSubject> stated_;
  bool scale_in_progress_ = false;
  // Zones in which engines of a pool were seen.
  std::map<PoolId, std::set<AvailabilityZoneId>> zones_;
  bool holder_ = false;
  Timestamp holder_since_{};
  // When the rate allows the next call.
  Timestamp call_due_{};
  // The highest fencing number with which a call was refused. No call is made
  // with it again.
  std::int64_t refused_fence_ = 0;
};

}  // namespace dotterellug::gateway
