#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "serving/fleet/live_upstream.h"

namespace dotterellug::serving {

// All upstreams that this daemon may use, and the zones that are taken out.
class UpstreamTable {
 public:
  using Entry = std::shared_ptr<LiveUpstream>;

  // Takes a record in. A process with another start time replaces the one with
  // the same id, whose counts are of no more use.
  auto Upsert(const UpstreamRecord& record, Timestamp now) -> void;
  // The upstream is gone; requests in flight keep their entry.
  auto Remove(const UpstreamId& id) -> void;
  auto SetZonesOut(std::set<AvailabilityZoneId> zones) -> void {
    disabled_zones_ = std::move(zones);
  }

  auto Find(const UpstreamId& id) const -> Entry;
  auto InPool(const PoolId& pool) const -> const std::vector<Entry>&;
  auto All() const -> const std::unordered_map<UpstreamId, Entry>& {
    return upstreams_;
  }
  // Whether new work may be sent there.
  auto Usable(const LiveUpstream& upstream) const -> bool;
  auto ZoneDisabled(const AvailabilityZoneId& zone) const -> bool {
    return disabled_zones_.count(zone) > 0;
  }

 private:
  auto RemoveFromPool(const Entry& entry) -> void;

  std::unordered_map<UpstreamId, Entry> upstreams_;
  std::unordered_map<PoolId, std::vector<Entry>> by_pool_;
  std::set<AvailabilityZoneId> disabled_zones_;
};

}  // namespace dotterellug::serving
