#pragma once

#include <algorithm>
#include <string_view>

namespace dotterellug {

// Nesting depth of arrays and objects in `text`, ignoring strings; usable on
// invalid JSON. Copies of a deeply nested value exhaust the stack.
inline auto JsonDepth(std::string_view text) -> int {
  int depth = 0;
  int deepest = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        in_string = false;
      }
      continue;
    }
    if (c == '"') in_string = true;
    if (c == '{' || c == '[') deepest = std::max(deepest, ++depth);
    if (c == '}' || c == ']') --depth;
  }
  return deepest;
}

}  // namespace dotterellug
