#pragma once

#include <nlohmann/json.hpp>

#include "core/core.h"
#include "placement/placement.h"

namespace dotterellug {

// Method of demand reports to the placement owner.
inline constexpr const char* kDemandMethod = "placement.demand";

auto EncodeDemand(const ModelDemandReport& report) -> nlohmann::json;
// Fails with kProtocol for anything else.
auto DecodeDemand(const nlohmann::json& json) -> Result<ModelDemandReport>;

}  // namespace dotterellug
