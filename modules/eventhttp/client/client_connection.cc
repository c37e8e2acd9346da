#include "eventhttp/client/client_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cctype>
#include <charconv>
#include <limits>
#include <utility>

#include "eventhttp/message/socket_options.h"
#include "eventhttp/message/status_text.h"

namespace dotterellug::eventhttp {
namespace {

// Input of whichever connection reads; the loop has one thread.
auto Scratch() -> std::array<char, 32'768>& {
  static std::array<char, 32'768> scratch;
  return scratch;
}

// Response heads beyond this size are an error of the server.
constexpr std::uint32_t kHeaderLimit = 65'536;
// Chunk headers and trailers beyond this size are an error of the server. The
// parser has no limit for them and asks for more input until they end.
constexpr std::size_t kMaxUnparsedBytes = 65'536;
// Interim responses of one exchange beyond these bounds are an error of the
// server. No known server sends more than a few.
constexpr int kMaxInterimHeads = 16;
constexpr std::size_t kMaxInterimBytes = 65'536;
constexpr int kSwitchingProtocols = 101;
// A connection on which more requests were left unsettled is not used again.
constexpr std::size_t kMaxUnsettled = 64;

// The `timeout` parameter of a Keep-Alive field, in whole seconds.
auto KeepAliveTimeout(const HeaderFields& fields) -> std::optional<Duration> {
  const auto* value = FindField(fields, "Keep-Alive");
  if (value == nullptr) return std::nullopt;
  const auto at = value->find("timeout=");
  if (at == std::string::npos) return std::nullopt;
  int seconds = 0;
  const auto* begin = value->data() + at + 8;
  const auto [end, error] =
      std::from_chars(begin, value->data() + value->size(), seconds);
  if (error != std::errc() || seconds < 0) return std::nullopt;
  return std::chrono::seconds(seconds);
}

auto HoldsStatusLine(std::string_view text) -> bool {
  constexpr std::string_view kForm = "HTTP/1.x nnn";
  const auto is_digit = [&](std::size_t at) {
    return std::isdigit(static_cast<unsigned char>(text[at])) != 0;
  };
  for (auto at = text.find("HTTP/1."); at != std::string_view::npos;
       at = text.find("HTTP/1.", at + 1)) {
    if (text.size() - at < kForm.size()) return false;
    if (is_digit(at + 7) && text[at + 8] == ' ' && is_digit(at + 9) &&
        is_digit(at + 10) && is_digit(at + 11)) {
      return true;
    }
  }
  return false;
}

// Whether the head begins with a part of another one: the server broke it off
// within a line, and the next answer follows.
auto HoldsAnotherHead(const ResponseHead& head) -> bool {
  return HoldsStatusLine(head.reason) ||
         std::any_of(head.fields.begin(), head.fields.end(),
                     [](const HeaderField& field) {
                       return HoldsStatusLine(field.value);
                     });
}

}  // namespace

ClientConnection::ClientConnection(boost::asio::io_context& loop,
                                   SocketAddress address)
    : socket_(loop), address_(std::move(address)) {}

auto ClientConnection::Exchange(std::string request, ExchangeHandlers handlers,
                                bool expect_body,
                                std::shared_ptr<const std::string> body)
    -> void {
  request_ = std::move(request);
  body_ = std::move(body);
  handlers_ = std::make_shared<ExchangeHandlers>(std::move(handlers));
  on_lost_ = nullptr;
  expect_body_ = expect_body;
  active_ = true;
  reusable_ = false;
  reused_ = connected_;
  request_sent_ = false;
  paused_ = false;
  interim_heads_ = 0;
  interim_bytes_ = 0;
  StartParser();
  if (connected_) {
    Send();
  } else {
    Connect();
  }
}

auto ClientConnection::StartParser() -> void {
  parser_.emplace();
  parser_->header_limit(kHeaderLimit);
  // Beast 1.74 rejects every length when the limit is absent.
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  if (!expect_body_) parser_->skip(true);
  head_done_ = false;
  head_bytes_ = 0;
  body_may_follow_ = false;
  skipping_ = false;
}

