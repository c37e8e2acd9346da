#include "eventhttp/server/server_session.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
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

// Buffers that held more are released when they are empty.
constexpr std::size_t kKeptBuffer = 16'384;

auto ReleaseIfLarge(std::string& buffer) -> void {
  const bool large = buffer.empty() && buffer.capacity() > kKeptBuffer;
  if (large) std::string().swap(buffer);
}

auto ClientAddress(const boost::asio::ip::tcp::socket& socket) -> std::string {
  boost::system::error_code error;
  const auto endpoint = socket.remote_endpoint(error);
  return error ? std::string() : endpoint.address().to_string();
}

}  // namespace

ServerSession::ServerSession(HttpServer& server,
                             boost::asio::ip::tcp::socket socket)
    : server_(server),
      socket_(std::move(socket)),
      state_since_(MonotonicNow()),
      client_(ClientAddress(socket_)),
      input_memory_(server.memory_, MemoryUse::kHead),
      framing_memory_(server.memory_, MemoryUse::kFraming),
      output_memory_(server.memory_, MemoryUse::kUnsentResponse),
      fields_memory_(server.memory_, MemoryUse::kHead),
      progress_at_(state_since_) {}

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
  if (!ReserveMoreBody(count)) return WaitForInput();
  input_.append(scratch.data(), count);
  if (state_ != State::kAnswering) ParseInput();
  ChargeBuffers();
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
    parser_->SetFramingLimits({server_.overload_.chunk_header_bytes,
                               server_.overload_.trailer_bytes});
    continue_sent_ = false;
    body_memory_ = nullptr;
  }
  boost::beast::error_code error;
  const auto body_before = parser_->Body().size();
  const auto used = parser_->Feed(input_, error);
  input_.erase(0, used);
  ReleaseIfLarge(input_);
  if (const auto more = parser_->Body().size() - body_before; more > 0) {
    body_bytes_ += more;
    progress_at_ = MonotonicNow();
  }
  if (input_before_close_) {
    *input_before_close_ -= std::min(used, *input_before_close_);
  }
  if (error) return RejectInput(error);
  if (!parser_->UnparsedWithinLimits(input_)) {
    server_.NoteRefusal(ClientRefusal::kChunkFraming, client_);
    return RespondUnread(400, {});
  }
  if (parser_->HeadAccepted() && !body_memory_ &&
      (!ReserveFields() || !ReserveBody())) {
    return;
  }
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
  body_memory_->Set(request.body.capacity());
  body_memory_->ChangeUse(MemoryUse::kKeptBody);
  request.memory = std::exchange(body_memory_, nullptr);
  parser_.reset();
  state_ = State::kAnswering;
  head_request_ = request.head.method == "HEAD";
  close_after_ = !request.head.keep_alive;
  server_.handler_(shared_from_this(), std::move(request));
}

// Called once for each request, when its head has been read.
auto ServerSession::ReserveFields() -> bool {
  const auto bytes = MemoryOf(parser_->Head().fields);
  if (TryCharge(fields_memory_, bytes)) return true;
  RefuseForMemory(fields_memory_);
  return false;
}

// Called after ReserveFields.
auto ServerSession::ReserveBody() -> bool {
  body_memory_ =
      std::make_shared<MemoryCharge>(server_.memory_, MemoryUse::kReceivedBody);
  body_began_at_ = progress_at_ = MonotonicNow();
  body_bytes_ = parser_->Body().size();
  body_announced_ = false;
  if (parser_->is_done() && parser_->Body().empty()) return true;
  // Without bytes it exceeds no part.
  body_memory_->TryAddHolder(client_);
  std::size_t bytes = parser_->BodyCapacity();
  const auto* length = FindField(parser_->Head().fields, "Content-Length");
  if (length != nullptr) {
    // The parser has accepted it as a number within the limit.
    std::size_t announced = 0;
    std::from_chars(length->data(), length->data() + length->size(), announced);
    bytes = std::max(bytes, announced);
    body_announced_ = true;
  }
  if (!TryCharge(*body_memory_, bytes)) {
    RefuseForMemory(*body_memory_);
    return false;
  }
  // Pages are used only when they are written to.
  if (body_announced_) parser_->ReserveBody(bytes);
  return true;
}

// The parser collects the bytes of a body with chunks in a buffer that doubles.
auto ServerSession::ReserveMoreBody(std::size_t input) -> bool {
  const bool collects =
      state_ == State::kReading && body_memory_ != nullptr && !body_announced_;
  if (!collects) return true;
  const auto needed = parser_->Body().size() + input_.size() + input;
  auto room = parser_->BodyCapacity();
  if (needed <= room) return true;
  room = std::min<std::size_t>(
      std::max(needed, 2 * room),
      server_.Limits().body_bytes + input_.size() + input);
  if (!TryCharge(*body_memory_, room)) {
    RefuseForMemory(*body_memory_);
    return false;
  }
  parser_->ReserveBody(room);
  return true;
}

