#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/errors/error.h"

struct MHD_Daemon;

namespace dotterellug::standins {

// A request whose target was read as HTTP servers do: decoded, a plus sign in
// the query as a blank, and without what follows a number sign.
struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::string body;

  // The value of a query parameter, or `fallback` when it is missing.
  auto Query(const std::string& name, const std::string& fallback) const
      -> std::string;
};

struct HttpReply {
  unsigned status = 200;
  std::string body;
  // Close the connection without a response.
  bool drop = false;
};

// A small HTTP/1.1 server for stand-ins, with one thread per connection, so
// that a handler may wait. Answers 400 to a target that cannot be read. Stops
// and joins all threads when destroyed.
class HttpServer {
 public:
  using Handler = std::function<HttpReply(const HttpRequest&)>;

  // Listens on an IP address; port 0 chooses a free one. `handler` is called
  // from many threads at once.
  static auto Start(const std::string& host, std::uint16_t port,
                    Handler handler) -> Result<std::unique_ptr<HttpServer>>;
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;

  auto Port() const -> std::uint16_t { return port_; }
  auto Handle(const HttpRequest& request) const -> HttpReply {
    return handler_(request);
  }

 private:
  explicit HttpServer(Handler handler) : handler_(std::move(handler)) {}

  Handler handler_;
  MHD_Daemon* daemon_ = nullptr;
  std::uint16_t port_ = 0;
};

}  // namespace dotterellug::standins
