#include "eventhttp/message/header_fields.h"

#include <algorithm>
#include <array>

#include "core/text/ascii_case.h"

namespace dotterellug::eventhttp {
namespace {

auto Trim(std::string_view text) -> std::string_view {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

constexpr std::array<std::string_view, 11> kHopByHop{
    "connection",       "keep-alive", "proxy-authenticate",
    "proxy-connection", "te",         "proxy-authorization",
    "trailer",          "upgrade",    "transfer-encoding",
    "content-length",   "expect"};

// What a text has allocated; a short one is stored inline.
auto AllocatedBy(const std::string& text) -> std::size_t {
  static const auto inline_capacity = std::string().capacity();
  return text.capacity() > inline_capacity ? text.capacity() + 1 : 0;
}

}  // namespace

auto MemoryOf(const HeaderFields& fields) -> std::size_t {
  auto bytes = fields.capacity() * sizeof(HeaderField);
  for (const auto& field : fields) {
    bytes += AllocatedBy(field.name) + AllocatedBy(field.value);
  }
  return bytes;
}

auto SameFieldName(std::string_view a, std::string_view b) -> bool {
  return EqualsIgnoringCase(a, b);
}

auto FindField(const HeaderFields& fields, std::string_view name)
    -> const std::string* {
  for (const auto& field : fields) {
    if (SameFieldName(field.name, name)) return &field.value;
  }
  return nullptr;
}

auto IsHopByHop(std::string_view name) -> bool {
  return std::any_of(
      kHopByHop.begin(), kHopByHop.end(),
      [&](std::string_view hop) { return SameFieldName(hop, name); });
}

auto ListContains(std::string_view value, std::string_view token) -> bool {
  while (!value.empty()) {
    const auto comma = value.find(',');
    if (SameFieldName(Trim(value.substr(0, comma)), token)) return true;
    if (comma == std::string_view::npos) return false;
    value.remove_prefix(comma + 1);
  }
  return false;
}

}  // namespace dotterellug::eventhttp