auto ClientConnection::Connect() -> void {
  boost::system::error_code error;
  const boost::asio::ip::tcp::endpoint endpoint(
      boost::asio::ip::make_address(address_.host, error), address_.port);
  if (!error) socket_.open(endpoint.protocol(), error);
  if (error) {
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (self->active_) self->Finish(ExchangeEnd::kNotSent);
    });
    return;
  }
  ApplySocketOptions(socket_, kUpstreamSocketTimeouts);
  socket_.async_connect(
      endpoint, [self = shared_from_this()](boost::system::error_code failed) {
        if (self->closed_ || !self->active_) return;
        if (failed) return self->Finish(ExchangeEnd::kNotSent);
        self->connected_ = true;
        self->Send();
      });
}

auto ClientConnection::Send() -> void {
  auto body = std::exchange(body_, nullptr);
  const std::array<boost::asio::const_buffer, 2> buffers{
      boost::asio::buffer(request_),
      body ? boost::asio::buffer(*body) : boost::asio::const_buffer()};
  writing_ = true;
  boost::asio::async_write(socket_, buffers,
                           [self = shared_from_this(), body = std::move(body)](
                               boost::system::error_code error, std::size_t) {
                             self->HandleWritten(error);
                           });
  WaitForInput();
}

auto ClientConnection::HandleWritten(boost::system::error_code error) -> void {
  writing_ = false;
  if (!error) {
    request_sent_ = true;
    return;
  }
  // A failed write shows as the end of the input, after whatever the server
  // answered before. The kernel reports a reset only once, to whichever call
  // comes first; the input then ends as it does after an orderly close. A reset
  // that follows an orderly close is reported as a broken pipe.
  write_took_reset_ = error != boost::asio::error::broken_pipe;
}

auto ClientConnection::WaitForInput() -> void {
  if (waiting_ || closed_ || paused_) return;
  waiting_ = true;
  socket_.async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](boost::system::error_code error) {
        self->waiting_ = false;
        if (self->closed_) return;
        if (error) return self->HandleEnd(false);
        if (!self->paused_) self->ReadInput();
      });
}

auto ClientConnection::Resume() -> void {
  if (!paused_) return;
  paused_ = false;
  WaitForInput();
}

auto ClientConnection::ReadInput() -> void {
  auto& scratch = Scratch();
  boost::system::error_code error;
  const auto count = socket_.read_some(boost::asio::buffer(scratch), error);
  if (error == boost::asio::error::would_block) return WaitForInput();
  if (error == boost::asio::error::eof) return HandleEndOfInput();
  if (error) return HandleEnd(false);
  if (!active_) {
    // Bytes that belong to no request: the connection cannot be trusted.
    return HandleEnd(false);
  }
  input_.append(scratch.data(), count);
  ParseInput();
  WaitForInput();
}

auto ClientConnection::ParseInput() -> void {
  const auto self = shared_from_this();
  const auto handlers = handlers_;
  while (active_ && !closed_ && !input_.empty()) {
    boost::beast::error_code error;
    const auto used = parser_->Feed(input_, error);
    input_.erase(0, used);
    if (!head_done_) head_bytes_ += used;
    if (!parser_->HeadAccepted()) {
      if (head_bytes_ + input_.size() > kHeaderLimit) {
        return Finish(ExchangeEnd::kProtocolError);
      }
    }
    if (parser_->HeadAccepted() && !head_done_ && !HeadRead()) return;
    if (head_done_ && !parser_->Body().empty()) {
      const auto body = parser_->TakeBody();
      if (!skipping_) handlers->on_body(body);
      if (!active_ || closed_) return;
    }
    if (error) {
      return Finish(head_done_ ? ExchangeEnd::kTruncated
                               : ExchangeEnd::kProtocolError);
    }
    if (parser_->is_done()) {
      Complete();
    } else if (used == 0) {
      if (input_.size() <= kMaxUnparsedBytes) return;
      return Finish(head_done_ ? ExchangeEnd::kTruncated
                               : ExchangeEnd::kProtocolError);
    }
  }
}

