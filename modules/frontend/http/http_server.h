#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/errors/error.h"
#include "core/time/time.h"
#include "frontend/http/caller_connection.h"
#include "frontend/http/http_message.h"

namespace dotterellug {

struct HttpServerOptions {
  // IPv4 address and TCP port; port 0 takes a free one.
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 1'000'000;
  // A connection without a complete request after this time is closed, so
  // that slow senders do not hold threads.
  Duration request_timeout = std::chrono::seconds(10);
  unsigned max_connections = 4096;
  // PEM texts; both empty for plain HTTP.
  std::string tls_certificate;
  std::string tls_key;
};

using HttpHandler = std::function<
    auto(const HttpRequest&, const CallerConnection&)->HttpResponse>;

// An HTTP/1.1 server with one thread per connection, on libmicrohttpd. The
// handler runs on the connection's thread and may block; a body source is
// asked for more only when the caller has taken what came before, so memory
// per stream is bounded.
class HttpServer {
 public:
  // Listens at once. Fails with kUnavailable when the address is in use.
  static auto Start(HttpServerOptions options, HttpHandler handler)
      -> Result<std::unique_ptr<HttpServer>>;
  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;
  // Stops accepting and ends all connections at once. For a graceful stop call
  // BeginDrain, StopAccepting and, without active requests,
  // CloseIdleConnections until OpenConnections is zero before.
  ~HttpServer();

  auto Port() const -> std::uint16_t;
  // From now on every response closes its connection, so that callers turn to
  // another server before this one closes connections by itself.
  auto BeginDrain() -> void;
  // Takes no new connections besides those that wait to be accepted. Open ones
  // get one more response. Returns how many waiting connections were lost
  // because this server has too many.
  auto StopAccepting() -> std::size_t;
  // Closes connections on which no request has arrived for a moment. A caller
  // whose response was sent in part before BeginDrain has not been told to
  // close, and may send its next request at once.
  auto CloseIdleConnections() -> void;
  auto OpenConnections() const -> std::size_t;
  // Requests whose response is not complete.
  auto ActiveRequests() const -> std::int64_t;

 private:
  class Implementation;
  explicit HttpServer(std::unique_ptr<Implementation> implementation);
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace dotterellug
