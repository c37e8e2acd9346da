#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string_view>

#include "core/errors/error.h"
#include "core/net/socket_address.h"

namespace dotterellug {

// A bound UDP socket whose receiver can be woken up. Thread-safe.
class DatagramSocket {
 public:
  // Fails with kInvalidArgument or kUnavailable.
  static auto Bind(const SocketAddress& address)
      -> Result<std::unique_ptr<DatagramSocket>>;
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  auto operator=(const DatagramSocket&) -> DatagramSocket& = delete;

  // Fails with kUnavailable; the datagram was not sent.
  auto SendTo(const SocketAddress& address, std::string_view bytes) const
      -> Result<void>;

  struct Received {
    SocketAddress source;
    // Valid until the next call of Receive. Longer datagrams than the buffer
    // are cut; the buffer exceeds every valid one.
    std::string_view bytes;
  };
  // Waits for a datagram; nothing after Wake.
  auto Receive() -> std::optional<Received>;
  // Makes this and all later calls of Receive return nothing.
  auto Wake() const -> void;

  auto Port() const -> std::uint16_t;

 private:
  DatagramSocket(int socket, int wake) : socket_(socket), wake_(wake) {}

  int socket_;
  int wake_;
  std::array<char, 2048> buffer_{};
};

}  // namespace dotterellug
