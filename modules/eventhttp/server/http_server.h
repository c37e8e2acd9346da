#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/core.h"
#include "eventhttp/memory/memory_account.h"
#include "eventhttp/message/head.h"

namespace dotterellug::eventhttp {

class ServerSession;

// Bounds on what clients may send. The defaults hold until a configuration is
// known.
struct ServerLimits {
  std::size_t header_bytes = 16'384;
  std::uint64_t body_bytes = 4'194'304;
  // From the first byte of a request until all of it was read.
  Duration header_timeout = std::chrono::seconds(10);
  // How long a connection may stay without a request.
  Duration idle_timeout = std::chrono::seconds(60);
};

// Bounds on what all clients together may cause. Unlike ServerLimits they come
// from the instance on which the process runs.
struct OverloadLimits {
  // Open connections; 0 for no bound.
  std::size_t connections = 0;
  std::size_t chunk_header_bytes = 4'096;
  std::size_t trailer_bytes = 16'384;
  // A client that has sent nothing of its body, or taken nothing of its
  // response, for so long may be evicted if another one needs the room.
  Duration stall_time = std::chrono::milliseconds(500);
  // So may one that sends its body more slowly than this, in bytes a second.
  double least_body_rate = 16'384;
  // When a refused client is asked to come back.
  Duration retry_after = std::chrono::seconds(1);
};

// Why a client was refused or its connection closed.
enum class ClientRefusal : std::uint8_t {
  kNoMemory,            // the request does not fit the memory account
  kHolderMemory,        // its address has its part of the memory already
  kEvicted,             // it stalled, and another client needed the room
  kChunkFraming,        // a chunk header or the trailers are too large
  kTooManyConnections,  // all connections are in use
};
auto ClientRefusalName(ClientRefusal refusal) -> const char*;

// A request that was read whole.
struct ServerRequest {
  RequestHead head;
  std::string body;
  Timestamp received_at;
  // Charges the body as long as the request lives.
  std::shared_ptr<MemoryCharge> memory;
};

// Accepts connections on one address and passes each request to the handler.
// Must outlive its sessions' requests; create it for the life of the process.
class HttpServer {
 public:
  using Handler =
      std::function<void(std::shared_ptr<ServerSession>, ServerRequest)>;

  HttpServer(boost::asio::io_context& loop, Handler handler);
  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;
  ~HttpServer();

  // Fails when the address cannot be bound; may then be called again. Changes
  // nothing if the server listens already.
  auto Listen(const SocketAddress& address) -> Result<SocketAddress>;
  auto SetLimits(const ServerLimits& limits) -> void { limits_ = limits; }
  auto Limits() const -> const ServerLimits& { return limits_; }
  // Charges the memory that clients cause to the account, whose bounds hold
  // from then on. Call it before Listen.
  auto SetOverloadLimits(std::shared_ptr<MemoryAccount> memory,
                         const OverloadLimits& limits) -> void {
    memory_ = std::move(memory);
    overload_ = limits;
  }
  // Called for each client that is refused because of these limits, with its
  // address.
  auto OnRefusal(
      std::function<void(ClientRefusal, const std::string& client)> handler)
      -> void {
    on_refusal_ = std::move(handler);
  }

  // From now on every response asks the client to close the connection.
  auto BeginDrain() -> void { draining_ = true; }
  auto Draining() const -> bool { return draining_; }
  // Stops accepting, and closes connections without a request.
  auto StopAccepting() -> void;
  // Answers requests that have been read only in part with 503, because the
  // server is about to end.
  auto RefusePartialRequests() -> void;
  // Connections that are open, whether a request is under way on them or not.
  auto OpenSessions() const -> std::size_t { return sessions_.size(); }
  // Connections with a request that has not been answered completely.
  auto BusySessions() const -> std::size_t;

 private:
  friend class ServerSession;

  // Sessions may end while the caller goes through them.
  auto CopyOfSessions() const -> std::vector<std::shared_ptr<ServerSession>>;
  auto Accept() -> void;
  // Accepts the connections that clients have made but that wait in the queue,
  // and returns why it ended: would_block if all were accepted. Each becomes a
  // session before control returns to the loop, so that a stop misses none.
  auto AcceptWaiting() -> boost::system::error_code;
  auto StartSession(boost::asio::ip::tcp::socket socket) -> void;
  auto Sweep() -> void;
  // Evicts stalled clients, the longest stalled first, until `enough`; only
  // those with the address `client` unless it is empty. Returns whether that
  // was reached. The session that needs the room is never evicted.
  auto EvictUntil(const ServerSession& needs_room, const std::string& client,
                  const std::function<bool()>& enough) -> bool;
  // Makes room for another connection if all are in use; returns whether there
  // is some.
  auto RoomForConnection() -> bool;
  auto NoteRefusal(ClientRefusal refusal, const std::string& client) -> void {
    if (on_refusal_) on_refusal_(refusal, client);
  }

  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer sweep_timer_;
  Handler handler_;
  ServerLimits limits_;
  OverloadLimits overload_;
  std::shared_ptr<MemoryAccount> memory_ = std::make_shared<MemoryAccount>();
  std::function<void(ClientRefusal, const std::string&)> on_refusal_;
  bool draining_ = false;
  std::unordered_set<std::shared_ptr<ServerSession>> sessions_;
};

}  // namespace dotterellug::eventhttp
