#pragma once

#include "core/errors/error.h"
#include "nlohmann/json.hpp"

namespace dotterellug {

// Code of JSON-RPC errors that carry an Error in their data. libjsonrpccpp
// puts texts of its own before the messages of its codes, -32000 and below.
inline constexpr int kRpcErrorCode = 1;

auto EncodeRpcErrorData(const Error& error) -> nlohmann::json;
// The Error that the data carries; kOutcomeUnknown when it carries none, since
// the handler may have run.
auto DecodeRpcErrorData(const nlohmann::json& data) -> Error;

}  // namespace dotterellug
