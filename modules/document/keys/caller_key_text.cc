#include "document/keys/caller_key_text.h"

#include <sodium.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "document/sections/section_rules.h"

namespace dotterellug {

namespace {

constexpr std::string_view kPrefix = "dk_";

// Binds digests to this purpose, so that the same key used elsewhere gives
// other digests.
constexpr std::array<unsigned char, crypto_generichash_blake2b_PERSONALBYTES>
    kPersonal{'d', 'o', 't', 't', 'e', 'r', 'e', 'l',
              'l', 'u', 'g', '-', 'k', 'e', 'y', '1'};

static_assert(kKeySaltBytes == crypto_generichash_blake2b_SALTBYTES);
static_assert(DigestKey::kBytes <= crypto_generichash_blake2b_KEYBYTES_MAX);

auto IsLowerHex(char character) -> bool {
  return (character >= '0' && character <= '9') ||
         (character >= 'a' && character <= 'f');
}

auto IsIdCharacter(char character) -> bool {
  return (character >= '0' && character <= '9') ||
         (character >= 'a' && character <= 'z');
}

template <std::size_t kCount>
auto Hex(const std::array<unsigned char, kCount>& bytes) -> std::string {
  std::string text(2 * kCount + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  text.pop_back();
  return text;
}

}  // namespace

auto ParseCallerKey(std::string_view text) -> std::optional<CallerKeyParts> {
  if (text.substr(0, kPrefix.size()) != kPrefix) return std::nullopt;
  text.remove_prefix(kPrefix.size());
  const auto separator = text.find('_');
  if (separator == std::string_view::npos) return std::nullopt;
  const auto id = text.substr(0, separator);
  const auto secret = text.substr(separator + 1);
  if (id.empty() || id.size() > kMaxKeyIdLength ||
      !std::all_of(id.begin(), id.end(), IsIdCharacter)) {
    return std::nullopt;
  }
  if (secret.size() != 2 * kKeySecretBytes ||
      !std::all_of(secret.begin(), secret.end(), IsLowerHex)) {
    return std::nullopt;
  }
  return CallerKeyParts{KeyId(std::string(id)), secret};
}

auto RandomKeyMaterial() -> KeyMaterial {
  // Without a random source no key may be made.
  if (sodium_init() < 0) std::abort();
  KeyMaterial material;
  randombytes_buf(material.id.data(), material.id.size());
  randombytes_buf(material.salt.data(), material.salt.size());
  randombytes_buf(material.secret.data(), material.secret.size());
  return material;
}

auto IssueKey(const ClientAccountId& account, const KeyMaterial& material,
              const DigestKey& digest_key) -> IssuedKey {
  auto text =
      std::string(kPrefix) + Hex(material.id) + "_" + Hex(material.secret);
  auto entry = EntryForKey(account, text, material.salt, digest_key);
  return IssuedKey{entry.value_or(CallerKey{}), std::move(text)};
}

auto EntryForKey(const ClientAccountId& account, std::string_view text,
                 const std::array<unsigned char, kKeySaltBytes>& salt,
                 const DigestKey& digest_key) -> std::optional<CallerKey> {
  const auto parts = ParseCallerKey(text);
  if (!parts) return std::nullopt;
  CallerKey entry;
  entry.id = parts->id;
  entry.account = account;
  entry.salt = Hex(salt);
  entry.digest = Hex(DigestSecret(parts->secret, salt, digest_key));
  return entry;
}

auto DigestSecret(std::string_view secret,
                  const std::array<unsigned char, kKeySaltBytes>& salt,
                  const DigestKey& digest_key)
    -> std::array<unsigned char, kKeyDigestBytes> {
  std::array<unsigned char, kKeyDigestBytes> digest{};
  crypto_generichash_blake2b_salt_personal(
      digest.data(), digest.size(),
      reinterpret_cast<const unsigned char*>(secret.data()), secret.size(),
      digest_key.Data().data(), digest_key.Data().size(), salt.data(),
      kPersonal.data());
  return digest;
}

}  // namespace dotterellug
