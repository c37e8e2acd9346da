#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "serving/fleet/upstream_view.h"

namespace dotterellug::serving {

// Rate limiter for requests from this daemon to cold (recently started)
// upstreams. The rate that a cold upstream can handle is divided among at most
// eight daemons. All daemons select the same ones by rendezvous hashing of the
// upstream's id, so the fleet-wide rate holds without communication, however
// large the fleet is.
class ColdStartLimiter {
 public:
  explicit ColdStartLimiter(InstanceId self) : self_(std::move(self)) {}

  // Sets the live daemons of the fleet, including this one.
  auto SetMembers(std::vector<InstanceId> members) -> void;
  // Takes one request from this daemon's share of the rate; false if the share
  // is used up or this daemon has none. `per_second` is the rate of all daemons
  // together.
  auto TryAcquire(const UpstreamView& upstream, double per_second,
                  Timestamp now) -> bool;
  // Drops the state of upstreams that have had no requests for 30 s.
  auto Sweep(Timestamp now) -> void;

 private:
  // Token bucket with a capacity of 1.
  struct Bucket {
    double tokens = 1;
    Timestamp updated_at{};
  };

  // Whether this daemon is one of those that share the rate of the upstream.
  auto Eligible(const UpstreamId& upstream) -> bool;
  auto RanksAmongSenders(const UpstreamId& upstream) const -> bool;

  InstanceId self_;
  std::vector<InstanceId> members_;
  std::unordered_map<UpstreamId, Bucket> buckets_;
  // Results of RanksAmongSenders, which hashes the ids of all daemons, until
  // the members change.
  std::unordered_map<UpstreamId, bool> eligible_;
};

}  // namespace dotterellug::serving
