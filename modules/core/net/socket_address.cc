#include "core/net/socket_address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace dotterellug {

namespace {

auto NotAnAddress() -> tl::unexpected<Error> {
  return Fail(ErrorKind::kInvalidArgument, "not an IP address with a port",
              "write it as 127.0.0.1:8080 or \"[::1]:8080\"");
}

}  // namespace

auto SocketAddress::Text() const -> std::string {
  const bool is_v6 = host.find(':') != std::string::npos;
  return (is_v6 ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

auto IsIpAddress(const std::string& host) -> bool {
  std::array<unsigned char, sizeof(in6_addr)> binary{};
  return inet_pton(AF_INET, host.c_str(), binary.data()) == 1 ||
         inet_pton(AF_INET6, host.c_str(), binary.data()) == 1;
}

auto ParseSocketAddress(std::string_view text) -> Result<SocketAddress> {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return NotAnAddress();
  auto host = text.substr(0, colon);
  const bool has_brackets =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (has_brackets) host = host.substr(1, host.size() - 2);
  const bool is_v6 = host.find(':') != std::string_view::npos;
  SocketAddress address;
  address.host = std::string(host);
  if (is_v6 != has_brackets || !IsIpAddress(address.host)) {
    return NotAnAddress();
  }
  const auto* end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data() + colon + 1, end, address.port);
  if (parsed.ec != std::errc() || parsed.ptr != end || address.port == 0) {
    return NotAnAddress();
  }
  return address;
}

}  // namespace dotterellug
