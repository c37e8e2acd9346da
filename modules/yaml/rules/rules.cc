#include "yaml/rules/rules.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdlib>

#include "yaml/rules/quantities.h"

namespace dotterellug {

namespace {

// Locale-independent, unlike std::isalnum.
auto IsDigit(char character) -> bool {
  return character >= '0' && character <= '9';
}

auto IsLetterOrDigit(char character) -> bool {
  return IsDigit(character) || (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z');
}

auto IsIdCharacter(char character) -> bool {
  return IsLetterOrDigit(character) || character == '.' || character == '_' ||
         character == '-';
}

auto IsHexCharacter(char character) -> bool {
  return IsDigit(character) || (character >= 'a' && character <= 'f');
}

auto IsControl(char character) -> bool {
  const auto code = static_cast<unsigned char>(character);
  return code < 0x20 || code == 0x7f;
}

auto NumberText(double number) -> std::string {
  std::array<char, 32> buffer{};
  const auto written =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
  return std::string(buffer.data(), written.ptr);
}

auto Invalid(std::string message, const std::string& accepted)
    -> tl::unexpected<Error> {
  return Fail(ErrorKind::kInvalidArgument, std::move(message),
              "write " + accepted);
}

// A quoted scalar is text, so a number, flag or amount must stand unquoted.
auto RequirePlain(const YamlNode& node, const std::string& accepted)
    -> Result<std::string_view> {
  auto text = RequireScalar(node, accepted);
  if (text && node.quoted) {
    return Fail(ErrorKind::kInvalidArgument, "quoted text where none fits",
                "write " + accepted + " without quotes");
  }
  return text;
}

}  // namespace

auto RequireScalar(const YamlNode& node, const std::string& remedy)
    -> Result<std::string_view> {
  if (node.kind == YamlKind::kScalar) return {node.text};
  return Fail(ErrorKind::kInvalidArgument,
              std::string(KindText(node.kind)) + " where a value is expected",
              "write " + remedy);
}

auto IntegerRule::Parse(const YamlNode& node) const -> Result<std::int64_t> {
  const auto text = RequirePlain(node, Describe());
  if (!text) return tl::unexpected<Error>(text.error());
  std::int64_t number = 0;
  const auto* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, number);
  if (parsed.ec == std::errc::result_out_of_range) {
    return Invalid("out of range", Describe());
  }
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return Invalid("not a whole number", Describe());
  }
  if (number < min || number > max) return Invalid("out of range", Describe());
  return number;
}

auto IntegerRule::Describe() const -> std::string {
  return "a whole number from " + std::to_string(min) + " to " +
         std::to_string(max);
}

auto NumberRule::Parse(const YamlNode& node) const -> Result<double> {
  const auto text = RequirePlain(node, Describe());
  if (!text) return tl::unexpected<Error>(text.error());
  double number = 0;
  const auto* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(number)) {
    return Invalid("not a number", Describe());
  }
  if (number < min || number > max) return Invalid("out of range", Describe());
  return number;
}

auto NumberRule::Describe() const -> std::string {
  return "a number from " + NumberText(min) + " to " + NumberText(max);
}

auto FlagRule::Parse(const YamlNode& node) const -> Result<bool> {
  const auto text = RequirePlain(node, Describe());
  if (!text) return tl::unexpected<Error>(text.error());
  if (*text == "true") return true;
  if (*text == "false") return false;
  return Invalid("not a truth value", Describe());
}

auto FlagRule::Describe() const -> std::string { return "true or false"; }

auto BytesRule::Parse(const YamlNode& node) const -> Result<Bytes> {
  const auto text = RequirePlain(node, Describe());
  if (!text) return tl::unexpected<Error>(text.error());
  auto bytes = ParseBytes(*text);
  if (!bytes) return bytes;
  if (*bytes < min || *bytes > max) return Invalid("out of range", Describe());
  return bytes;
}

auto BytesRule::Describe() const -> std::string {
  return "an amount of bytes from " + FormatBytes(min) + " to " +
         FormatBytes(max) + " such as 64KiB";
}

auto DurationRule::Parse(const YamlNode& node) const -> Result<Duration> {
  const auto text = RequirePlain(node, Describe());
  if (!text) return tl::unexpected<Error>(text.error());
  auto duration = ParseDuration(*text);
  if (!duration) return duration;
  if (*duration < min || *duration > max) {
    return Invalid("out of range", Describe());
  }
  return duration;
}

auto DurationRule::Describe() const -> std::string {
  return "a duration from " + FormatDuration(min) + " to " +
         FormatDuration(max) + " such as 30s";
}

auto IdRule::Parse(const YamlNode& node) const -> Result<std::string> {
  const auto text = RequireScalar(node, Describe());
  if (!text) return tl::unexpected<Error>(text.error());
  if (text->empty() || !IsLetterOrDigit(text->front()) ||
      !std::all_of(text->begin(), text->end(), IsIdCharacter)) {
    return Invalid("not a valid name", Describe());
  }
  if (text->size() > max_length) return Invalid("name too long", Describe());
  return std::string(*text);
}

auto IdRule::Describe() const -> std::string {
  return "a name of at most " + std::to_string(max_length) +
         " letters, digits, '.', '_' or '-' that begins with a letter or digit";
}

auto TextRule::Parse(const YamlNode& node) const -> Result<std::string> {
  const auto text = RequireScalar(node, Describe());
  if (!text) return tl::unexpected<Error>(text.error());
  if (text->empty()) return Invalid("empty text", Describe());
  if (text->size() > max_length) return Invalid("text too long", Describe());
  if (std::any_of(text->begin(), text->end(), IsControl)) {
    return Invalid("control character in the text", Describe());
  }
  return std::string(*text);
}

auto TextRule::Describe() const -> std::string {
  return "text of at most " + std::to_string(max_length) + " characters";
}

auto PathRule::Parse(const YamlNode& node) const -> Result<std::string> {
  auto path = TextRule{}.Parse(node);
  if (path) return path;
  return Fail(ErrorKind::kInvalidArgument, path.error().message,
              "write " + Describe());
}

auto PathRule::Describe() const -> std::string { return "a path"; }

auto HexRule::Parse(const YamlNode& node) const -> Result<std::string> {
  const auto text = RequireScalar(node, Describe());
  if (!text) return tl::unexpected<Error>(text.error());
  if (text->size() != 2 * bytes ||
      !std::all_of(text->begin(), text->end(), IsHexCharacter)) {
    return Invalid("not hexadecimal text of the right length", Describe());
  }
  return std::string(*text);
}

auto HexRule::Describe() const -> std::string {
  return std::to_string(2 * bytes) + " lower-case hexadecimal digits";
}

auto AddressRule::Parse(const YamlNode& node) const -> Result<std::string> {
  const auto text = RequireScalar(node, Describe());
  if (!text) return tl::unexpected<Error>(text.error());
  std::string address(*text);
  if (IsIpAddress(address)) return address;
  return Invalid("not an IP address", Describe());
}

auto AddressRule::Describe() const -> std::string {
  return "an IPv4 or IPv6 address";
}

auto SocketAddressRule::Parse(const YamlNode& node) const
    -> Result<SocketAddress> {
  const auto text = RequireScalar(node, Describe());
  if (!text) return tl::unexpected<Error>(text.error());
  return ParseSocketAddress(*text);
}

auto SocketAddressRule::Describe() const -> std::string {
  return "an IP address and a port such as 127.0.0.1:8080 or \"[::1]:8080\"";
}

}  // namespace dotterellug
