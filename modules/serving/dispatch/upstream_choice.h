#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/core.h"
#include "serving/fleet/upstream_table.h"

namespace dotterellug::serving {

// What the choice needs to know about a request.
struct ChoiceRequest {
  PoolId pool;
  ModelId model;
  AdapterId adapter;
  std::int64_t tokens = 0;
  // Hash of the shared prompt parts; 0 if none.
  std::uint64_t shared_prompt = 0;
  AvailabilityZoneId zone;
  // Upstreams that this request has been sent to.
  std::vector<UpstreamId> excluded;
};

// Facts about the pool.
struct ChoicePool {
  // Tokens that an engine's memory holds; 0 for plain services.
  std::int64_t kv_tokens = 0;
  // Requests beyond its slots that may wait at an upstream, as a part of the
  // slots.
  double queue_part = 1.0;
};

enum class NoChoice {
  kNoUpstream,  // the pool has no upstream that may get work
  kNoModel,     // none of them holds the model or the adapter
  kFull,        // those that could are full, cold or were tried
};

// Picks the upstream with the shortest expected wait among those that may get
// the request. Daemons decide alone on reports that lag; a random part of each
// cost keeps them from picking the same upstream on the same report.
class UpstreamChoice {
 public:
  // Whether an upstream that is cold may get one more request now.
  using ColdStartAdmission = std::function<bool(const LiveUpstream&)>;

  auto Choose(const UpstreamTable& table, const ChoiceRequest& request,
              const ChoicePool& pool, const ColdStartAdmission& admit_cold,
              Random& random, Timestamp now) const
      -> tl::expected<UpstreamTable::Entry, NoChoice>;

  // Expected wait at one upstream in units of a full batch.
  static auto Cost(const LiveUpstream& upstream, const ChoiceRequest& request,
                   const ChoicePool& pool) -> double;
};

}  // namespace dotterellug::serving
