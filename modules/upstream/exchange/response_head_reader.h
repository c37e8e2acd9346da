#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "core/net/body_framing.h"
#include "upstream/exchange/upstream_call.h"

namespace dotterellug {

// Why the bytes of an upstream are no response.
enum class ResponseHeadFault {
  kInvalidStatusLine,
  kInvalidField,
  // With the heads of interim responses and the trailers.
  kTooLong,
  // The head says in more than one way where the body ends, or in an unknown
  // one.
  kAmbiguousFraming,
};

// The fault as the object of a sentence, such as "an invalid status line".
auto ResponseHeadFaultText(ResponseHeadFault fault) -> const char*;

// Reads a response's head from its lines, as libcurl hands them to its header
// callback: those of interim responses, of the final one and of the trailers.
class ResponseHeadReader {
 public:
  // Takes the next line, with its line end. After a fault the response cannot
  // be read on.
  auto Add(std::string_view line) -> std::optional<ResponseHeadFault>;
  // Whether the head of the final response has been read.
  auto Complete() const -> bool { return complete_; }
  auto Head() const -> const UpstreamHead& { return head_; }

 private:
  auto AddField(std::string_view line) -> std::optional<ResponseHeadFault>;

  UpstreamHead head_;
  BodyFraming framing_;
  std::size_t bytes_ = 0;
  // Whether the status line of the head that is being read has come.
  bool began_ = false;
  bool complete_ = false;
};

}  // namespace dotterellug
