#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids/ids.h"

namespace dotterellug {

// IPv4 address and TCP port of an upstream.
struct UpstreamTarget {
  std::string host;
  std::uint16_t port = 0;

  friend auto operator<(const UpstreamTarget& a, const UpstreamTarget& b)
      -> bool {
    return a.host != b.host ? a.host < b.host : a.port < b.port;
  }
};

struct UpstreamHeader {
  std::string name;
  std::string value;
};

// One attempt of a request.
struct UpstreamCall {
  UpstreamTarget target;
  std::string method = "POST";
  // Path with its query.
  std::string url;
  std::vector<UpstreamHeader> headers;
  std::string body;
  // Sent as X-Request-Id; the response must echo it. Empty sends and checks
  // none.
  RequestId attempt;
  // Whether the call may reach the upstream more than once. A call that may
  // not always uses a new connection.
  bool repeatable = false;
  // A longer body ends the call as kTooLarge. The default is for responses that
  // are kept whole.
  std::size_t max_body_bytes = 8UL << 20U;
};

struct UpstreamHead {
  int status = 0;
  std::vector<UpstreamHeader> headers;

  // Value of the first header with this name (in any case), or empty.
  auto Header(std::string_view name) const -> std::string;
};

// How far an attempt got, as far as this side can tell.
enum class Delivery {
  // No byte of the request left this process.
  kNotSent,
  // The upstream may have received and executed the request.
  kUnknown,
  // The upstream answered.
  kAnswered,
};

}  // namespace dotterellug
