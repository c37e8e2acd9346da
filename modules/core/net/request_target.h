#pragma once

#include <string>
#include <string_view>

namespace dotterellug {

// The target of an HTTP request, written from parts that may hold any bytes: a
// server that reads it finds each part as it was given (RFC 3986, 2.2).
class RequestTarget {
 public:
  // `path` is the beginning of the path and is written as it is.
  explicit RequestTarget(std::string_view path) : text_(path) {}

  // Appends a slash and a segment to the path; no field may be there yet.
  auto AddSegment(std::string_view segment) -> RequestTarget&;
  // Appends a field to the query.
  auto AddField(std::string_view name, std::string_view value)
      -> RequestTarget&;

  auto Text() const -> const std::string& { return text_; }

 private:
  std::string text_;
  bool has_fields_ = false;
};

}  // namespace dotterellug
