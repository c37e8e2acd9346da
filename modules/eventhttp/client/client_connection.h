#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "eventhttp/message/head.h"
#include "eventhttp/message/message_parser.h"

namespace dotterellug::eventhttp {

// How an exchange on a client connection ended.
enum class ExchangeEnd {
  kComplete,       // the whole response was read
  kNotSent,        // no connection; nothing of the request was sent
  kNoResponse,     // the connection broke before a response head
  kTruncated,      // the connection broke within the response
  kProtocolError,  // the peer sent something that is no response
};

// What to do with a response head.
enum class HeadVerdict {
  kAccept,
  kSkip,    // it answers another request; the next one may be ours
  kReject,  // ends the exchange as kProtocolError
};

// Callbacks of one exchange. on_end is called exactly once unless the exchange
// is cancelled.
struct ExchangeHandlers {
  std::function<HeadVerdict(ResponseHead&)> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void(ExchangeEnd)> on_end;
};

// A connection to a server that carries one exchange at a time. After a
// complete exchange it can be kept and used again; after any doubt it is
// closed.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(boost::asio::io_context& loop, SocketAddress address);

  // Sends `request`, head and body, and reads the response. Connects first if
  // the connection is new. `expect_body` is false for HEAD. A large body is
  // shared as `body`, which is sent after `request`, instead of copied.
  auto Exchange(std::string request, ExchangeHandlers handlers,
                bool expect_body = true,
                std::shared_ptr<const std::string> body = nullptr) -> void;
  // Closes the connection; no handler is called afterwards. An exchange that is
  // under way is given up: the connection is reset.
  auto Cancel() -> void;
  // Stops and continues reading the response, for slow receivers.
  auto Pause() -> void { paused_ = true; }
  auto Resume() -> void;

  // Whether the connection was made, so that a request may have been sent.
  auto Connected() const -> bool { return connected_; }
  // Whether the connection carried another exchange before this one, of which
  // a faulty server may send more bytes.
  auto Reused() const -> bool { return reused_; }
  // Whether another exchange may follow.
  auto Reusable() const -> bool { return reusable_ && !closed_; }
  // The answer to a request has left it open whether the request is sent again.
  // A faulty server may send that answer once more, and nothing would tell it
  // from the answer to the next sending on this connection.
  auto RecordUnsettled(const RequestId& request) -> void;
  // Whether no answer to an earlier sending of the request can be taken for the
  // answer to a sending on this connection.
  auto MayCarry(const RequestId& request) const -> bool;
  auto Address() const -> const SocketAddress& { return address_; }
  // Watches an unused connection: whatever arrives on it, or its end, closes it
  // and calls `on_lost`.
  auto WatchIdle(std::function<void()> on_lost) -> void;
  // How long the server keeps the connection without a request, if it said so.
  auto ServerIdleTimeout() const -> std::optional<Duration> {
    return server_idle_timeout_;
  }

 private:
  auto Connect() -> void;
  auto Send() -> void;
  auto HandleWritten(boost::system::error_code error) -> void;
  auto WaitForInput() -> void;
  auto ReadInput() -> void;
  auto ParseInput() -> void;
  auto HeadRead() -> bool;
  // Whether another interim response is within the bounds. Status 101 never is:
  // no request here asks for an upgrade.
  auto AcceptsInterim(int status) -> bool;
  // The input has ended without an error.
  auto HandleEndOfInput() -> void;
  // The connection has ended; `orderly` if the peer closed it and did not reset
  // it.
  auto HandleEnd(bool orderly) -> void;
  auto Complete() -> void;
  auto Finish(ExchangeEnd end) -> void;
  auto Close() -> void;
  // Closes the connection of an exchange that is given up. An orderly close
  // would let the kernel go on sending what the server has not got, and the
  // server take the end of the input for that of a whole request.
  auto Reset() -> void;
  auto StartParser() -> void;

  boost::asio::ip::tcp::socket socket_;
  SocketAddress address_;
  std::string request_;
  // Until it is sent; may be null.
  std::shared_ptr<const std::string> body_;
  std::string input_;
  std::optional<ResponseParser> parser_;
  // Shared with the function that calls a handler, since the handler may cancel
  // the exchange.
  std::shared_ptr<ExchangeHandlers> handlers_;
  std::function<void()> on_lost_;
  std::optional<Duration> server_idle_timeout_;
  bool connected_ = false;
  bool closed_ = false;
  bool active_ = false;
  bool waiting_ = false;
  bool paused_ = false;
  bool writing_ = false;
  bool request_sent_ = false;
  // A write has taken the error that tells a reset from an orderly close.
  bool write_took_reset_ = false;
  bool expect_body_ = true;
  bool head_done_ = false;
  // Bytes of the response head that the parser has used.
  std::size_t head_bytes_ = 0;
  // Interim responses of the exchange, and the bytes of their heads.
  int interim_heads_ = 0;
  std::size_t interim_bytes_ = 0;
  // The response can have no body but announces one, which may follow and would
  // be taken for the next response.
  bool body_may_follow_ = false;
  bool skipping_ = false;
  bool reusable_ = false;
  bool reused_ = false;
  // Hashes of the requests that must not be sent here again.
  std::vector<std::uint64_t> unsettled_;
};

}  // namespace dotterellug::eventhttp
