#include "upstream/exchange/response_head_reader.h"

#include <algorithm>
#include <string>

#include "core/net/status_code.h"
#include "core/text/parse_integer.h"

namespace dotterellug {
namespace {

// A longer head, with all interim ones and the trailers, is an error of the
// upstream.
constexpr std::size_t kMaxHeadBytes = 65'536;
constexpr int kFirstFinalStatus = 200;
constexpr std::size_t kStatusDigits = 3;

auto WithoutLineEnd(std::string_view line) -> std::string_view {
  if (!line.empty() && line.back() == '\n') line.remove_suffix(1);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

auto Trim(std::string_view text) -> std::string_view {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

// Whether the text is a token (RFC 9110, 5.6.2), as names of fields are.
auto IsToken(std::string_view text) -> bool {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
           (c >= 'a' && c <= 'z') || kMarks.find(c) != std::string_view::npos;
  });
}

// Whether the text has no control bytes (RFC 9110, 5.5).
auto IsFieldValue(std::string_view text) -> bool {
  return std::none_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && c != '\t') || byte == 0x7f;
  });
}

// The status in a status line of HTTP/1.0 or 1.1, or nullopt if the line or the
// status is invalid. libcurl is more lenient.
auto ParseStatusLine(std::string_view line) -> std::optional<int> {
  constexpr std::string_view kVersion10 = "HTTP/1.0 ";
  constexpr std::string_view kVersion11 = "HTTP/1.1 ";
  const auto version = line.substr(0, kVersion11.size());
  if (version != kVersion10 && version != kVersion11) return std::nullopt;
  line.remove_prefix(version.size());
  const auto digits = line.substr(0, line.find(' '));
  if (digits.size() != kStatusDigits) return std::nullopt;
  const auto status = ParseInteger(digits);
  if (!status || !IsValidStatus(static_cast<int>(*status))) return std::nullopt;
  return static_cast<int>(*status);
}

}  // namespace

auto ResponseHeadFaultText(ResponseHeadFault fault) -> const char* {
  switch (fault) {
    case ResponseHeadFault::kInvalidStatusLine:
      return "an invalid status line";
    case ResponseHeadFault::kInvalidField:
      return "an invalid header field";
    case ResponseHeadFault::kTooLong:
      return "a head that is too long";
    case ResponseHeadFault::kAmbiguousFraming:
      return "a head that does not tell where its body ends";
  }
  return "a head that cannot be read";
}

auto ResponseHeadReader::Add(std::string_view line)
    -> std::optional<ResponseHeadFault> {
  bytes_ += line.size();
  if (bytes_ > kMaxHeadBytes) return ResponseHeadFault::kTooLong;
  // What follows are trailers. A field that is only valid in a head, such as
  // one that authenticates, must not take effect after the body.
  if (complete_) return std::nullopt;
  line = WithoutLineEnd(line);
  if (!began_) {
    const auto status = ParseStatusLine(line);
    if (!status) return ResponseHeadFault::kInvalidStatusLine;
    head_ = {};
    framing_ = {};
    head_.status = *status;
    began_ = true;
    return std::nullopt;
  }
  if (!line.empty()) return AddField(line);
  if (!framing_.Unambiguous(true)) return ResponseHeadFault::kAmbiguousFraming;
  // Another head follows that of an interim response.
  began_ = false;
  complete_ = head_.status >= kFirstFinalStatus;
  return std::nullopt;
}

auto ResponseHeadReader::AddField(std::string_view line)
    -> std::optional<ResponseHeadFault> {
  // A line that continues the one before it begins with a blank, so that its
  // name is no token either.
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) return ResponseHeadFault::kInvalidField;
  const auto name = line.substr(0, colon);
  const auto value = Trim(line.substr(colon + 1));
  if (!IsToken(name) || !IsFieldValue(value)) {
    return ResponseHeadFault::kInvalidField;
  }
  framing_.Add(name, value);
  head_.headers.push_back({std::string(name), std::string(value)});
  return std::nullopt;
}

}  // namespace dotterellug
