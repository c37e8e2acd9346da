#pragma once

#include <map>
#include <set>
#include <utility>

#include "core/core.h"

namespace dotterellug {

// Remembers adapters that were requested while no engine had them loaded.
// Freeing a slot and loading an adapter take two orders, so a request must
// outlive the plan in which it was reported; otherwise another adapter takes
// the freed slot.
class WantedAdapters {
 public:
  using Adapter = std::pair<ModelId, AdapterId>;

  // `ttl` is how long an adapter counts as requested after its last request.
  explicit WantedAdapters(Duration ttl) : ttl_(ttl) {}

  // Records a request for `adapter`.
  auto Note(const Adapter& adapter, Timestamp now) -> void {
    requested_at_[adapter] = now;
  }
  // The adapters requested within the last `ttl`; drops all older requests.
  auto Current(Timestamp now) -> std::set<Adapter>;

 private:
  Duration ttl_;
  std::map<Adapter, Timestamp> requested_at_;
};

}  // namespace dotterellug
