#include "core/net/body_framing.h"

#include <algorithm>

#include "core/text/ascii_case.h"

namespace dotterellug {
namespace {

auto IsDecimal(std::string_view text) -> bool {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c >= '0' && c <= '9';
  });
}

}  // namespace

auto BodyFraming::Add(std::string_view name, std::string_view value) -> void {
  if (EqualsIgnoringCase(name, "Content-Length")) {
    ++lengths_;
    malformed_ = malformed_ || !IsDecimal(value);
  } else if (EqualsIgnoringCase(name, "Transfer-Encoding")) {
    ++codings_;
    malformed_ = malformed_ || !EqualsIgnoringCase(value, "chunked");
  }
}

auto BodyFraming::Unambiguous(bool allows_codings) const -> bool {
  if (malformed_ || (codings_ > 0 && !allows_codings)) return false;
  return lengths_ + codings_ <= 1;
}

}  // namespace dotterellug
