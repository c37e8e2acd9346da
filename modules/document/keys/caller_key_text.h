#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "core/ids/ids.h"
#include "document/keys/digest_key.h"
#include "document/model/serving_document.h"

namespace dotterellug {

// A caller's key is the text dk_<key id>_<secret>: the id is 1 to 32 lower-case
// letters or digits, the secret 64 hexadecimal digits.

inline constexpr std::size_t kKeySecretBytes = 32;
inline constexpr std::size_t kKeySaltBytes = 16;
inline constexpr std::size_t kKeyDigestBytes = 32;

// The parts of a caller's key. `secret` refers to the text that was parsed.
struct CallerKeyParts {
  KeyId id;
  std::string_view secret;
};

// The parts of `text`, or nothing when it does not have the form above.
auto ParseCallerKey(std::string_view text) -> std::optional<CallerKeyParts>;

// The random bytes of one new key.
struct KeyMaterial {
  std::array<unsigned char, 8> id{};
  std::array<unsigned char, kKeySaltBytes> salt{};
  std::array<unsigned char, kKeySecretBytes> secret{};
};

// From the operating system's random source; for programs, while tests pass
// fixed bytes.
auto RandomKeyMaterial() -> KeyMaterial;

// A new key: the entry for the serving document and the text for the caller,
// which exists nowhere else and cannot be recovered.
struct IssuedKey {
  CallerKey entry;
  std::string text;
};

auto IssueKey(const ClientAccountId& account, const KeyMaterial& material,
              const DigestKey& digest_key) -> IssuedKey;

// The entry for a key whose text exists already, for repeating an attempt to
// issue it; nothing when the text is malformed.
auto EntryForKey(const ClientAccountId& account, std::string_view text,
                 const std::array<unsigned char, kKeySaltBytes>& salt,
                 const DigestKey& digest_key) -> std::optional<CallerKey>;

// Keyed BLAKE2b of the secret's text with the salt.
auto DigestSecret(std::string_view secret,
                  const std::array<unsigned char, kKeySaltBytes>& salt,
                  const DigestKey& digest_key)
    -> std::array<unsigned char, kKeyDigestBytes>;

}  // namespace dotterellug
