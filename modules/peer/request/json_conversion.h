#pragma once

#include <jsoncpp/json/value.h>

#include <cstddef>
#include <string_view>

#include "nlohmann/json.hpp"

namespace dotterellug {

// Deepest nesting of arrays and objects in a request or response.
inline constexpr std::size_t kMaxJsonDepth = 32;

// Whether no more than kMaxJsonDepth brackets of `text` are open at once. Cheap
// enough to run before any parser, whose recursion it bounds.
auto JsonDepthAllowed(std::string_view text) -> bool;

// Conversion between the value type of libjsonrpccpp (jsoncpp) and that of the
// rest of the system. Integers and doubles keep their values; binary values
// become null.
auto ToJsonCpp(const nlohmann::json& value) -> Json::Value;
auto FromJsonCpp(const Json::Value& value) -> nlohmann::json;

}  // namespace dotterellug
