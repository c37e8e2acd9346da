#include "core/text/percent_encoding.h"

#include <cctype>
#include <charconv>

namespace dotterellug {

auto PercentEncode(std::string_view text, std::string_view kept)
    -> std::string {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr std::string_view kUnreserved = "-._~";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    const bool plain = std::isalnum(byte) != 0 ||
                       kUnreserved.find(c) != std::string_view::npos ||
                       kept.find(c) != std::string_view::npos;
    if (plain) {
      encoded += c;
      continue;
    }
    encoded += '%';
    encoded += kDigits[byte >> 4U];
    encoded += kDigits[byte & 15U];
  }
  return encoded;
}

auto PercentDecode(std::string_view text) -> std::optional<std::string> {
  constexpr std::size_t kDigits = 2;
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    const auto digits = text.substr(i + 1, kDigits);
    unsigned byte = 0;
    const auto* end = digits.data() + digits.size();
    const auto read = std::from_chars(digits.data(), end, byte, 16);
    const bool whole = read.ec == std::errc() && read.ptr == end;
    if (!whole || digits.size() < kDigits) return std::nullopt;
    decoded += static_cast<char>(byte);
    i += kDigits;
  }
  return decoded;
}

}  // namespace dotterellug
