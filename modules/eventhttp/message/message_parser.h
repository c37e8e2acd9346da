#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/net/body_framing.h"
#include "core/net/status_code.h"
#include "eventhttp/message/head.h"

namespace dotterellug::eventhttp {

// Parses one request or response piece by piece. Body bytes, without chunk
// framing, are collected until TakeBody. A message whose head leaves room for
// doubt about where its body ends is an error.
template <bool kIsRequest>
class MessageParser : public boost::beast::http::basic_parser<kIsRequest> {
 public:
  using Base = boost::beast::http::basic_parser<kIsRequest>;
  using Error = boost::beast::error_code;

  MessageParser() { this->eager(true); }

  // Consumes what it can of `input` and returns the number of bytes used. The
  // rest is to be passed again with more bytes behind it. After an error the
  // message cannot be continued.
  auto Feed(std::string_view input, Error& error) -> std::size_t {
    std::size_t used = 0;
    while (used < input.size() && !this->is_done()) {
      const auto rest = input.substr(used);
      if (!kIsRequest && !head_accepted_ && HoldsFoldedLine(rest)) {
        error = boost::beast::http::error::bad_field;
        break;
      }
      const auto consumed =
          this->put(boost::asio::buffer(rest.data(), rest.size()), error);
      used += consumed;
      if (error == boost::beast::http::error::need_more) {
        error = {};
        break;
      }
      if (error || consumed == 0) break;
    }
    return used;
  }

  // Bounds of what frames a chunked body, in bytes. Beyond them the message is
  // an error.
  struct FramingLimits {
    // One chunk header with its extensions.
    std::size_t chunk_header = 4'096;
    // All trailers together.
    std::size_t trailers = 16'384;
  };
  auto SetFramingLimits(const FramingLimits& limits) -> void {
    framing_limits_ = limits;
  }
  // Whether `unparsed`, the input that Feed left, is within the bounds. The
  // parser itself asks for more input until a chunk header, or all trailers,
  // are complete.
  auto UnparsedWithinLimits(std::string_view unparsed) const -> bool {
    if (!head_accepted_) return true;
    // The line end after the data of the chunk before.
    if (unparsed.substr(0, 2) == "\r\n") unparsed.remove_prefix(2);
    const auto line_end = unparsed.find('\n');
    const bool complete = line_end != std::string_view::npos;
    if ((complete ? line_end : unparsed.size()) >
        framing_limits_.chunk_header) {
      return false;
    }
    return !complete ||
           unparsed.size() - line_end - 1 <= framing_limits_.trailers;
  }

  // Whether the head has been read whole and is valid.
  auto HeadAccepted() const -> bool { return head_accepted_; }
  // The head, complete when HeadAccepted() is true.
  auto Head() -> std::conditional_t<kIsRequest, RequestHead, ResponseHead>& {
    return head_;
  }
  // The body bytes since the last call.
  auto TakeBody() -> std::string { return std::move(body_); }
  auto Body() const -> const std::string& { return body_; }
  // Makes room for so many bytes of the body.
  auto ReserveBody(std::size_t bytes) -> void { body_.reserve(bytes); }
  auto BodyCapacity() const -> std::size_t { return body_.capacity(); }

 private:
  using View = boost::beast::string_view;

  // HTTP/1.0 has no transfer codings.
  static constexpr int kFirstVersionWithCodings = 11;

  // Whether `lines`, which begin at the start of a line of a head, hold one
  // that continues the line before it (RFC 9112, 5.2). The parser joins such
  // lines, which is fine for a request; a response that is passed on would bear
  // a value that its server has not sent.
  static auto HoldsFoldedLine(std::string_view lines) -> bool {
    while (!lines.empty()) {
      if (lines.front() == ' ' || lines.front() == '\t') return true;
      const auto end = lines.find("\r\n");
      if (end == 0 || end == std::string_view::npos) return false;
      lines.remove_prefix(end + 2);
    }
    return false;
  }
  static auto Text(View view) -> std::string {
    return {view.data(), view.size()};
  }

  auto on_request_impl(boost::beast::http::verb, View method, View target,
                       int version, Error&) -> void override {
    version_ = version;
    if constexpr (kIsRequest) {
      head_.method = Text(method);
      head_.target = Text(target);
    }
  }
  auto on_response_impl(int status, View reason, int version, Error& error)
      -> void override {
    version_ = version;
    if (!IsValidStatus(status)) {
      error = boost::beast::http::error::bad_status;
      return;
    }
    if constexpr (!kIsRequest) {
      head_.status = status;
      head_.reason = Text(reason);
    }
  }
  // Trailers come here as well. They are dropped: a field that is only valid in
  // a head, such as one that authenticates, must not take effect after the
  // body.
  auto on_field_impl(boost::beast::http::field, View name, View value,
                     Error& error) -> void override {
    if (head_accepted_) {
      constexpr std::size_t kSeparators = 4;
      trailer_bytes_ += name.size() + value.size() + kSeparators;
      if (trailer_bytes_ > framing_limits_.trailers) {
        error = boost::beast::http::error::header_limit;
      }
      return;
    }
    framing_.Add({name.data(), name.size()}, {value.data(), value.size()});
    head_.fields.push_back({Text(name), Text(value)});
  }
  auto on_header_impl(Error& error) -> void override {
    if (!framing_.Unambiguous(version_ >= kFirstVersionWithCodings)) {
      error = boost::beast::http::error::bad_transfer_encoding;
      return;
    }
    head_accepted_ = true;
    head_.keep_alive = this->keep_alive();
  }
  auto on_body_init_impl(const boost::optional<std::uint64_t>&, Error&)
      -> void override {}
  auto on_body_impl(View piece, Error&) -> std::size_t override {
    body_.append(piece.data(), piece.size());
    return piece.size();
  }
  auto on_chunk_header_impl(std::uint64_t, View extensions, Error& error)
      -> void override {
    if (extensions.size() > framing_limits_.chunk_header) {
      error = boost::beast::http::error::bad_chunk_extension;
    }
  }
  auto on_chunk_body_impl(std::uint64_t, View piece, Error&)
      -> std::size_t override {
    body_.append(piece.data(), piece.size());
    return piece.size();
  }
  auto on_finish_impl(Error&) -> void override {}

  std::conditional_t<kIsRequest, RequestHead, ResponseHead> head_;
  BodyFraming framing_;
  FramingLimits framing_limits_;
  std::size_t trailer_bytes_ = 0;
  // 10 for HTTP/1.0, 11 for HTTP/1.1.
  int version_ = 0;
  bool head_accepted_ = false;
  std::string body_;
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

}  // namespace dotterellug::eventhttp