auto ServerSession::TryCharge(MemoryCharge& charge, std::size_t bytes) -> bool {
  const auto enough = [&] { return charge.TrySet(bytes); };
  // Room that others give up does not help a client that has its part.
  const auto more = bytes - std::min(bytes, charge.Bytes());
  if (charge.ExceedsHolder(more)) {
    return server_.EvictUntil(*this, client_, enough);
  }
  return server_.EvictUntil(*this, "", enough);
}

auto ServerSession::RefuseForMemory(const MemoryCharge& charge) -> void {
  const bool holder = charge.ExceedsHolder(1);
  server_.NoteRefusal(
      holder ? ClientRefusal::kHolderMemory : ClientRefusal::kNoMemory,
      client_);
  const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(server_.overload_.retry_after);
  RespondUnread(503, {{"Retry-After", std::to_string(seconds.count())}});
}

auto ServerSession::ChargeBuffers() -> void {
  const bool body = state_ == State::kReading && body_memory_ != nullptr;
  input_memory_.Set(body ? 0 : input_.capacity());
  framing_memory_.Set(body ? input_.capacity() : 0);
  output_memory_.Set(output_.capacity() + writing_.capacity());
}

auto ServerSession::StalledSince(Timestamp now) const
    -> std::optional<Timestamp> {
  const auto& overload = server_.overload_;
  const bool receives = state_ == State::kReading && body_memory_ != nullptr;
  const bool sends = UnsentBytes() > 0;
  if (!receives && !sends) return std::nullopt;
  if (now - progress_at_ > overload.stall_time) return progress_at_;
  if (!receives || now - body_began_at_ <= 2 * overload.stall_time) {
    return std::nullopt;
  }
  const auto rate =
      static_cast<double>(body_bytes_) / ToSeconds(now - body_began_at_);
  if (rate >= overload.least_body_rate) return std::nullopt;
  return body_began_at_;
}

auto ServerSession::UselessSince(Timestamp now) const
    -> std::optional<Timestamp> {
  if (state_ == State::kLingering) return state_since_;
  if (state_ == State::kIdle && !Busy()) return state_since_;
  if (state_ == State::kReading && now - std::max(progress_at_, state_since_) >
                                       server_.overload_.stall_time) {
    return state_since_;
  }
  return StalledSince(now);
}

auto ServerSession::Evict() -> void {
  server_.NoteRefusal(ClientRefusal::kEvicted, client_);
  if (state_ == State::kReading) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(server_.overload_.retry_after);
    return RespondUnread(503,
                         {{"Retry-After", std::to_string(seconds.count())}});
  }
  HandleEnd();
}

auto ServerSession::Discard() -> void {
  server_.NoteRefusal(ClientRefusal::kEvicted, client_);
  HandleEnd();
}

auto ServerSession::RejectInput(boost::beast::error_code error) -> void {
  using Reason = boost::beast::http::error;
  auto status = 400;
  if (error == Reason::header_limit || error == Reason::buffer_overflow) {
    status = 431;
  }
  if (error == Reason::body_limit) status = 413;
  if (parser_->HeadAccepted() &&
      (error == Reason::header_limit || error == Reason::bad_chunk_extension)) {
    server_.NoteRefusal(ClientRefusal::kChunkFraming, client_);
    status = 400;
  }
  RespondUnread(status, {});
}

auto ServerSession::RespondUnread(int status, const HeaderFields& fields)
    -> void {
  parser_.reset();
  body_memory_ = nullptr;
  fields_memory_.Set(0);
  std::string().swap(input_);
  input_before_close_ = 0;
  state_ = State::kAnswering;
  close_after_ = true;
  Respond(status, fields, "");
  ChargeBuffers();
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
  fields_memory_.Set(0);
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
  ReleaseIfLarge(output_);
  written_ = 0;
  write_pending_ = true;
  progress_at_ = MonotonicNow();
  ChargeBuffers();
  boost::asio::async_write(
      socket_, boost::asio::buffer(writing_),
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t count) {
        self->write_pending_ = false;
        self->written_ = count;
        if (self->state_ == State::kClosed) return;
        if (error) return self->HandleEnd();
        self->writing_.clear();
        ReleaseIfLarge(self->writing_);
        self->written_ = 0;
        self->Flush();
        self->ChargeBuffers();
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
  parser_.reset();
  body_memory_ = nullptr;
  fields_memory_.Set(0);
  std::string().swap(input_);
  ChargeBuffers();
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
