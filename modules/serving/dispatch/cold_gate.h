#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "serving/fleet/live_upstream.h"

namespace dotterellug::serving {

// Limits what this daemon sends to cold upstreams. The rate that a cold
// upstream bears is divided among a few daemons, chosen by its id alike on all
// of them, so the sum holds without messages however large the fleet is.
class ColdGate {
 public:
  explicit ColdGate(InstanceId self) : self_(std::move(self)) {}

  auto SetMembers(std::vector<InstanceId> members) -> void;
  // Takes one request out of this daemon's part; false when it is used up or
  // this daemon has none. `per_second` is the rate for all daemons together.
  auto TryTake(const LiveUpstream& upstream, double per_second, Timestamp now)
      -> bool;
  // Drops what is kept about upstreams that have not been asked for lately.
  auto Sweep(Timestamp now) -> void;

 private:
  struct Bucket {
    double tokens = 1;
    Timestamp updated_at{};
  };

  auto Eligible(const UpstreamId& upstream) const -> bool;

  InstanceId self_;
  std::vector<InstanceId> members_;
  std::unordered_map<UpstreamId, Bucket> buckets_;
};

}  // namespace dotterellug::serving
