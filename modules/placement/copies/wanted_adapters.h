#pragma once

#include <map>
#include <set>
#include <utility>

#include "core/core.h"

namespace dotterellug {

// Adapters that callers asked for and nobody held. Pattern: making room for one
// and loading it take two orders, so its claim must outlast the plan in which
// it was reported, or the room goes to another one.
class WantedAdapters {
 public:
  using Adapter = std::pair<ModelId, AdapterId>;

  // `lifetime` is how long a claim holds after the last caller asked.
  explicit WantedAdapters(Duration ttl) : ttl_(ttl) {}

  auto Note(const Adapter& adapter, Timestamp now) -> void {
    requested_at_[adapter] = now;
  }
  // The claims that hold now.
  auto Current(Timestamp now) -> std::set<Adapter>;

 private:
  Duration ttl_;
  std::map<Adapter, Timestamp> requested_at_;
};

}  // namespace dotterellug
