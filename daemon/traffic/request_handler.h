#pragma once

#include <memory>
#include <string>

#include "daemon/state/shared_state.h"
#include "daemon/traffic/attempt_policy.h"
#include "daemon/traffic/budget_gate.h"

namespace dotterellug {

// The callers' interface: authenticates each request against the revision in
// force, charges its account and passes it on. Called from all traffic
// threads.
class RequestHandler {
 public:
  RequestHandler(SharedState& state, ChargeBudget charge_budget);

  auto Handle(const HttpRequest& request, const CallerConnection& caller)
      -> HttpResponse;

 private:
  using Outcome = tl::expected<HttpResponse, RequestFailure>;

  auto Dispatch(const HttpRequest& request, const CallerConnection& caller,
                const RequestId& id) -> Outcome;
  auto HandleCompletion(const HttpRequest& request,
                        const CallerConnection& caller, RequestContext context,
                        const ServingSnapshot& snapshot) -> Outcome;
  auto HandleService(const HttpRequest& request, const CallerConnection& caller,
                     const RequestId& id, const ServingSnapshot& snapshot)
      -> Outcome;
  auto ListModels(const ServingSnapshot& snapshot, const RequestId& id) const
      -> HttpResponse;
  auto Authenticate(const HttpRequest& request, const RequestId& id,
                    const ServingSnapshot& snapshot) const
      -> tl::expected<RequestContext, RequestFailure>;
  // Class and deadline from the headers, or the defaults.
  auto ReadOptions(const HttpRequest& request, const ServingSnapshot& snapshot,
                   RequestContext& context) const
      -> std::optional<RequestFailure>;

  SharedState& state_;
  ChargeBudget charge_budget_;
};

}  // namespace dotterellug
