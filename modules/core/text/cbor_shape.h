#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "core/text/utf8.h"

namespace dotterellug {

// Deepest nesting of a message between daemons that is read.
inline constexpr std::size_t kMaxCborDepth = 32;

// Whether `bytes` begin with one CBOR value as daemons write it: every length
// is stated, nothing is tagged, texts are UTF-8 (RFC 8949, 3.1), and arrays and
// maps are nested at most kMaxCborDepth deep. A parser that descends by
// recursion needs no more stack than that allows; RFC 8949 lets text without a
// stated length nest without end. What numbers and texts say is not checked.
// Texts that are not UTF-8 would be read, but could not be written as JSON.
inline auto HasCborShape(std::string_view bytes) -> bool {
  constexpr int kMajorShift = 5;
  constexpr unsigned kInformation = 31;
  // From here on, the argument follows in 1, 2, 4 or 8 bytes.
  constexpr unsigned kOneByte = 24;
  constexpr unsigned kEightBytes = 27;
  enum Major { kBytes = 2, kText = 3, kArray = 4, kMap = 5, kTag = 6 };

  // Values that are still missing at each level.
  std::array<std::uint64_t, kMaxCborDepth + 1> missing{1};
  std::size_t depth = 0;
  for (;;) {
    while (depth > 0 && missing[depth] == 0) --depth;
    if (missing[depth] == 0) return true;
    --missing[depth];
    if (bytes.empty()) return false;
    const auto first = static_cast<std::uint8_t>(bytes.front());
    bytes.remove_prefix(1);
    const auto major = first >> kMajorShift;
    std::uint64_t argument = first & kInformation;
    if (argument > kEightBytes || major == kTag) return false;
    if (argument >= kOneByte) {
      const auto size = std::size_t{1} << (argument - kOneByte);
      if (bytes.size() < size) return false;
      argument = 0;
      for (const char byte : bytes.substr(0, size)) {
        argument = argument << 8U | static_cast<std::uint8_t>(byte);
      }
      bytes.remove_prefix(size);
    }
    if (major == kBytes || major == kText) {
      if (argument > bytes.size()) return false;
      if (major == kText && !IsUtf8(bytes.substr(0, argument))) return false;
      bytes.remove_prefix(argument);
    } else if (major == kArray || major == kMap) {
      // Each value takes a byte at least.
      if (argument > bytes.size() || depth == kMaxCborDepth) return false;
      missing[++depth] = major == kMap ? 2 * argument : argument;
    }
  }
}

}  // namespace dotterellug