// Returns whether parsing may go on.
auto ClientConnection::HeadRead() -> bool {
  // A faulty server may send a part of an earlier answer before this one.
  if (reused_ && HoldsAnotherHead(parser_->Head())) {
    Finish(ExchangeEnd::kProtocolError);
    return false;
  }
  const auto& fields = parser_->Head().fields;
  if (const auto timeout = KeepAliveTimeout(fields)) {
    server_idle_timeout_ = timeout;
  }
  if (parser_->Head().status / 100 == 1) {
    // An interim response; the final one follows.
    if (!AcceptsInterim(parser_->Head().status)) {
      Finish(ExchangeEnd::kProtocolError);
      return false;
    }
    StartParser();
    return true;
  }
  const auto* length = FindField(fields, "Content-Length");
  body_may_follow_ = IsBodiless(parser_->Head().status) &&
                     (FindField(fields, "Transfer-Encoding") != nullptr ||
                      (length != nullptr && *length != "0"));
  head_done_ = true;
  const auto verdict = handlers_->on_head(parser_->Head());
  if (!active_ || closed_) return false;
  if (verdict == HeadVerdict::kReject) {
    Finish(ExchangeEnd::kProtocolError);
    return false;
  }
  skipping_ = verdict == HeadVerdict::kSkip;
  return true;
}

auto ClientConnection::AcceptsInterim(int status) -> bool {
  ++interim_heads_;
  interim_bytes_ += head_bytes_;
  return status != kSwitchingProtocols && interim_heads_ <= kMaxInterimHeads &&
         interim_bytes_ <= kMaxInterimBytes;
}

auto ClientConnection::Complete() -> void {
  const bool keep = parser_->keep_alive() && !body_may_follow_;
  if (skipping_) {
    if (!keep) return Finish(ExchangeEnd::kNoResponse);
    StartParser();
    return;
  }
  reusable_ = keep && request_sent_ && input_.empty();
  Finish(ExchangeEnd::kComplete);
}

auto ClientConnection::HandleEndOfInput() -> void {
  if (!writing_) return HandleEnd(!write_took_reset_);
  // The handler of a write that has failed may be queued behind this one.
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (!self->closed_) self->HandleEnd(!self->write_took_reset_);
  });
}

auto ClientConnection::HandleEnd(bool orderly) -> void {
  if (!active_) {
    auto lost = std::move(on_lost_);
    Close();
    if (lost) lost();
    return;
  }
  if (!head_done_ || skipping_) return Finish(ExchangeEnd::kNoResponse);
  if (orderly && parser_->need_eof()) {
    boost::beast::error_code error;
    parser_->put_eof(error);
    if (!error && parser_->is_done()) return Finish(ExchangeEnd::kComplete);
  }
  Finish(ExchangeEnd::kTruncated);
}

auto ClientConnection::Finish(ExchangeEnd end) -> void {
  if (!active_) return;
  active_ = false;
  if (end != ExchangeEnd::kComplete || !request_sent_) {
    Reset();
  } else if (!reusable_) {
    Close();
  }
  const auto handlers = std::exchange(handlers_, nullptr);
  if (request_sent_) std::string().swap(request_);
  handlers->on_end(end);
}

auto ClientConnection::RecordUnsettled(const RequestId& request) -> void {
  unsettled_.push_back(Hash64(request.Value()));
  if (unsettled_.size() > kMaxUnsettled) reusable_ = false;
}

auto ClientConnection::MayCarry(const RequestId& request) const -> bool {
  return std::find(unsettled_.begin(), unsettled_.end(),
                   Hash64(request.Value())) == unsettled_.end();
}

auto ClientConnection::WatchIdle(std::function<void()> on_lost) -> void {
  on_lost_ = std::move(on_lost);
  WaitForInput();
}

auto ClientConnection::Cancel() -> void {
  const bool given_up = std::exchange(active_, false);
  handlers_.reset();
  on_lost_ = nullptr;
  if (given_up) {
    Reset();
  } else {
    Close();
  }
}

auto ClientConnection::Reset() -> void {
  boost::system::error_code ignored;  // It may not have been opened.
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  Close();
}

auto ClientConnection::Close() -> void {
  if (closed_) return;
  closed_ = true;
  reusable_ = false;
  body_ = nullptr;
  boost::system::error_code ignored;  // The descriptor is released anyway.
  socket_.close(ignored);
}

}  // namespace dotterellug::eventhttp
