#pragma once

#include <algorithm>
#include <string_view>

namespace dotterellug {

// Whether two texts are the same but for the case of ASCII letters, as names
// of header fields and of codings are compared.
inline auto EqualsIgnoringCase(std::string_view a, std::string_view b) -> bool {
  const auto lower = [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  };
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [&](char x, char y) { return lower(x) == lower(y); });
}

}  // namespace dotterellug
