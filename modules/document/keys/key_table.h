#pragma once

#include <array>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/ids/ids.h"
#include "document/keys/caller_key_text.h"
#include "document/keys/digest_key.h"
#include "document/model/serving_document.h"
#include "tl/expected.hpp"

namespace dotterellug {

enum class KeyRefusalKind {
  kMalformed,  // not the form of a key
  kUnknown,    // no such key id, or the secret does not match
  kRevoked,
};

// Why a caller's key was refused. Holds no part of the secret, so it may be
// logged. `id` is empty for a malformed key.
struct KeyRefusal {
  KeyRefusalKind kind = KeyRefusalKind::kMalformed;
  KeyId id;

  // Message and remedy for the caller.
  auto ToError() const -> Error;
};

// The client account for which a request runs, and the key that proved it.
struct KeyHolder {
  KeyId key;
  ClientAccountId account;
};

// The keys of one revision, immutable after construction and therefore usable
// from all threads. Build a new one for each revision.
class KeyTable {
 public:
  KeyTable(const ServingDocument& document, const DigestKey& digest_key);

  // Checks the key that came with a request. A revoked key is only named as
  // such when the secret matches, and a wrong secret is reported like an
  // unknown id, so that a guess learns nothing.
  auto Lookup(std::string_view key_text) const
      -> tl::expected<KeyHolder, KeyRefusal>;

 private:
  struct Entry {
    ClientAccountId account;
    std::array<unsigned char, kKeySaltBytes> salt{};
    std::array<unsigned char, kKeyDigestBytes> digest{};
    bool revoked = false;
  };

  DigestKey digest_key_;
  std::unordered_map<KeyId, Entry> entries_;
};

}  // namespace dotterellug
