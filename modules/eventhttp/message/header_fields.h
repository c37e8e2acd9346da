#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace dotterellug::eventhttp {

// One header field as it was received; names keep their case.
struct HeaderField {
  std::string name;
  std::string value;
};

// Header fields in the order of the message; a name may occur several times.
using HeaderFields = std::vector<HeaderField>;

// Bytes of memory that the fields take. Short fields take many times the bytes
// that they have in the message.
auto MemoryOf(const HeaderFields& fields) -> std::size_t;

// Whether two field names are the same; HTTP ignores their case.
auto SameFieldName(std::string_view a, std::string_view b) -> bool;

// The value of the first field with this name, or null.
auto FindField(const HeaderFields& fields, std::string_view name)
    -> const std::string*;

// Whether the field concerns only one connection and is never forwarded, such
// as Connection or Transfer-Encoding. Content-Length is one of them, since each
// side frames its own messages.
auto IsHopByHop(std::string_view name) -> bool;

// Whether the comma-separated list in `value` contains `token`, ignoring case.
auto ListContains(std::string_view value, std::string_view token) -> bool;

}  // namespace dotterellug::eventhttp
