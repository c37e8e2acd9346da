#pragma once

#include <memory>
#include <string>

#include "core/net/socket_address.h"
#include "core/time/time.h"

namespace dotterellug {

struct HttpExchangeResult {
  enum class Kind {
    kNotSent,   // no byte of the request left
    kInDoubt,   // sent at least in part, and no complete response came
    kResponse,  // a complete response came
  };

  Kind kind = Kind::kNotSent;
  // Why there is no response.
  std::string failure;
  // Values of kHeadHeader and kMacHeader, empty when absent.
  std::string head;
  std::string mac;
  std::string body;
};

// One HTTP connection to another daemon, by libcurl. Never sends a request
// twice, also not when a reused connection turns out to be closed.
class HttpExchange {
 public:
  HttpExchange();
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  auto operator=(const HttpExchange&) -> HttpExchange& = delete;

  // Posts `body` with the two authentication headers. `limit` must be above 0.
  // A response body above `max_response_bytes` ends as kInDoubt.
  auto Post(const SocketAddress& address, const std::string& head,
            const std::string& mac, const std::string& body,
            std::size_t max_response_bytes, Duration limit)
      -> HttpExchangeResult;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace dotterellug
