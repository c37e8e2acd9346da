#include "peer/datagram/datagram_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstring>

namespace dotterellug {

namespace {

struct NativeAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;

  auto Pointer() -> sockaddr* { return reinterpret_cast<sockaddr*>(&storage); }
  auto Pointer() const -> const sockaddr* {
    return reinterpret_cast<const sockaddr*>(&storage);
  }
};

auto ToNative(const SocketAddress& address) -> std::optional<NativeAddress> {
  NativeAddress native;
  auto* ipv4 = reinterpret_cast<sockaddr_in*>(&native.storage);
  auto* ipv6 = reinterpret_cast<sockaddr_in6*>(&native.storage);
  if (inet_pton(AF_INET, address.host.c_str(), &ipv4->sin_addr) == 1) {
    ipv4->sin_family = AF_INET;
    ipv4->sin_port = htons(address.port);
    native.length = sizeof *ipv4;
    return native;
  }
  if (inet_pton(AF_INET6, address.host.c_str(), &ipv6->sin6_addr) == 1) {
    ipv6->sin6_family = AF_INET6;
    ipv6->sin6_port = htons(address.port);
    native.length = sizeof *ipv6;
    return native;
  }
  return std::nullopt;
}

auto FromNative(const NativeAddress& native) -> SocketAddress {
  std::array<char, INET6_ADDRSTRLEN> text{};
  const auto* ipv4 = reinterpret_cast<const sockaddr_in*>(&native.storage);
  const auto* ipv6 = reinterpret_cast<const sockaddr_in6*>(&native.storage);
  if (native.storage.ss_family == AF_INET6) {
    inet_ntop(AF_INET6, &ipv6->sin6_addr, text.data(), text.size());
    return {text.data(), ntohs(ipv6->sin6_port)};
  }
  inet_ntop(AF_INET, &ipv4->sin_addr, text.data(), text.size());
  return {text.data(), ntohs(ipv4->sin_port)};
}

auto SystemError(const std::string& what) -> tl::unexpected<Error> {
  return Fail(ErrorKind::kUnavailable, what + ": " + std::strerror(errno),
              "check the address and that no other process uses the port");
}

}  // namespace

auto DatagramSocket::Bind(const SocketAddress& address)
    -> Result<std::unique_ptr<DatagramSocket>> {
  const auto native = ToNative(address);
  if (!native) {
    return Fail(ErrorKind::kInvalidArgument,
                "'" + address.host + "' is not an IP address",
                "set the peer address to an IP address of this instance");
  }
  const int socket =
      ::socket(native->storage.ss_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const int wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  std::unique_ptr<DatagramSocket> result(new DatagramSocket(socket, wake));
  if (socket < 0 || wake < 0) return SystemError("cannot create a UDP socket");
  if (bind(socket, native->Pointer(), native->length) != 0) {
    return SystemError("cannot bind UDP " + address.Text());
  }
  return result;
}

DatagramSocket::~DatagramSocket() {
  if (socket_ >= 0) close(socket_);
  if (wake_ >= 0) close(wake_);
}

auto DatagramSocket::SendTo(const SocketAddress& address,
                            std::string_view bytes) const -> Result<void> {
  const auto native = ToNative(address);
  if (!native) {
    return Fail(ErrorKind::kInvalidArgument,
                "'" + address.host + "' is not an IP address",
                "pass the IP address of the peer");
  }
  const auto sent = sendto(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT,
                           native->Pointer(), native->length);
  if (sent < 0) return SystemError("cannot send to " + address.Text());
  return {};
}

auto DatagramSocket::Receive() -> std::optional<Received> {
  std::array<pollfd, 2> events{pollfd{socket_, POLLIN, 0},
                               pollfd{wake_, POLLIN, 0}};
  while (true) {
    const auto ready = poll(events.data(), events.size(), -1);
    if (ready < 0 && errno != EINTR) return std::nullopt;
    if (ready <= 0) continue;
    if (events[1].revents != 0) return std::nullopt;
    NativeAddress source;
    source.length = sizeof source.storage;
    const auto length =
        recvfrom(socket_, buffer_.data(), buffer_.size(), MSG_DONTWAIT,
                 source.Pointer(), &source.length);
    // Fails when a checksum was wrong, or with the ICMP error of an earlier
    // datagram to a closed port; neither concerns later datagrams.
    if (length < 0) continue;
    return Received{FromNative(source),
                    {buffer_.data(), static_cast<std::size_t>(length)}};
  }
}

auto DatagramSocket::Wake() const -> void {
  const std::uint64_t one = 1;
  // Cannot fail: the counter of the event descriptor is never exhausted.
  [[maybe_unused]] const auto written = write(wake_, &one, sizeof one);
}

auto DatagramSocket::Port() const -> std::uint16_t {
  NativeAddress native;
  native.length = sizeof native.storage;
  if (getsockname(socket_, native.Pointer(), &native.length) != 0) return 0;
  return FromNative(native).port;
}

}  // namespace dotterellug
