#pragma once

#include <string>
#include <string_view>

namespace dotterellug {

// `text` with every byte percent-encoded except letters, digits, "-._~" and
// the characters of `kept`. Text that the server library has decoded must be
// encoded again before it goes into another request, or a caller could insert
// separators or line ends.
auto PercentEncode(std::string_view text, std::string_view kept = {})
    -> std::string;

}  // namespace dotterellug
