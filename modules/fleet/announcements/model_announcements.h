#pragma once

#include <map>
#include <utility>
#include <vector>

#include "core/core.h"
#include "fleet/messages/fleet_messages.h"

namespace dotterellug::fleet {

// What the holder of orders tells all daemons about models that engines have
// loaded or are about to unload. Pattern: an engine's entry in the store shows
// an order only with its next sign of life, and an engine rejects what reaches
// it for a model that it unloads.
class ModelAnnouncements {
 public:
  // `lifetime`: until the engines' entries show what was announced.
  explicit ModelAnnouncements(Duration ttl) : ttl_(ttl) {}

  auto OnOpened(const OpenedModel& loaded, Timestamp now) -> void;
  // The model is about to be unloaded or is being unloaded; repeat while that
  // lasts.
  auto OnClosing(const ClosingModel& unloading, Timestamp now) -> void;

  auto Closing(Timestamp now) -> std::vector<ClosingModel>;
  // Without what is closing: an adapter loaded just before its model is
  // unloaded must not bring the model back.
  auto Opened(Timestamp now) -> std::vector<OpenedModel>;

 private:
  using ModelLocation = std::pair<UpstreamId, ModelId>;

  auto RemoveExpired(Timestamp now) -> void;

  Duration ttl_;
  std::map<ModelLocation, Timestamp> unloading_;
  std::vector<std::pair<Timestamp, OpenedModel>> loaded_;
};

}  // namespace dotterellug::fleet
