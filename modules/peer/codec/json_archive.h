#pragma once

#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

#include "core/errors/error.h"
#include "core/ids/ids.h"
#include "core/time/time.h"
#include "nlohmann/json.hpp"

namespace dotterellug {

// Each message struct has one function template Describe(archive, message),
// which names its fields once for both directions. It binds the fields of the
// struct by structured binding, so that a new field does not compile until it
// is named. JsonWriter and JsonReader are the two archives.

// Text of bytes that need not be UTF-8 (base64), and back. Decoding fails on
// any other text.
auto EncodeBytes(const std::string& bytes) -> std::string;
auto DecodeBytes(const std::string& text, std::string* bytes) -> bool;
auto DecodeErrorKind(const std::string& name, ErrorKind* kind) -> bool;

// Marks a string member as bytes.
template <typename Text>
struct BytesField {
  Text& text;
};
template <typename Text>
BytesField(Text&) -> BytesField<Text>;

// Encodes the fields of one message as a JSON object.
class JsonWriter {
 public:
  template <typename Message>
  using Access = const Message;

  template <typename Value>
  auto operator()(const char* name, const Value& value) -> void {
    json_[name] = ToJson(value);
  }
  auto Add(const char* name, nlohmann::json value) -> void {
    json_[name] = std::move(value);
  }
  auto Json() && -> nlohmann::json { return std::move(json_); }

 private:
  static auto ToJson(bool value) -> nlohmann::json { return value; }
  static auto ToJson(std::int64_t value) -> nlohmann::json { return value; }
  static auto ToJson(int value) -> nlohmann::json { return value; }
  static auto ToJson(const std::string& value) -> nlohmann::json {
    return value;
  }
  static auto ToJson(ErrorKind value) -> nlohmann::json {
    return ErrorKindName(value);
  }
  static auto ToJson(WallTime value) -> nlohmann::json {
    return std::int64_t{value.time_since_epoch().count()};
  }
  static auto ToJson(const BytesField<const std::string>& value)
      -> nlohmann::json {
    return EncodeBytes(value.text);
  }
  template <typename Tag>
  static auto ToJson(const StrongString<Tag>& value) -> nlohmann::json {
    return value.Value();
  }
  template <typename Tag>
  static auto ToJson(StrongInteger<Tag> value) -> nlohmann::json {
    return value.Value();
  }
  template <typename Element>
  static auto ToJson(const std::vector<Element>& values) -> nlohmann::json {
    auto array = nlohmann::json::array();
    for (const auto& value : values) array.push_back(ToJson(value));
    return array;
  }
  template <typename Message>
  static auto ToJson(const Message& message) -> nlohmann::json {
    JsonWriter nested;
    Describe(nested, message);
    return std::move(nested).Json();
  }

  nlohmann::json json_ = nlohmann::json::object();
};

// Decodes the fields of one message. A missing field or one of another type
// makes the whole message fail; unknown fields are ignored, so that a newer
// version may add some.
class JsonReader {
 public:
  template <typename Message>
  using Access = Message;

  explicit JsonReader(const nlohmann::json& json) : json_(json) {
    // Checked here, because a message without fields reads none.
    if (!json.is_object()) bad_field_ = "(the message is not an object)";
  }

  template <typename Value>
  auto operator()(const char* name, Value&& value) -> void {
    if (!bad_field_.empty()) return;
    const auto field = json_.find(name);
    if (field == json_.end() || !Read(*field, value)) bad_field_ = name;
  }
  // The field as JSON; null when it is missing.
  auto Get(const char* name) const -> nlohmann::json {
    if (!json_.is_object() || !json_.contains(name)) return nullptr;
    return json_.at(name);
  }
  // For a rule of the message itself, such as a range.
  auto Require(const char* name, bool holds) -> void {
    if (bad_field_.empty() && !holds) bad_field_ = name;
  }
  // Name of the first field that could not be read; empty when all could.
  auto BadField() const -> const std::string& { return bad_field_; }

 private:
  static auto Read(const nlohmann::json& json, bool& value) -> bool {
    if (!json.is_boolean()) return false;
    value = json.get<bool>();
    return true;
  }
  static auto Read(const nlohmann::json& json, std::int64_t& value) -> bool {
    if (!json.is_number_integer()) return false;
    if (json.is_number_unsigned() &&
        json.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX)) {
      return false;
    }
    value = json.get<std::int64_t>();
    return true;
  }
  static auto Read(const nlohmann::json& json, int& value) -> bool {
    std::int64_t wide = 0;
    if (!Read(json, wide) || wide < INT32_MIN || wide > INT32_MAX) return false;
    value = static_cast<int>(wide);
    return true;
  }
  static auto Read(const nlohmann::json& json, std::string& value) -> bool {
    if (!json.is_string()) return false;
    value = json.get_ref<const std::string&>();
    return true;
  }
  static auto Read(const nlohmann::json& json, ErrorKind& value) -> bool {
    return json.is_string() &&
           DecodeErrorKind(json.get_ref<const std::string&>(), &value);
  }
  static auto Read(const nlohmann::json& json, WallTime& value) -> bool {
    std::int64_t count = 0;
    if (!Read(json, count)) return false;
    value = WallTime(std::chrono::milliseconds(count));
    return true;
  }
  static auto Read(const nlohmann::json& json, BytesField<std::string>& value)
      -> bool {
    return json.is_string() &&
           DecodeBytes(json.get_ref<const std::string&>(), &value.text);
  }
  template <typename Tag>
  static auto Read(const nlohmann::json& json, StrongString<Tag>& value)
      -> bool {
    std::string text;
    if (!Read(json, text)) return false;
    value = StrongString<Tag>(std::move(text));
    return true;
  }
  template <typename Tag>
  static auto Read(const nlohmann::json& json, StrongInteger<Tag>& value)
      -> bool {
    std::int64_t number = 0;
    if (!Read(json, number)) return false;
    value = StrongInteger<Tag>(number);
    return true;
  }
  template <typename Element>
  static auto Read(const nlohmann::json& json, std::vector<Element>& values)
      -> bool {
    if (!json.is_array()) return false;
    for (const auto& element : json) {
      if (!Read(element, values.emplace_back())) return false;
    }
    return true;
  }
  template <typename Message>
  static auto Read(const nlohmann::json& json, Message& message) -> bool {
    JsonReader nested(json);
    Describe(nested, message);
    return nested.BadField().empty();
  }

  const nlohmann::json& json_;
  std::string bad_field_;
};

// The message as a JSON object, and back. Decoding fails with kProtocol.
template <typename Message>
auto EncodeFields(const Message& message) -> nlohmann::json {
  JsonWriter writer;
  Describe(writer, message);
  return std::move(writer).Json();
}

template <typename Message>
auto DecodeFields(const nlohmann::json& json) -> Result<Message> {
  JsonReader reader(json);
  Message message;
  Describe(reader, message);
  if (reader.BadField().empty()) return message;
  return Fail(ErrorKind::kProtocol,
              "bad message from a peer: field '" + reader.BadField() + "'",
              "check that both daemons have the same version");
}

}  // namespace dotterellug
