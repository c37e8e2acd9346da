#include "client/platform/http_get.h"

#include <variant>

#include "upstream/upstream.h"

namespace dotterellug {
namespace {

constexpr auto kRemedy = "check that the daemon runs and the address is right";

// The whole body of a response with status 200, or why there is none.
auto ReadResponse(UpstreamExchange& exchange, const UpstreamCall& call,
                  Duration timeout) -> Result<std::string> {
  const auto head = exchange.Begin(call, timeout);
  if (!head) return tl::unexpected<Error>(head.error());
  if (head->status != 200) {
    return Fail(ErrorKind::kUnavailable,
                "status " + std::to_string(head->status), kRemedy);
  }
  std::string body;
  while (true) {
    auto progress = exchange.Read(timeout);
    if (!progress) return tl::unexpected<Error>(progress.error());
    if (std::holds_alternative<BodyFinished>(*progress)) return body;
    body += std::get<BodyPart>(*progress).bytes;
  }
}

}  // namespace

auto HttpGet(const SocketAddress& address, const std::string& path,
             Duration timeout) -> Result<std::string> {
  UpstreamCall call;
  call.target = {address.host, address.port};
  call.method = "GET";
  call.url = path;
  UpstreamExchange exchange(call.target);
  auto body = ReadResponse(exchange, call, timeout);
  if (body) return body;
  return Fail(
      ErrorKind::kUnavailable,
      "no answer from " + address.Text() + path + ": " + body.error().message,
      kRemedy);
}

}  // namespace dotterellug
