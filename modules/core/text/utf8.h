#pragma once

#include <cstddef>
#include <string_view>

namespace dotterellug {

// Whether `text` is UTF-8 (RFC 3629): no overlong forms, no surrogates, nothing
// beyond U+10FFFF. Encoders such as JSON's accept no other text.
inline auto IsUtf8(std::string_view text) -> bool {
  std::size_t i = 0;
  while (i < text.size()) {
    const auto first = static_cast<unsigned char>(text[i]);
    std::size_t rest = 0;
    if (first >= 0xc2 && first <= 0xdf) rest = 1;
    if (first >= 0xe0 && first <= 0xef) rest = 2;
    if (first >= 0xf0 && first <= 0xf4) rest = 3;
    if (first >= 0x80 && rest == 0) return false;
    if (i + rest >= text.size()) return false;
    for (std::size_t k = 1; k <= rest; ++k) {
      const auto next = static_cast<unsigned char>(text[i + k]);
      unsigned char least = 0x80;
      unsigned char most = 0xbf;
      if (k == 1 && first == 0xe0) least = 0xa0;
      if (k == 1 && first == 0xed) most = 0x9f;
      if (k == 1 && first == 0xf0) least = 0x90;
      if (k == 1 && first == 0xf4) most = 0x8f;
      if (next < least || next > most) return false;
    }
    i += rest + 1;
  }
  return true;
}

}  // namespace dotterellug
