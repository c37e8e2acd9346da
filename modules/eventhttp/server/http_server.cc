#include "eventhttp/server/http_server.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <utility>

#include "eventhttp/message/socket_options.h"
#include "eventhttp/server/server_session.h"

namespace dotterellug::eventhttp {
namespace {

// Connections that the kernel completes before they are accepted.
constexpr int kBacklog = 1024;
// How often timeouts of sessions are checked; they may end that much later.
constexpr auto kSweepInterval = std::chrono::milliseconds(250);
// Pause after a failed accept, for example without free descriptors.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);

}  // namespace

auto ClientRefusalName(ClientRefusal refusal) -> const char* {
  switch (refusal) {
    case ClientRefusal::kNoMemory:
      return "no_memory";
    case ClientRefusal::kHolderMemory:
      return "holder_memory";
    case ClientRefusal::kEvicted:
      return "evicted";
    case ClientRefusal::kChunkFraming:
      return "chunk_framing";
    case ClientRefusal::kTooManyConnections:
      return "too_many_connections";
  }
  return "no_memory";
}

HttpServer::HttpServer(boost::asio::io_context& loop, Handler handler)
    : loop_(loop),
      acceptor_(loop),
      sweep_timer_(loop),
      handler_(std::move(handler)) {}

HttpServer::~HttpServer() = default;

auto HttpServer::Listen(const SocketAddress& address) -> Result<SocketAddress> {
  namespace ip = boost::asio::ip;
  boost::system::error_code error;
  if (acceptor_.is_open()) {
    return SocketAddress{address.host, acceptor_.local_endpoint().port()};
  }
  const ip::tcp::endpoint endpoint(ip::make_address(address.host, error),
                                   address.port);
  if (!error) acceptor_.open(endpoint.protocol(), error);
  if (!error) {
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true), error);
  }
  if (!error) acceptor_.bind(endpoint, error);
  if (!error) acceptor_.listen(kBacklog, error);
  if (!error) acceptor_.non_blocking(true, error);
  if (error) {
    boost::system::error_code ignored;  // It may not have been opened.
    acceptor_.close(ignored);
    return Fail(ErrorKind::kUnavailable,
                "cannot listen on " + address.Text() + ": " + error.message(),
                "use an address of this machine and a free port");
  }
  Accept();
  Sweep();
  return SocketAddress{address.host, acceptor_.local_endpoint().port()};
}

auto HttpServer::StopAccepting() -> void {
  if (acceptor_.is_open()) AcceptWaiting();
  boost::system::error_code ignored;  // The descriptor is released in any case.
  acceptor_.close(ignored);
  for (const auto& session : CopyOfSessions()) session->CloseIfIdle();
}

auto HttpServer::RefusePartialRequests() -> void {
  for (const auto& session : CopyOfSessions()) session->RefusePartialRequest();
}

auto HttpServer::CopyOfSessions() const
    -> std::vector<std::shared_ptr<ServerSession>> {
  return {sessions_.begin(), sessions_.end()};
}

auto HttpServer::BusySessions() const -> std::size_t {
  std::size_t busy = 0;
  for (const auto& session : sessions_) busy += session->Busy() ? 1 : 0;
  return busy;
}

auto HttpServer::Accept() -> void {
  acceptor_.async_wait(
      boost::asio::ip::tcp::acceptor::wait_read,
      [this](boost::system::error_code error) {
        if (error == boost::asio::error::operation_aborted) return;
        if (!error) error = AcceptWaiting();
        if (error == boost::asio::error::would_block) return Accept();
        auto pause = std::make_shared<boost::asio::steady_timer>(loop_);
        pause->expires_after(kAcceptPause);
        pause->async_wait([this, pause](boost::system::error_code) {
          if (acceptor_.is_open()) Accept();
        });
      });
}

auto HttpServer::StartSession(boost::asio::ip::tcp::socket socket) -> void {
  if (!RoomForConnection()) {
    boost::system::error_code error;
    const auto client = socket.remote_endpoint(error);
    NoteRefusal(ClientRefusal::kTooManyConnections,
                error ? "" : client.address().to_string());
    // Closed unread, which resets it: there is no room to wait for its request.
    return;
  }
  ApplySocketOptions(socket, kCallerSocketTimeouts);
  auto session = std::make_shared<ServerSession>(*this, std::move(socket));
  sessions_.insert(session);
  session->Start();
}

auto HttpServer::AcceptWaiting() -> boost::system::error_code {
  boost::system::error_code error;
  while (!error) {
    boost::asio::ip::tcp::socket socket(loop_);
    acceptor_.accept(socket, error);
    if (!error) StartSession(std::move(socket));
  }
  return error;
}

auto HttpServer::EvictUntil(const ServerSession& needs_room,
                            const std::string& client,
                            const std::function<bool()>& enough) -> bool {
  if (enough()) return true;
  const auto now = MonotonicNow();
  std::vector<std::pair<Timestamp, std::shared_ptr<ServerSession>>> stalled;
  for (const auto& session : sessions_) {
    if (session.get() == &needs_room) continue;
    if (!client.empty() && session->Client() != client) continue;
    if (const auto since = session->StalledSince(now)) {
      stalled.emplace_back(*since, session);
    }
  }
  std::sort(stalled.begin(), stalled.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [since, session] : stalled) {
    session->Evict();
    if (enough()) return true;
  }
  return false;
}

auto HttpServer::RoomForConnection() -> bool {
  const auto room = [this] {
    return overload_.connections == 0 ||
           sessions_.size() < overload_.connections;
  };
  if (room()) return true;
  const auto now = MonotonicNow();
  std::shared_ptr<ServerSession> longest;
  for (const auto& session : sessions_) {
    const auto since = session->UselessSince(now);
    if (!since) continue;
    if (!longest || *since < *longest->UselessSince(now)) longest = session;
  }
  if (!longest) return false;
  longest->Discard();
  return room();
}

auto HttpServer::Sweep() -> void {
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    const auto now = MonotonicNow();
    for (const auto& session : CopyOfSessions()) session->CheckTimeouts(now);
    Sweep();
  });
}

}  // namespace dotterellug::eventhttp
