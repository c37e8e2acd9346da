#pragma once

#include <cstdint>
#include <map>

#include "core/ids/ids.h"

namespace dotterellug {

// Tokens that callers asked for: served, waiting, or refused for lack of
// capacity. All three are demand; without the refused ones a starved model
// would look idle.
struct DemandTokens {
  Tokens admitted;
  Tokens queued;
  Tokens refused;

  auto Sum() const -> Tokens { return admitted + queued + refused; }
};

// What one daemon saw since its previous report. A repeated sequence number of
// the same incarnation is ignored by the receiver.
struct ModelDemandReport {
  InstanceId instance;
  Incarnation incarnation;
  std::int64_t sequence = 0;
  std::map<ModelId, DemandTokens> models;
};

}  // namespace dotterellug
