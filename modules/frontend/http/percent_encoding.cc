#include "frontend/http/percent_encoding.h"

#include <cctype>

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

}  // namespace dotterellug
