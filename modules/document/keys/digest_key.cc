#include "document/keys/digest_key.h"

#include <sodium.h>

#include <fstream>

namespace dotterellug {

namespace {

constexpr std::size_t kHexLength = 2 * DigestKey::kBytes;

}  // namespace

auto DigestKey::FromHex(std::string_view text) -> Result<DigestKey> {
  // Selects the implementation for this processor; may be repeated.
  if (sodium_init() < 0) {
    return Fail(ErrorKind::kInternal, "libsodium cannot be initialised",
                "check that the system's random source works");
  }
  DigestKey key;
  std::size_t length = 0;
  const int status =
      sodium_hex2bin(key.bytes_.data(), key.bytes_.size(), text.data(),
                     text.size(), nullptr, &length, nullptr);
  if (status != 0 || length != kBytes || text.size() != kHexLength) {
    return Fail(ErrorKind::kInvalidArgument,
                "the digest key is not 64 hexadecimal digits",
                "create one with \"openssl rand -hex 32\"");
  }
  return key;
}

auto DigestKey::FromFile(const std::string& path) -> Result<DigestKey> {
  std::ifstream file(path, std::ios::binary);
  std::string text(kHexLength + 2, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!file && !file.eof()) {
    return Fail(ErrorKind::kNotFound, "cannot read digest key file " + path,
                "check the path and the permissions");
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.pop_back();
  }
  auto key = FromHex(text);
  sodium_memzero(text.data(), text.size());
  if (!key) {
    return Fail(key.error().kind, key.error().message + " in " + path,
                key.error().remedy);
  }
  return key;
}

DigestKey::~DigestKey() { sodium_memzero(bytes_.data(), bytes_.size()); }

}  // namespace dotterellug
