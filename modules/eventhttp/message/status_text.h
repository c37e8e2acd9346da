#pragma once

#include <string_view>

namespace dotterellug::eventhttp {

// The reason phrase of a status code; "Status" for one not listed.
auto StatusText(int status) -> std::string_view;

// Whether a response with this status has no body, whatever its fields say.
constexpr auto IsBodiless(int status) -> bool {
  return status / 100 == 1 || status == 204 || status == 304;
}

}  // namespace dotterellug::eventhttp
