#pragma once

#include <algorithm>
#include <string_view>

namespace dotterellug {

// Whether `text` can be sent as the value of a header field and arrives as it
// is: not empty, no control characters except tabs, no blanks at its ends
// (RFC 9110, 5.5). Any other bytes are allowed.
inline auto IsFieldValue(std::string_view text) -> bool {
  constexpr std::string_view kBlanks = " \t";
  constexpr unsigned char kDelete = 0x7f;
  if (text.empty() || kBlanks.find(text.front()) != std::string_view::npos ||
      kBlanks.find(text.back()) != std::string_view::npos) {
    return false;
  }
  return std::all_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return c == '\t' || (byte >= ' ' && byte != kDelete);
  });
}

// Whether `text` is a field value of visible ASCII characters only, which no
// implementation changes or rejects.
inline auto IsVisibleAscii(std::string_view text) -> bool {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c <= '~';
  });
}

}  // namespace dotterellug
