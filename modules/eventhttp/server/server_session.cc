#include "eventhttp/server/server_session.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <utility>

#include "eventhttp/message/status_text.h"

namespace dotterellug::eventhttp {
namespace {

// Bytes of further requests that are read while one is being answered.
constexpr std::size_t kReadAhead = 65'536;
// How long a client that has not been told that the connection closes may take
// to send its last request while the server drains.
constexpr auto kLastRequestTime = std::chrono::seconds(1);
// How long a client may take to close after the last response.
constexpr auto kLinger = std::chrono::seconds(1);

// Input of whichever session reads; the loop has one thread.
auto Scratch() -> std::array<char, 32'768>& {
  static std::array<char, 32'768> scratch;
  return scratch;
}

}  // namespace

ServerSession::ServerSession(HttpServer& server,
                             boost::asio::ip::tcp::socket socket)
    : server_(server),
      socket_(std::move(socket)),
      state_since_(MonotonicNow()) {}

auto ServerSession::Start() -> void { WaitForInput(); }

auto ServerSession::WaitForInput() -> void {
  if (waiting_ || state_ == State::kClosed) return;
  if (state_ == State::kAnswering && input_.size() >= kReadAhead) return;
  waiting_ = true;
  socket_.async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](boost::system::error_code error) {
        self->waiting_ = false;
        if (error || self->state_ == State::kClosed) return;
        self->ReadInput();
      });
}

auto ServerSession::ReadInput() -> void {
  auto& scratch = Scratch();
  boost::system::error_code error;
  const auto count = socket_.read_some(boost::asio::buffer(scratch), error);
  if (error == boost::asio::error::would_block) return WaitForInput();
  if (error) return HandleEnd();
  if (state_ == State::kLingering) return WaitForInput();
  input_.append(scratch.data(), count);
  if (state_ != State::kAnswering) ParseInput();
  WaitForInput();
}

auto ServerSession::HandleEnd() -> void {
  const bool answering = state_ == State::kAnswering;
  auto gone = std::move(on_gone_);
  Close();
  if (answering && gone) gone();
}

auto ServerSession::ClientHasLeft() -> bool {
  if (state_ == State::kClosed) return true;
  char next = 0;
  boost::system::error_code error;
  socket_.receive(boost::asio::buffer(&next, 1),
                  boost::asio::socket_base::message_peek, error);
  return error && error != boost::asio::error::would_block;
}

auto ServerSession::ParseInput() -> void {
  if (input_.empty()) return;
  if (state_ == State::kIdle) {
    state_ = State::kReading;
    state_since_ = MonotonicNow();
    parser_.emplace();
    parser_->header_limit(
        static_cast<std::uint32_t>(server_.Limits().header_bytes));
    parser_->body_limit(server_.Limits().body_bytes);
    continue_sent_ = false;
  }
  boost::beast::error_code error;
  const auto used = parser_->Feed(input_, error);
  input_.erase(0, used);
  if (input_before_close_) {
    *input_before_close_ -= std::min(used, *input_before_close_);
  }
  if (error) return RejectInput(error);
  if (!parser_->is_done()) {
    const auto* expect = parser_->HeadAccepted()
                             ? FindField(parser_->Head().fields, "Expect")
                             : nullptr;
    if (expect != nullptr && !continue_sent_) {
      continue_sent_ = true;
      output_ += "HTTP/1.1 100 Continue\r\n\r\n";
      Flush();
    }
    return;
  }
  ServerRequest request;
  request.head = std::move(parser_->Head());
  request.body = parser_->TakeBody();
  request.received_at = MonotonicNow();
  parser_.reset();
  state_ = State::kAnswering;
  head_request_ = request.head.method == "HEAD";
  close_after_ = !request.head.keep_alive;
  server_.handler_(shared_from_this(), std::move(request));
}

auto ServerSession::RejectInput(boost::beast::error_code error) -> void {
  using Reason = boost::beast::http::error;
  auto status = 400;
  if (error == Reason::header_limit || error == Reason::buffer_overflow) {
    status = 431;
  }
  if (error == Reason::body_limit) status = 413;
  RespondUnread(status, {});
}

auto ServerSession::RespondUnread(int status, const HeaderFields& fields)
    -> void {
  parser_.reset();
  state_ = State::kAnswering;
  close_after_ = true;
  Respond(status, fields, "");
}

auto ServerSession::RefusePartialRequest() -> void {
  if (state_ == State::kReading) RespondUnread(503, {{"Retry-After", "0"}});
}

auto ServerSession::AppendHead(int status, const HeaderFields& fields) -> void {
  if (server_.Draining() && LastInDrain()) close_after_ = true;
  output_ += "HTTP/1.1 ";
  output_ += std::to_string(status);
  output_ += ' ';
  output_ += StatusText(status);
  output_ += "\r\n";
  for (const auto& field : fields) {
    output_ += field.name;
    output_ += ": ";
    output_ += field.value;
    output_ += "\r\n";
  }
  if (close_after_) output_ += "Connection: close\r\n";
}

