#pragma once

#include <array>
#include <cstddef>
#include <string_view>

#include "core/errors/error.h"

namespace dotterellug {

// What a MAC is for. A MAC made for one purpose never verifies for another, so
// a response cannot be passed off as a request.
enum class MacPurpose : unsigned char { kRequest, kResponse, kDatagram };

using MessageMac = std::array<unsigned char, 16>;

// The secret that all daemons of a deployment share. It proves that a message
// comes from a daemon of the fleet; it does not tell daemons apart.
class FleetKey {
 public:
  static constexpr std::size_t kBytes = 32;

  // Reads 64 hexadecimal digits, as in the file `key_files.fleet`; white space
  // around them is ignored. Fails with kInvalidArgument.
  static auto Parse(std::string_view text) -> Result<FleetKey>;

  // Keyed BLAKE2b over purpose, length of `head`, `head` and `body`.
  auto Mac(MacPurpose purpose, std::string_view head,
           std::string_view body) const -> MessageMac;
  // Compares in constant time.
  auto Verify(const MessageMac& mac, MacPurpose purpose, std::string_view head,
              std::string_view body) const -> bool;

 private:
  FleetKey() = default;

  std::array<unsigned char, kBytes> bytes_{};
};

}  // namespace dotterellug
