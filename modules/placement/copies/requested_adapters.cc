#include "placement/copies/requested_adapters.h"

namespace dotterellug {

auto RequestedAdapters::Current(Timestamp now) -> std::set<Adapter> {
  std::set<Adapter> current;
  for (auto entry = requested_at_.begin(); entry != requested_at_.end();) {
    if (now - entry->second > ttl_) {
      entry = requested_at_.erase(entry);
      continue;
    }
    current.insert(entry->first);
    ++entry;
  }
  return current;
}

}  // namespace dotterellug
