#pragma once

#include <cstdint>
#include <map>

#include "core/ids/ids.h"

namespace dotterellug {

// Requested tokens: admitted, queued, or refused for lack of capacity. All
// three count as demand; without the refused ones, a model with too little
// capacity would appear idle.
struct DemandTokens {
  Tokens admitted;
  Tokens queued;
  Tokens refused;

  auto Sum() const -> Tokens { return admitted + queued + refused; }
};

// The demand that one daemon observed since its previous report. The receiver
// ignores a sequence number that it has already applied for the same
// incarnation of the daemon.
struct ModelDemandReport {
  InstanceId instance;
  Incarnation incarnation;
  std::int64_t sequence = 0;
  std::map<ModelId, DemandTokens> models;
};

}  // namespace dotterellug
