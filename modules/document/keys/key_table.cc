#include "document/keys/key_table.h"

#include <sodium.h>

#include <utility>

namespace dotterellug {

namespace {

template <std::size_t kCount>
auto FromHex(std::string_view text, std::array<unsigned char, kCount>& bytes)
    -> bool {
  std::size_t length = 0;
  const int status = sodium_hex2bin(bytes.data(), bytes.size(), text.data(),
                                    text.size(), nullptr, &length, nullptr);
  return status == 0 && length == kCount;
}

}  // namespace

auto KeyRefusal::ToError() const -> Error {
  switch (kind) {
    case KeyRefusalKind::kMalformed:
      return Error{ErrorKind::kUnauthenticated, "the key is malformed",
                   "send the whole key, which begins with dk_"};
    case KeyRefusalKind::kUnknown:
      return Error{ErrorKind::kUnauthenticated,
                   "the key with id " + id.Value() + " is not known",
                   "check the key, or ask the operators for one"};
    case KeyRefusalKind::kRevoked:
      return Error{ErrorKind::kForbidden,
                   "the key with id " + id.Value() + " was revoked",
                   "ask the operators for a new key"};
  }
  return Error{};
}

KeyTable::KeyTable(const ServingDocument& document, const DigestKey& digest_key)
    : digest_key_(digest_key) {
  for (const auto& [id, key] : document.keys) {
    Entry entry;
    entry.account = key.account;
    entry.revoked = key.revoked;
    // The parser has checked both texts; an entry built otherwise that is not
    // hexadecimal is left out and thereby refused.
    if (!FromHex(key.salt, entry.salt)) continue;
    if (!FromHex(key.digest, entry.digest)) continue;
    entries_.emplace(id, std::move(entry));
  }
}

auto KeyTable::Lookup(std::string_view key_text) const
    -> tl::expected<KeyHolder, KeyRefusal> {
  const auto parts = ParseCallerKey(key_text);
  if (!parts) return tl::unexpected<KeyRefusal>(KeyRefusal{});
  const auto found = entries_.find(parts->id);
  if (found == entries_.end()) {
    return tl::unexpected<KeyRefusal>(
        KeyRefusal{KeyRefusalKind::kUnknown, parts->id});
  }
  const auto& entry = found->second;
  const auto digest = DigestSecret(parts->secret, entry.salt, digest_key_);
  if (sodium_memcmp(digest.data(), entry.digest.data(), digest.size()) != 0) {
    return tl::unexpected<KeyRefusal>(
        KeyRefusal{KeyRefusalKind::kUnknown, parts->id});
  }
  if (entry.revoked) {
    return tl::unexpected<KeyRefusal>(
        KeyRefusal{KeyRefusalKind::kRevoked, parts->id});
  }
  return KeyHolder{parts->id, entry.account};
}

}  // namespace dotterellug
