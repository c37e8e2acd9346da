#pragma once

#include <map>
#include <set>
#include <utility>

#include "core/core.h"

namespace dotterellug {

// Remembers adapters that were requested while no engine had them loaded.
// Loading one into a full engine takes two orders, an unload and a load. A
// request is kept until after the load order; if it were dropped after the
// unload, another adapter would take the freed slot.
class RequestedAdapters {
 public:
  using Adapter = std::pair<ModelId, AdapterId>;

  // `ttl` is how long an adapter counts as requested after its last request.
  explicit RequestedAdapters(Duration ttl) : ttl_(ttl) {}

  // Records a request for `adapter`.
  auto OnRequest(const Adapter& adapter, Timestamp now) -> void {
    requested_at_[adapter] = now;
  }
  // Removes expired requests and returns the adapters of the others.
  auto Current(Timestamp now) -> std::set<Adapter>;

 private:
  Duration ttl_;
  std::map<Adapter, Timestamp> requested_at_;
};

}  // namespace dotterellug
