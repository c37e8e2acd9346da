#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace dotterellug {

// The whole of `text` as a decimal number; nothing if it is not one, has
// anything around it, or does not fit.
inline auto ParseInteger(std::string_view text) -> std::optional<std::int64_t> {
  std::int64_t number = 0;
  const auto* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || rest != end) return std::nullopt;
  return number;
}

}  // namespace dotterellug
