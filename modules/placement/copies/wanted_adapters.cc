#include "placement/copies/wanted_adapters.h"

namespace dotterellug {

auto WantedAdapters::Current(Timestamp now) -> std::set<Adapter> {
  std::set<Adapter> current;
  for (auto asked = asked_at_.begin(); asked != asked_at_.end();) {
    if (now - asked->second > lifetime_) {
      asked = asked_at_.erase(asked);
      continue;
    }
    current.insert(asked->first);
    ++asked;
  }
  return current;
}

}  // namespace dotterellug
