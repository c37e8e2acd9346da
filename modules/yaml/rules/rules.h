#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/errors/error.h"
#include "core/ids/ids.h"
#include "core/net/socket_address.h"
#include "core/time/time.h"
#include "yaml/tree/yaml_node.h"

namespace dotterellug {

// Rules say which scalars a key accepts. Each has Parse, which gives the value
// or what is wrong with it and the remedy, and Describe, which states the
// accepted values for the reference pages.

struct IntegerRule {
  std::int64_t min = 0;
  std::int64_t max = 0;

  auto Parse(const YamlNode& node) const -> Result<std::int64_t>;
  auto Describe() const -> std::string;
};

struct NumberRule {
  double min = 0;
  double max = 0;

  auto Parse(const YamlNode& node) const -> Result<double>;
  auto Describe() const -> std::string;
};

struct FlagRule {
  auto Parse(const YamlNode& node) const -> Result<bool>;
  auto Describe() const -> std::string;
};

struct BytesRule {
  Bytes min;
  Bytes max;

  auto Parse(const YamlNode& node) const -> Result<Bytes>;
  auto Describe() const -> std::string;
};

struct DurationRule {
  Duration min;
  Duration max;

  auto Parse(const YamlNode& node) const -> Result<Duration>;
  auto Describe() const -> std::string;
};

// Names of accounts, models and so on: letters, digits, '.', '_' and '-',
// beginning with a letter or digit, so that they can be part of object names,
// paths and log lines without escaping.
struct IdRule {
  std::size_t max_length = 128;

  auto Parse(const YamlNode& node) const -> Result<std::string>;
  auto Describe() const -> std::string;
};

// Printable text without line breaks.
struct TextRule {
  std::size_t max_length = 1024;

  auto Parse(const YamlNode& node) const -> Result<std::string>;
  auto Describe() const -> std::string;
};

// Path of a file.
struct PathRule {
  auto Parse(const YamlNode& node) const -> Result<std::string>;
  auto Describe() const -> std::string;
};

// Lower-case hexadecimal text of a fixed number of bytes.
struct HexRule {
  std::size_t bytes = 0;

  auto Parse(const YamlNode& node) const -> Result<std::string>;
  auto Describe() const -> std::string;
};

// An IPv4 or IPv6 address; host names are rejected because processes
// communicate by IP address.
struct AddressRule {
  auto Parse(const YamlNode& node) const -> Result<std::string>;
  auto Describe() const -> std::string;
};

// IP address and port in one text, as ParseSocketAddress reads it.
struct SocketAddressRule {
  auto Parse(const YamlNode& node) const -> Result<SocketAddress>;
  auto Describe() const -> std::string;
};

// One of several names that stand for the values of an enum or a fixed set.
template <typename Choice>
struct ChoiceRule {
  std::vector<std::pair<std::string_view, Choice>> choices;

  auto Parse(const YamlNode& node) const -> Result<Choice> {
    if (node.kind == YamlKind::kScalar) {
      for (const auto& [name, choice] : choices) {
        if (name == node.text) return choice;
      }
    }
    return Fail(ErrorKind::kInvalidArgument, "not one of the accepted words",
                "write " + Describe());
  }

  auto Describe() const -> std::string {
    std::string text;
    for (const auto& [name, choice] : choices) {
      if (!text.empty()) text += " or ";
      text += name;
    }
    return text;
  }
};

// The scalar's text, or the failure that names the kind that was found.
auto RequireScalar(const YamlNode& node, const std::string& remedy)
    -> Result<std::string_view>;

}  // namespace dotterellug
