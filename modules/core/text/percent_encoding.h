#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace dotterellug {

// `text` with every byte percent-encoded except letters, digits, "-._~" and
// the characters of `kept` (RFC 3986, 2.1). Text that the server library has
// decoded must be encoded again before it goes into another request, or a
// caller could insert separators or line ends.
auto PercentEncode(std::string_view text, std::string_view kept = {})
    -> std::string;

// The bytes that PercentEncode has encoded. Nothing if a percent sign is not
// followed by two hexadecimal digits.
auto PercentDecode(std::string_view text) -> std::optional<std::string>;

}  // namespace dotterellug
