#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "core/core.h"
#include "eventhttp/client/client_connection.h"

namespace dotterellug::eventhttp {

struct ConnectionPoolOptions {
  // Kept connections per address.
  std::size_t idle_per_address = 24;
  // Used again only if idle for less than this, unless the server states its
  // own timeout, of which `part_of_server_timeout` is used.
  Duration idle_time = std::chrono::seconds(4);
  double part_of_server_timeout = 0.7;
};

// Client connections that can be used again, by address.
class ConnectionPool {
 public:
  ConnectionPool(boost::asio::io_context& loop, ConnectionPoolOptions options)
      : loop_(loop), options_(options) {}

  // A kept connection that was idle for less than `max_idle` and may carry the
  // request, or a new one. Calls without an id leave `request` empty.
  auto Acquire(const SocketAddress& address, Duration max_idle,
               const RequestId& request = RequestId())
      -> std::shared_ptr<ClientConnection>;
  // Keeps the connection for a later exchange if it can be used again, or
  // closes it.
  auto Release(const std::shared_ptr<ClientConnection>& connection) -> void;
  // Closes the kept connections to an address.
  auto Drop(const SocketAddress& address) -> void;
  // Closes connections that have been idle too long.
  auto Sweep(Timestamp now) -> void;

 private:
  struct Idle {
    std::shared_ptr<ClientConnection> connection;
    Timestamp since;
  };

  auto IdleTime(const ClientConnection& connection) const -> Duration;
  auto Forget(const ClientConnection* connection) -> void;

  boost::asio::io_context& loop_;
  ConnectionPoolOptions options_;
  std::map<SocketAddress, std::vector<Idle>> idle_;
};

}  // namespace dotterellug::eventhttp
