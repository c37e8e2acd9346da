#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/core.h"
#include "eventhttp/message/head.h"
#include "eventhttp/message/message_parser.h"
#include "eventhttp/server/http_server.h"

namespace dotterellug::eventhttp {

// One connection of a client. It reads one request after the other and answers
// each before it takes up the next. While a request is being answered the
// connection is read on, so that a client that leaves is noticed at once.
class ServerSession : public std::enable_shared_from_this<ServerSession> {
 public:
  ServerSession(HttpServer& server, boost::asio::ip::tcp::socket socket);

  auto Start() -> void;

  // Answers the current request with a complete body.
  auto Respond(int status, const HeaderFields& fields, std::string_view body)
      -> void;
  // Begins a response whose body follows in pieces; with a length the pieces
  // must add up to it, without one they are sent as chunks.
  auto BeginStream(int status, const HeaderFields& fields,
                   std::optional<std::uint64_t> length) -> void;
  auto SendPiece(std::string_view piece) -> void;
  auto EndStream() -> void;
  // Closes the connection, which shows the client that its response is not
  // complete.
  auto Abort() -> void;

  // Called once when the client leaves while its request is being answered.
  auto OnGone(std::function<void()> handler) -> void {
    on_gone_ = std::move(handler);
  }
  // Whether the client has closed the connection already. OnGone would only be
  // called after the next read, which can be late if the process was paused.
  auto ClientHasLeft() -> bool;
  // Called when bytes that waited to be sent have been handed to the kernel.
  auto OnDrained(std::function<void()> handler) -> void {
    on_drained_ = std::move(handler);
  }
  // Bytes of the response that the kernel has not taken yet.
  auto UnsentBytes() const -> std::size_t {
    return output_.size() + writing_.size() - written_;
  }

  // Whether a request has arrived, at least in part, that is not answered
  // completely.
  auto Busy() const -> bool;
  // Closes the connection if no request is being read or answered.
  auto CloseIfIdle() -> void;
  // Answers a request of which only a part was read with 503.
  auto RefusePartialRequest() -> void;
  auto CheckTimeouts(Timestamp now) -> void;
  // Since when the client has held memory of a body or a response without
  // progress; nothing if it makes progress.
  auto StalledSince(Timestamp now) const -> std::optional<Timestamp>;
  // Since when the connection has carried no request, or one that stalls while
  // it is read; nothing if it is in use.
  auto UselessSince(Timestamp now) const -> std::optional<Timestamp>;
  // Address of the client, without its port.
  auto Client() const -> const std::string& { return client_; }
  // Refuses the request that is read, or closes a response that is not taken.
  auto Evict() -> void;
  // Closes a connection whose descriptor another client needs.
  auto Discard() -> void;

 private:
  enum class State {
    kIdle,       // no byte of the next request
    kReading,    // part of a request was read
    kAnswering,  // the handler has the request
    kLingering,  // the last response is sent; waits for the client to close
    kClosed,
  };

  // Whether the client, which has not been told that the connection closes, may
  // be about to send its last request.
  auto AwaitsLastRequest() const -> bool;
  // Bytes of further requests that have arrived, read ahead or not read.
  auto WaitingInput() const -> std::size_t;
  // Whether a response that is due in a drain is the last one.
  auto LastInDrain() -> bool;
  auto WaitForInput() -> void;
  auto ReadInput() -> void;
  auto HandleEnd() -> void;
  auto ParseInput() -> void;
  auto RejectInput(boost::beast::error_code error) -> void;
  // Reserves memory for what the client has sent and is about to send, or
  // refuses the request. Returns whether it goes on.
  auto ReserveFields() -> bool;
  auto ReserveBody() -> bool;
  auto ReserveMoreBody(std::size_t input) -> bool;
  // Charges bytes of a body, after evictions if necessary.
  auto TryCharge(MemoryCharge& charge, std::size_t bytes) -> bool;
  auto RefuseForMemory(const MemoryCharge& charge) -> void;
  // Charges input that is not parsed and output that is not sent.
  auto ChargeBuffers() -> void;
  // Answers a request that is not read any further, and closes.
  auto RespondUnread(int status, const HeaderFields& fields) -> void;
  auto AnswerEnded() -> void;
  auto AppendHead(int status, const HeaderFields& fields) -> void;
  auto Flush() -> void;
  auto OutputSent() -> void;
  auto Close() -> void;

  HttpServer& server_;
  boost::asio::ip::tcp::socket socket_;
  State state_ = State::kIdle;
  Timestamp state_since_;
  std::string client_;
  std::string input_;
  std::optional<RequestParser> parser_;
  MemoryCharge input_memory_;
  MemoryCharge framing_memory_;
  MemoryCharge output_memory_;
  // Of the fields of the request that is being read or answered.
  MemoryCharge fields_memory_;
  // Of the body that is being received.
  std::shared_ptr<MemoryCharge> body_memory_;
  bool body_announced_ = false;
  // Progress of the body that is being received, or of the response.
  Timestamp progress_at_;
  Timestamp body_began_at_;
  std::size_t body_bytes_ = 0;
  bool waiting_ = false;
  bool continue_sent_ = false;
  bool head_request_ = false;
  bool close_after_ = false;
  // The server is draining and the last response did not announce that.
  bool close_unannounced_ = false;
  // Of the input that had arrived at the first response in a drain, what has
  // not been taken up. It holds requests that are still to be answered.
  std::optional<std::size_t> input_before_close_;
  bool chunked_ = false;
  std::string output_;
  std::string writing_;
  std::size_t written_ = 0;
  bool write_pending_ = false;
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
};

}  // namespace dotterellug::eventhttp
