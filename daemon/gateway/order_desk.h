#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"
#include "daemon/gateway/control_link.h"
#include "daemon/gateway/fleet_node.h"
#include "daemon/gateway/gateway_context.h"
#include "placement/copies/adapter_planner.h"
#include "placement/copies/copy_planner.h"
#include "placement/copies/requested_adapters.h"
#include "placement/lease/contention_delay.h"
#include "placement/lease/order_lease.h"
#include "placement/orders/unanswered_orders.h"

namespace dotterellug::gateway {

// Holds or contends for the right to order loads, and while it holds it brings
// the engines to what the planners decide. What an engine holds is read from
// the engine itself, so a new holder needs nothing from the one before.
class OrderDesk {
 public:
  OrderDesk(GatewayContext& context, FleetNode& fleet,
            std::shared_ptr<ControlLink> link);

  // Call about every 100 ms.
  auto Tick() -> void;
  // For a planned stop: gives the right up after `time`. Until then a holder
  // goes on ordering, since a successor may order only a lease TTL later.
  auto Stop(Duration time) -> void;
  // Whether the right is given up and the store knows, as far as it answers.
  auto Stopped() const -> bool { return lease_.Stopped(); }
  // Another daemon holds the lease and told the position of its last write.
  auto OnLeaseAnnounced(StorePosition position) -> void {
    lease_.OnRenewalAnnounced(position, SuspendAwareNow());
  }
  // The store is in this epoch.
  auto OnStoreEpoch(StoreEpoch epoch) -> void { lease_.OnStoreEpoch(epoch); }
  // The fencing number for a call to the platform now; nothing if this daemon
  // must make none.
  auto FenceForDuty() const -> std::optional<std::int64_t> {
    return lease_.FenceForOrder(SuspendAwareNow());
  }
  // Whether another process may have held the lease before this daemon did.
  auto HadPredecessor() const -> bool { return lease_.HadPredecessor(); }
  // The platform has seen a higher fencing number than `fence`. Says nothing
  // about a right that was acquired since.
  auto OnDutyFenced(std::int64_t fence) -> void {
    if (FenceForDuty().value_or(fence) == fence) lease_.OnFenced();
  }
  // Whether this daemon holds the right to order now.
  auto Leading() const -> bool { return leading_; }

 private:
  // A weight order that the engine has accepted and not finished.
  struct WeightOrder {
    bool load = true;
    ModelId model;
    Timestamp poll_at;
    Timestamp give_up_at;
  };
  // An engine as the holder of orders knows it.
  struct Engine {
    serving::UpstreamTable::Entry upstream;
    // Whether `held` and `sequence` were read since anything was in doubt.
    bool known = false;
    bool reading = false;
    Timestamp read_after{};
    std::int64_t sequence = 0;
    std::map<ModelId, std::set<AdapterId>> held;
    bool order_pending = false;
    UnansweredOrders::Number pending_order = 0;
    std::optional<WeightOrder> weight_order;
    // A model that daemons stop sending to before it is unloaded.
    std::optional<ModelId> closing;
    Timestamp closed_at{};
    // Daemons could not reach it and it gave no report; its copies do not count
    // until then.
    Timestamp dead_until{};
    // When models were loaded by this holder.
    std::map<ModelId, Timestamp> loaded_at;
  };

  using Demand = std::map<ModelId, fleet::FleetHub::TotalDemand>;

  auto StepLease(Timestamp now) -> void;
  auto Contends(Timestamp now) const -> bool;
  auto OnLeaseRead(const Result<std::optional<OrderLeaseRecord>>& result)
      -> void;
  auto OnLeaseWritten(const Result<StorePosition>& result) -> void;
  auto SetLeading(bool leading) -> void;
  auto AnnounceNewFence() -> void;

  // Notes the processes of all engines.
  auto WatchEngines(Timestamp now) -> void;
  auto RefreshEngines(Timestamp now) -> void;
  auto ReadEngine(Engine& engine, Timestamp now) -> void;
  auto OnEngineRead(const UpstreamId& id, const Result<EngineState>& state)
      -> void;
  auto Plan(Timestamp now) -> void;
  auto PlanCopies(const serving::ServicePool& pool, const Demand& demand,
                  Timestamp now) -> void;
  auto PlanAdapterCopies(const serving::ServicePool& pool, const Demand& demand,
                         Timestamp now) -> void;
  auto Apply(const CopyOrder& step, const serving::EngineCapacity& engines,
             Timestamp now) -> void;
  // Sends the order, or one that has to go before it. Returns whether one was
  // sent.
  auto SendOrder(Engine& engine, bool load, const ModelId& model,
                 const AdapterId& adapter, Duration expected) -> bool;
  auto OnOrderReply(const EngineOrder& order, UnansweredOrders::Number number,
                    Duration expected, OrderOutcome outcome) -> void;
  auto StoreLoads(double per_second, Timestamp now) -> std::int64_t;
  auto Publish(Timestamp now) -> void;
  auto RemoveSilentMembers(Timestamp now) -> void;

  GatewayContext& context_;
  FleetNode& fleet_;
  std::shared_ptr<ControlLink> link_;
  OrderLease lease_;
  UnansweredOrders unanswered_;
  Timestamp watched_at_{};
  CopyPlanner planner_;
  RequestedAdapters wanted_adapters_;
  fleet::ModelAnnouncements announcements_;
  bool leading_ = false;
  // The fencing number that was last told to other daemons as the holder's.
  std::int64_t announced_fence_ = 0;
  Timestamp started_at_;
  Timestamp leading_since_{};
  Timestamp planned_at_{};
  std::map<UpstreamId, Engine> engines_;
  // Loads from the weight store that may begin; refills at the store's rate.
  double store_credit_ = 0;
  Timestamp store_credit_at_{};
};

}  // namespace dotterellug::gateway
