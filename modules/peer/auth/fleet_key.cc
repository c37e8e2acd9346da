#include "peer/auth/fleet_key.h"

#include <sodium.h>

#include <cstdint>

namespace dotterellug {

namespace {

static_assert(std::tuple_size_v<MessageMac> >= crypto_generichash_BYTES_MIN);
static_assert(FleetKey::kBytes <= crypto_generichash_KEYBYTES_MAX);

auto Bytes(std::string_view text) -> const unsigned char* {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

auto FleetKey::Parse(std::string_view text) -> Result<FleetKey> {
  FleetKey key;
  std::size_t length = 0;
  const auto read =
      sodium_hex2bin(key.bytes_.data(), key.bytes_.size(), text.data(),
                     text.size(), " \t\r\n", &length, nullptr);
  if (sodium_init() < 0 || read != 0 || length != kBytes) {
    return Fail(ErrorKind::kInvalidArgument,
                "the fleet key is not 64 hexadecimal digits",
                "create one with: openssl rand -hex 32");
  }
  return key;
}

auto FleetKey::Mac(MacPurpose purpose, std::string_view head,
                   std::string_view body) const -> MessageMac {
  // The length separates head and body, so that bytes cannot move between
  // them under the same MAC.
  std::array<unsigned char, 5> prefix{static_cast<unsigned char>(purpose)};
  const auto length = static_cast<std::uint32_t>(head.size());
  for (std::size_t index = 0; index < 4; ++index) {
    prefix[index + 1] = static_cast<unsigned char>(length >> (8 * index));
  }
  MessageMac mac;
  crypto_generichash_state state;
  crypto_generichash_init(&state, bytes_.data(), bytes_.size(), mac.size());
  crypto_generichash_update(&state, prefix.data(), prefix.size());
  crypto_generichash_update(&state, Bytes(head), head.size());
  crypto_generichash_update(&state, Bytes(body), body.size());
  crypto_generichash_final(&state, mac.data(), mac.size());
  return mac;
}

auto FleetKey::Verify(const MessageMac& mac, MacPurpose purpose,
                      std::string_view head, std::string_view body) const
    -> bool {
  const auto expected = Mac(purpose, head, body);
  return sodium_memcmp(mac.data(), expected.data(), mac.size()) == 0;
}

}  // namespace dotterellug
