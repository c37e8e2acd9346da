#pragma once

#include <memory>
#include <string>
#include <vector>

#include "routing/routing.h"

namespace dotterellug {

inline auto At(std::int64_t milliseconds) -> Timestamp {
  return Timestamp(std::chrono::milliseconds(milliseconds));
}

// Builder of a serving document and the matching upstream statuses.
struct Fleet {
  ServingDocument document;
  std::vector<UpstreamStatus> statuses;

  auto AddZone(const std::string& zone, bool out) -> void {
    const AvailabilityZoneId id(zone);
    document.zones[id] = AvailabilityZone{id, out};
  }
  auto AddUpstream(const std::string& name, const std::string& zone,
                   std::vector<ModelId> models,
                   UpstreamState state = UpstreamState::kLive)
      -> UpstreamStatus& {
    Upstream upstream;
    upstream.id = UpstreamId(name);
    upstream.zone = AvailabilityZoneId(zone);
    upstream.pool = PoolId("pool");
    upstream.kind =
        models.empty() ? UpstreamKind::kService : UpstreamKind::kEngine;
    document.upstreams[upstream.id] = upstream;
    UpstreamStatus status;
    status.id = upstream.id;
    status.state = state;
    status.models = std::move(models);
    status.concurrency_limit = 1000;
    statuses.push_back(status);
    return statuses.back();
  }
  auto Build(const RoutingTable* previous = nullptr) const
      -> std::shared_ptr<const RoutingTable> {
    RoutingInputs inputs;
    inputs.document = &document;
    inputs.statuses = statuses;
    return RoutingTable::Build(inputs, previous);
  }
};

inline auto RequestFor(const std::string& model, std::int64_t tokens = 1024)
    -> RoutingRequest {
  RoutingRequest request;
  request.model = ModelId(model);
  request.prompt_tokens = Tokens(tokens);
  return request;
}

inline auto AllPolicies() -> std::vector<RoutingPolicy> {
  return {ExpectedCost{},      RandomChoice{},     RoundRobin{},
          PowerOfTwoChoices{}, LeastOutstanding{}, BoundedLoadHash{}};
}

}  // namespace dotterellug
