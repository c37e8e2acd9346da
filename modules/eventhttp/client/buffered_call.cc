#include "eventhttp/client/buffered_call.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace dotterellug::eventhttp {
namespace {

struct PendingCall {
  explicit PendingCall(boost::asio::io_context& loop) : timer(loop) {}

  auto End(ExchangeEnd end) -> void {
    timer.cancel();
    if (!on_answer) return;
    answer.end = end;
    std::exchange(on_answer, nullptr)(answer);
  }

  boost::asio::steady_timer timer;
  std::shared_ptr<ClientConnection> connection;
  std::function<void(const BufferedAnswer&)> on_answer;
  BufferedAnswer answer;
};

}  // namespace

auto CallBuffered(boost::asio::io_context& loop, ConnectionPool& connections,
                  const SocketAddress& address, std::string request,
                  const CallOptions& options,
                  std::function<void(const BufferedAnswer&)> on_answer)
    -> void {
  auto call = std::make_shared<PendingCall>(loop);
  call->on_answer = std::move(on_answer);
  call->connection = options.own_connection
                         ? std::make_shared<ClientConnection>(loop, address)
                         : connections.Acquire(address, options.max_idle);
  call->timer.expires_after(options.timeout);
  call->timer.async_wait([call](boost::system::error_code error) {
    if (error || !call->on_answer) return;
    call->connection->Cancel();
    call->End(ExchangeEnd::kNoResponse);
  });
  ExchangeHandlers handlers;
  handlers.on_head = [call](ResponseHead& head) {
    call->answer.status = head.status;
    call->answer.fields = head.fields;
    call->answer.reused_connection = call->connection->Reused();
    return HeadVerdict::kAccept;
  };
  handlers.on_body = [call,
                      limit = options.max_body_bytes](std::string_view piece) {
    call->answer.body += piece;
    if (call->answer.body.size() <= limit) return;
    call->connection->Cancel();
    call->End(ExchangeEnd::kProtocolError);
  };
  handlers.on_end = [&connections, call, own = options.own_connection,
                     keeps = options.keeps_connection](ExchangeEnd end) {
    call->answer.end = end;
    const bool complete = end == ExchangeEnd::kComplete;
    if (own || (complete && keeps && !keeps(call->answer))) {
      call->connection->Cancel();
    } else {
      connections.Release(call->connection);
    }
    call->End(end);
  };
  call->connection->Exchange(std::move(request), std::move(handlers));
}

}  // namespace dotterellug::eventhttp
