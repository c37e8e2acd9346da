#include "peer/request/json_conversion.h"

#include <string>

namespace dotterellug {

auto JsonDepthAllowed(std::string_view text) -> bool {
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t index = 0; index < text.size(); ++index) {
    const char character = text[index];
    if (in_string) {
      if (character == '\\') ++index;
      if (character == '"') in_string = false;
      continue;
    }
    if (character == '"') in_string = true;
    if (character == '{' || character == '[') ++depth;
    if ((character == '}' || character == ']') && depth > 0) --depth;
    if (depth > kMaxJsonDepth) return false;
  }
  return true;
}

auto ToJsonCpp(const nlohmann::json& value) -> Json::Value {
  using Type = nlohmann::json::value_t;
  switch (value.type()) {
    case Type::boolean:
      return value.get<bool>();
    case Type::number_integer:
      return Json::Int64{value.get<std::int64_t>()};
    case Type::number_unsigned:
      return Json::UInt64{value.get<std::uint64_t>()};
    case Type::number_float:
      return value.get<double>();
    case Type::string:
      return value.get_ref<const std::string&>();
    case Type::array: {
      Json::Value array(Json::arrayValue);
      for (const auto& element : value) array.append(ToJsonCpp(element));
      return array;
    }
    case Type::object: {
      Json::Value object(Json::objectValue);
      for (const auto& [name, member] : value.items()) {
        object[name] = ToJsonCpp(member);
      }
      return object;
    }
    case Type::null:
    case Type::binary:
    case Type::discarded:
      return Json::nullValue;
  }
  return Json::nullValue;
}

auto FromJsonCpp(const Json::Value& value) -> nlohmann::json {
  switch (value.type()) {
    case Json::booleanValue:
      return value.asBool();
    case Json::intValue:
      return std::int64_t{value.asInt64()};
    case Json::uintValue:
      return std::uint64_t{value.asUInt64()};
    case Json::realValue:
      return value.asDouble();
    case Json::stringValue:
      return value.asString();
    case Json::arrayValue: {
      auto array = nlohmann::json::array();
      for (const auto& element : value) array.push_back(FromJsonCpp(element));
      return array;
    }
    case Json::objectValue: {
      auto object = nlohmann::json::object();
      for (auto member = value.begin(); member != value.end(); ++member) {
        object[member.name()] = FromJsonCpp(*member);
      }
      return object;
    }
    case Json::nullValue:
      return nullptr;
  }
  return nullptr;
}

}  // namespace dotterellug
