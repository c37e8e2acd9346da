#include "client/platform/http_get.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include <chrono>
#include <exception>

namespace dotterellug {

auto HttpGet(const SocketAddress& address, const std::string& path,
             Duration timeout) -> Result<std::string> {
  std::string failure;
  try {
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    cxxtools::http::Client client(address.host, address.port);
    cxxtools::http::Request request(path);
    client.execute(request, cxxtools::Milliseconds(milliseconds),
                   cxxtools::Milliseconds(milliseconds));
    const auto& reply = client.readBody();
    if (reply.httpReturnCode() == 200) return reply.body();
    failure = "status " + std::to_string(reply.httpReturnCode());
  } catch (const std::exception& error) {
    failure = error.what();
  }
  return Fail(ErrorKind::kUnavailable,
              "no answer from " + address.Text() + path + ": " + failure,
              "check that the daemon runs and the address is right");
}

}  // namespace dotterellug
