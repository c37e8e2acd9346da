#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/state/shared_state.h"
#include "daemon/traffic/attempt_policy.h"
#include "daemon/traffic/upstream_dispatch.h"

namespace dotterellug {

// A call to a plain service, with what its route allows.
struct ServiceRequest {
  PoolId pool;
  std::string method;
  // Path at the service, with the query.
  std::string url;
  std::vector<UpstreamHeader> headers;
  std::string body;
  // Whether the call may be repeated after a doubt.
  bool idempotent = false;
};

// Passes one call to an instance of a plain service. An idempotent call is
// repeated on another instance. Any other call is sent once, on a connection
// of its own, and repeated only when it certainly did not run.
class ServiceCall {
 public:
  ServiceCall(SharedState& state, RequestContext context,
              ServiceRequest request, CallerConnection caller);

  auto Run() -> tl::expected<HttpResponse, RequestFailure>;

 private:
  auto Attempt() -> tl::expected<HttpResponse, RequestFailure>;
  auto ReadWhole(UpstreamExchange& exchange, const UpstreamHead& head)
      -> tl::expected<HttpResponse, RequestFailure>;
  auto BuildCall(const UpstreamTarget& target) const -> UpstreamCall;

  SharedState& state_;
  RequestContext context_;
  ServiceRequest request_;
  CallerConnection caller_;
  UpstreamDispatch dispatcher_;
  std::vector<UpstreamId> excluded_;
  int attempts_ = 0;
};

}  // namespace dotterellug
