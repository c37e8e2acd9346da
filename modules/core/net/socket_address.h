#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

#include "core/errors/error.h"

namespace dotterellug {

// An IP address and a TCP or UDP port.
struct SocketAddress {
  std::string host;
  std::uint16_t port = 0;

  // "127.0.0.1:8080" or "[::1]:8080".
  auto Text() const -> std::string;

  friend auto operator==(const SocketAddress& a, const SocketAddress& b)
      -> bool {
    return a.host == b.host && a.port == b.port;
  }
  friend auto operator!=(const SocketAddress& a, const SocketAddress& b)
      -> bool {
    return !(a == b);
  }
  friend auto operator<(const SocketAddress& a, const SocketAddress& b)
      -> bool {
    if (a.host != b.host) return a.host < b.host;
    return a.port < b.port;
  }
  friend auto operator<<(std::ostream& out, const SocketAddress& address)
      -> std::ostream& {
    return out << address.Text();
  }
};

// Reads the form that Text writes. Host names and port 0 are rejected.
auto ParseSocketAddress(std::string_view text) -> Result<SocketAddress>;

// Whether `host` is an IPv4 or IPv6 address.
auto IsIpAddress(const std::string& host) -> bool;

}  // namespace dotterellug
