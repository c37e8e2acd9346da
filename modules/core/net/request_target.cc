#include "core/net/request_target.h"

#include "core/text/percent_encoding.h"

namespace dotterellug {

auto RequestTarget::AddSegment(std::string_view segment) -> RequestTarget& {
  text_ += '/';
  // A segment of dots would denote another place in the path (RFC 3986, 5.2.4).
  if (segment == "." || segment == "..") {
    for (std::size_t i = 0; i < segment.size(); ++i) text_ += "%2E";
  } else {
    text_ += PercentEncode(segment);
  }
  return *this;
}

auto RequestTarget::AddField(std::string_view name, std::string_view value)
    -> RequestTarget& {
  text_ += has_fields_ ? '&' : '?';
  has_fields_ = true;
  text_ += PercentEncode(name) + "=" + PercentEncode(value);
  return *this;
}

}  // namespace dotterellug
