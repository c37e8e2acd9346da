#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/ids/ids.h"
#include "core/time/time.h"

namespace dotterellug {

// State of an upstream according to the instance list and its own responses.
// Only a live upstream receives new requests.
enum class UpstreamState { kLive, kDraining, kDown };

// The phases of a request that an engine runs.
enum class EngineRole { kBoth, kPrefill, kDecode };

// Load report of an upstream. `measured_at` is the local time of receipt minus
// the age stated in the report. Plain services leave the token fields at 0.
struct LoadReport {
  Timestamp measured_at;
  std::int64_t waiting_requests = 0;
  // Uncached prompt tokens that are waiting for prefill.
  Tokens waiting_tokens;
  std::int64_t running_requests = 0;
  // Prefill speed. 0 if the report does not state it; the previous value is
  // kept then.
  double prefill_tokens_per_ms = 0;
};

// State of one upstream as the control thread last saw it, an input of the next
// RoutingTable. Upstreams of the serving document without a status receive no
// requests.
struct UpstreamStatus {
  UpstreamId id;
  UpstreamState state = UpstreamState::kDown;
  EngineRole role = EngineRole::kBoth;
  std::vector<ModelId> models;
  std::vector<AdapterId> adapters;
  // Concurrency limit: the maximum number of requests in flight from this
  // daemon. If it is not set, an upstream that is new in the table starts with
  // Upstream::cold_concurrency, the limit for a recently started upstream, and
  // a known one keeps its limit.
  std::optional<std::int64_t> concurrency_limit;
};

}  // namespace dotterellug
