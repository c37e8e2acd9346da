#pragma once

#include <string_view>

namespace dotterellug::eventhttp {

// The reason phrase of a status code; "Status" for one not listed.
auto StatusText(int status) -> std::string_view;

}  // namespace dotterellug::eventhttp
