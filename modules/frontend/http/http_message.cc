#include "frontend/http/http_message.h"

#include "core/text/ascii_case.h"

namespace dotterellug {

auto HttpRequest::Header(std::string_view name) const
    -> std::optional<std::string_view> {
  for (const auto& header : headers) {
    if (EqualsIgnoringCase(header.name, name)) return header.value;
  }
  return std::nullopt;
}

}  // namespace dotterellug
