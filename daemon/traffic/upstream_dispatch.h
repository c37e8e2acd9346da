#pragma once

#include <memory>
#include <optional>

#include "core/core.h"
#include "daemon/state/shared_state.h"
#include "routing/routing.h"

namespace dotterellug {

// An upstream chosen for one attempt, with the count of the request on it.
struct Dispatch {
  UpstreamId upstream;
  UpstreamSlot slot = 0;
  UpstreamTarget target;
  InFlightGuard ticket;
  RoutingDecision decision;
};

// Chooses upstreams for the attempts of one request. Belongs to one traffic
// thread.
class UpstreamDispatch {
 public:
  explicit UpstreamDispatch(SharedState& state);

  // An engine for the request; the routing table in force decides.
  auto Engine(const RoutingRequest& request)
      -> tl::expected<Dispatch, NoUpstreamReason>;
  // An instance of a plain service.
  auto Service(const PoolId& pool, const std::vector<UpstreamId>& excluded)
      -> tl::expected<Dispatch, NoUpstreamReason>;
  // Whether an engine with the model could take a request now.
  auto HasCapacity(const ModelId& model) const -> bool;
  // Whether the upstream may still get work; false after it went down, began
  // to leave, or its availability zone was taken out.
  auto MayServe(UpstreamSlot slot) const -> bool;

 private:
  auto Begin(const RoutingTable& table, const RoutingDecision& decision,
             Tokens uncached) -> std::optional<Dispatch>;

  SharedState& state_;
  RoutingThreadState thread_state_;
};

}  // namespace dotterellug