auto ServerSession::Respond(int status, const HeaderFields& fields,
                            std::string_view body) -> void {
  if (state_ != State::kAnswering) return;
  AppendHead(status, fields);
  if (!IsBodiless(status)) {
    output_ += "Content-Length: ";
    output_ += std::to_string(body.size());
    output_ += "\r\n";
  }
  output_ += "\r\n";
  if (!head_request_ && !IsBodiless(status)) output_ += body;
  AnswerEnded();
}

auto ServerSession::BeginStream(int status, const HeaderFields& fields,
                                std::optional<std::uint64_t> length) -> void {
  if (state_ != State::kAnswering) return;
  chunked_ = !length.has_value();
  AppendHead(status, fields);
  if (length) {
    output_ += "Content-Length: ";
    output_ += std::to_string(*length);
    output_ += "\r\n\r\n";
  } else {
    output_ += "Transfer-Encoding: chunked\r\n\r\n";
  }
  Flush();
}

auto ServerSession::SendPiece(std::string_view piece) -> void {
  if (state_ != State::kAnswering || piece.empty() || head_request_) return;
  if (chunked_) {
    std::array<char, 20> size{};
    const auto length =
        std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
    output_.append(size.data(), static_cast<std::size_t>(length));
  }
  output_ += piece;
  if (chunked_) output_ += "\r\n";
  Flush();
}

auto ServerSession::EndStream() -> void {
  if (state_ != State::kAnswering) return;
  if (chunked_ && !head_request_) output_ += "0\r\n\r\n";
  AnswerEnded();
}

auto ServerSession::AnswerEnded() -> void {
  on_gone_ = nullptr;
  on_drained_ = nullptr;
  // A stream whose head was sent before the drain has not told its client to
  // close. One more request may follow, whose answer does.
  close_unannounced_ = server_.Draining() && !close_after_;
  state_ = close_after_ ? State::kLingering : State::kIdle;
  state_since_ = MonotonicNow();
  Flush();
  if (state_ != State::kIdle) return WaitForInput();
  // Requests that were read ahead are taken up from the loop, so that a chain
  // of them does not recurse.
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->state_ == State::kIdle) self->ParseInput();
    self->WaitForInput();
  });
}

auto ServerSession::Flush() -> void {
  if (write_pending_ || state_ == State::kClosed) return;
  if (output_.empty()) return OutputSent();
  writing_.swap(output_);
  output_.clear();
  written_ = 0;
  write_pending_ = true;
  boost::asio::async_write(
      socket_, boost::asio::buffer(writing_),
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t count) {
        self->write_pending_ = false;
        self->written_ = count;
        if (self->state_ == State::kClosed) return;
        if (error) return self->HandleEnd();
        self->writing_.clear();
        self->written_ = 0;
        self->Flush();
      });
}

auto ServerSession::OutputSent() -> void {
  if (state_ == State::kLingering) {
    boost::system::error_code ignored;  // The peer may have closed already.
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    return;
  }
  if (on_drained_) on_drained_();
}

auto ServerSession::Abort() -> void {
  on_gone_ = nullptr;
  on_drained_ = nullptr;
  Close();
}

auto ServerSession::Close() -> void {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  on_drained_ = nullptr;
  boost::system::error_code ignored;  // The descriptor is released anyway.
  socket_.close(ignored);
  server_.sessions_.erase(shared_from_this());
}

auto ServerSession::Busy() const -> bool {
  if (state_ == State::kAnswering || state_ == State::kReading) return true;
  if (UnsentBytes() > 0 || AwaitsLastRequest()) return true;
  return state_ == State::kIdle && WaitingInput() > 0;
}

auto ServerSession::AwaitsLastRequest() const -> bool {
  return state_ == State::kIdle && close_unannounced_ &&
         MonotonicNow() - state_since_ < kLastRequestTime;
}

auto ServerSession::WaitingInput() const -> std::size_t {
  boost::system::error_code error;
  const auto unread = socket_.available(error);
  return input_.size() + (error ? 0 : unread);
}

// What arrives later is not counted, or a client that always sends ahead would
// never be told to close.
auto ServerSession::LastInDrain() -> bool {
  if (!input_before_close_) input_before_close_ = WaitingInput();
  return *input_before_close_ == 0;
}

auto ServerSession::CloseIfIdle() -> void {
  if (state_ == State::kIdle && !Busy()) Close();
}

auto ServerSession::CheckTimeouts(Timestamp now) -> void {
  const auto age = now - state_since_;
  switch (state_) {
    case State::kIdle:
      if (close_unannounced_ || age > server_.Limits().idle_timeout) {
        CloseIfIdle();
      }
      return;
    case State::kReading:
      if (age > server_.Limits().header_timeout) RespondUnread(408, {});
      return;
    case State::kLingering:
      if (UnsentBytes() == 0 && age > kLinger) Close();
      return;
    case State::kAnswering:
    case State::kClosed:
      return;
  }
}

}  // namespace dotterellug::eventhttp
