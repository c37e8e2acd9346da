#pragma once

#include <string_view>

namespace dotterellug {

// What the head of an HTTP message says about where its body ends. Two readers
// of a head that says it in more than one way, or in none that both know, may
// disagree about where the next message begins, which allows request smuggling
// (RFC 9112, 6.1 to 6.3).
class BodyFraming {
 public:
  // Takes note of a header field, with its value as received.
  auto Add(std::string_view name, std::string_view value) -> void;

  // Whether one Content-Length in digits, the one transfer coding "chunked", or
  // neither says where the body ends. `allows_codings` is false for HTTP/1.0.
  auto Unambiguous(bool allows_codings) const -> bool;

 private:
  int lengths_ = 0;
  int codings_ = 0;
  bool malformed_ = false;
};

}  // namespace dotterellug
