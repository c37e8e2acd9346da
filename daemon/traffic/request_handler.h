#pragma once

#include <memory>
#include <string>

#include "daemon/control/claim_service.h"
#include "daemon/state/shared_state.h"
#include "daemon/traffic/attempt_policy.h"
#include "daemon/traffic/budget_gate.h"
#include "daemon/traffic/service_call.h"

namespace dotterellug {

// The callers' interface: authenticates each request against the revision in
// force, charges its account and passes it on. Called from all traffic
// threads.
class RequestHandler {
 public:
  RequestHandler(SharedState& state, ChargeBudget charge_budget);

  auto Handle(const HttpRequest& request, const CallerConnection& caller)
      -> HttpResponse;
  // Claims calls that carry an Idempotency-Key; without it such calls run
  // unclaimed. Set before requests arrive.
  auto SetClaims(ClaimService* claims) -> void { claims_ = claims; }

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
  // Runs a call that may not be repeated under the claim of its key.
  auto RunClaimed(const HttpRequest& request, const CallerConnection& caller,
                  const RequestContext& context, ServiceRequest call,
                  std::string_view key) -> Outcome;
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
  ClaimService* claims_ = nullptr;
};

}  // namespace dotterellug
