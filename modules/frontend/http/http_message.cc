#include "frontend/http/http_message.h"

#include <algorithm>
#include <cctype>

namespace dotterellug {

auto EqualsIgnoringCase(std::string_view a, std::string_view b) -> bool {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

auto HttpRequest::Header(std::string_view name) const
    -> std::optional<std::string_view> {
  for (const auto& header : headers) {
    if (EqualsIgnoringCase(header.name, name)) return header.value;
  }
  return std::nullopt;
}

auto HttpRequest::CountHeaders(std::string_view name) const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(headers.begin(), headers.end(), [name](const auto& header) {
        return EqualsIgnoringCase(header.name, name);
      }));
}

}  // namespace dotterellug
