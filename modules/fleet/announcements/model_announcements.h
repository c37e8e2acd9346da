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
  explicit ModelAnnouncements(Duration lifetime) : lifetime_(lifetime) {}

  auto OnOpened(const OpenedModel& opened, Timestamp now) -> void;
  // The model is about to be unloaded or is being unloaded; repeat while that
  // lasts.
  auto OnClosing(const ClosingModel& closing, Timestamp now) -> void;

  auto Closing(Timestamp now) -> std::vector<ClosingModel>;
  // Without what is closing: an adapter loaded just before its model is
  // unloaded must not bring the model back.
  auto Opened(Timestamp now) -> std::vector<OpenedModel>;

 private:
  using Place = std::pair<UpstreamId, ModelId>;

  auto Forget(Timestamp now) -> void;

  Duration lifetime_;
  std::map<Place, Timestamp> closing_;
  std::vector<std::pair<Timestamp, OpenedModel>> opened_;
};

}  // namespace dotterellug::fleet
