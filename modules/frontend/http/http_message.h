#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace dotterellug {

struct HttpHeader {
  std::string name;
  std::string value;
};

// A complete request as received from a caller.
struct HttpRequest {
  std::string method;
  // Path without the query, percent-decoded by the server library.
  std::string path;
  // Query with the leading question mark, or empty; percent-encoded again after
  // the server library decoded it.
  std::string query;
  std::vector<HttpHeader> headers;
  std::string body;

  // Value of the first header with this name, compared without case.
  auto Header(std::string_view name) const -> std::optional<std::string_view>;
};

// Bytes of a streamed body.
struct BodyData {
  std::string bytes;
};
// The body is complete.
struct BodyEnd {};
// The body is cut off; the connection is closed so that the caller cannot
// take it for a complete one.
struct BodyAbort {};

using BodyStep = std::variant<BodyData, BodyEnd, BodyAbort>;

// Produces the next part of a streamed body. It may block; it is called from
// the connection's own thread and destroyed when the response is complete or
// the caller is gone.
using BodySource = std::function<auto()->BodyStep>;

// Closes the connection without any response. Only test doubles use it.
struct DropConnection {};

struct HttpResponse {
  int status = 200;
  std::vector<HttpHeader> headers;
  std::variant<std::string, BodySource, DropConnection> body;
  // Closes the connection after this response.
  bool close_connection = false;
};

}  // namespace dotterellug
