#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/core.h"
#include "serving/backpressure/backpressure_table.h"
#include "serving/fleet/upstream_view.h"

namespace dotterellug::serving {

// All upstreams that this daemon may use, and the disabled zones.
class UpstreamTable {
 public:
  using Entry = std::shared_ptr<UpstreamView>;

  // Adds or updates an upstream. A record with another start time, address or
  // pool denotes a new process; its entry replaces the old one and starts with
  // zero counts.
  auto Upsert(const UpstreamRecord& record, Timestamp now) -> void;
  // Removes an upstream; requests in flight keep their entry.
  auto Remove(const UpstreamId& id) -> void;
  auto SetDisabledZones(std::set<AvailabilityZoneId> zones) -> void {
    disabled_zones_ = std::move(zones);
  }

  auto Find(const UpstreamId& id) const -> Entry;
  auto InPool(const PoolId& pool) const -> const std::vector<Entry>&;
  auto All() const -> const std::unordered_map<UpstreamId, Entry>& {
    return upstreams_;
  }
  // Whether new requests may be sent to the upstream.
  auto Usable(const UpstreamView& upstream) const -> bool;
  // Records the work factor of an upstream; `at` is when a response stated it.
  // Returns false if a later one is known.
  auto ObserveWorkFactor(UpstreamView& upstream, double factor, Timestamp at)
      -> bool;
  // Takes what another daemon knows of an upstream's work factor, as of `at`.
  auto AdoptWorkFactor(UpstreamView& upstream, const SharedWorkFactor& fact,
                       Timestamp at) -> void;
  // How many upstreams have a known work factor, and how many of them are
  // expected to take more than 1.5 times as long as usual now.
  struct WorkFactorCounts {
    std::int64_t known = 0;
    std::int64_t slow = 0;
  };
  auto CountWorkFactors(Timestamp now) const -> WorkFactorCounts;
  // Whether an upstream of the pool has stated its work factor.
  auto StatesWorkFactors(const PoolId& pool) const -> bool {
    return pools_with_factors_.count(pool) > 0;
  }
  // What upstreams have asked for in their answers.
  auto Backpressure() -> BackpressureTable& { return backpressure_; }
  auto Backpressure() const -> const BackpressureTable& {
    return backpressure_;
  }
  auto ZoneDisabled(const AvailabilityZoneId& zone) const -> bool {
    return disabled_zones_.count(zone) > 0;
  }

 private:
  auto RemoveFromPool(const Entry& entry) -> void;

  std::unordered_map<UpstreamId, Entry> upstreams_;
  std::unordered_map<PoolId, std::vector<Entry>> by_pool_;
  std::unordered_set<PoolId> pools_with_factors_;
  std::set<AvailabilityZoneId> disabled_zones_;
  BackpressureTable backpressure_;
};

}  // namespace dotterellug::serving
