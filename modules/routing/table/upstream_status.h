#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/ids/ids.h"
#include "core/time/time.h"

namespace dotterellug {

// What the instance list and the upstream's own answers say about it. Only a
// live upstream gets new work.
enum class UpstreamState { kLive, kLeaving, kDown };

// Which phases of a request an engine runs.
enum class EngineRole { kBoth, kPrefill, kDecode };

// One load report of an upstream. `measured_at` is the local receive time less
// the age that the report states. Plain services leave the token fields at 0.
struct LoadReport {
  Timestamp measured_at;
  std::int64_t waiting_requests = 0;
  // Prompt tokens whose prefill has not been done, without cached ones.
  Tokens waiting_tokens;
  std::int64_t running_requests = 0;
  // Prefill speed; 0 if not stated, which keeps the earlier value.
  double prefill_tokens_per_ms = 0;
};

// The state of one upstream as the control thread knows it, for the next
// RoutingTable. Upstreams of the document without a status get no work.
struct UpstreamStatus {
  UpstreamId id;
  UpstreamState state = UpstreamState::kDown;
  EngineRole role = EngineRole::kBoth;
  std::vector<ModelId> models;
  std::vector<AdapterId> adapters;
  // This daemon's part of the admissible requests in flight. Without a value an
  // upstream that was not known before starts with its cold concurrency, and a
  // known one keeps its allowance.
  std::optional<std::int64_t> allowance;
};

}  // namespace dotterellug
