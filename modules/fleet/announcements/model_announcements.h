#pragma once

#include <map>
#include <utility>
#include <vector>

#include "core/core.h"
#include "fleet/messages/fleet_messages.h"

namespace dotterellug::fleet {

// Model loads and unloads that the leader, which holds the order lease and
// sends load and unload commands to engines, announces to all daemons.
// Announcements cover the delay until the engines' entries in the store change:
// an engine's entry reflects a command only at its next heartbeat, and an
// engine rejects requests for a model that it is unloading. Not thread-safe.
class ModelAnnouncements {
 public:
  // `ttl` is how long an announcement stays valid. It covers the time until the
  // engines' entries show the announced state.
  explicit ModelAnnouncements(Duration ttl) : ttl_(ttl) {}

  // Records that an engine has loaded a model or adapter. Loading the model
  // itself ends its unloading state.
  auto OnLoaded(const LoadedModel& loaded, Timestamp now) -> void;
  // Records that a model is being unloaded or is about to be, and withdraws the
  // announcements that it or its adapters are loaded. Call again periodically
  // until the unload has finished; each call restarts the TTL.
  auto OnUnloading(const UnloadingModel& unloading, Timestamp now) -> void;

  // Models being unloaded whose announcements have not expired.
  auto Unloading(Timestamp now) -> std::vector<UnloadingModel>;
  // Loaded models and adapters whose announcements have not expired. Excludes
  // models being unloaded: an adapter loaded just before its model is unloaded
  // must not make the model eligible for requests again.
  auto Loaded(Timestamp now) -> std::vector<LoadedModel>;

 private:
  using ModelLocation = std::pair<UpstreamId, ModelId>;

  auto RemoveExpired(Timestamp now) -> void;

  Duration ttl_;
  std::map<ModelLocation, Timestamp> unloading_;
  std::vector<std::pair<Timestamp, LoadedModel>> loaded_;
};

}  // namespace dotterellug::fleet
