#include "fleet/announcements/model_announcements.h"

#include <algorithm>

namespace dotterellug::fleet {

auto ModelAnnouncements::OnLoaded(const LoadedModel& loaded, Timestamp now)
    -> void {
  if (loaded.adapter.Empty()) unloading_.erase({loaded.upstream, loaded.model});
  loaded_.emplace_back(now, loaded);
}

auto ModelAnnouncements::OnUnloading(const UnloadingModel& unloading,
                                     Timestamp now) -> void {
  unloading_[{unloading.upstream, unloading.model}] = now;
  loaded_.erase(std::remove_if(loaded_.begin(), loaded_.end(),
                               [&](const auto& entry) {
                                 return entry.second.upstream ==
                                            unloading.upstream &&
                                        entry.second.model == unloading.model;
                               }),
                loaded_.end());
}

auto ModelAnnouncements::RemoveExpired(Timestamp now) -> void {
  for (auto entry = unloading_.begin(); entry != unloading_.end();) {
    const bool expired = now - entry->second > ttl_;
    entry = expired ? unloading_.erase(entry) : std::next(entry);
  }
  loaded_.erase(std::remove_if(loaded_.begin(), loaded_.end(),
                               [&](const auto& entry) {
                                 return now - entry.first > ttl_;
                               }),
                loaded_.end());
}

auto ModelAnnouncements::Unloading(Timestamp now)
    -> std::vector<UnloadingModel> {
  RemoveExpired(now);
  std::vector<UnloadingModel> unloading;
  unloading.reserve(unloading_.size());
  for (const auto& [location, at] : unloading_) {
    unloading.push_back({location.first, location.second});
  }
  return unloading;
}

auto ModelAnnouncements::Loaded(Timestamp now) -> std::vector<LoadedModel> {
  RemoveExpired(now);
  std::vector<LoadedModel> loaded;
  loaded.reserve(loaded_.size());
  for (const auto& [at, model] : loaded_) loaded.push_back(model);
  return loaded;
}

}  // namespace dotterellug::fleet
