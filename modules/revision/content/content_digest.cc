#include "revision/content/content_digest.h"

#include <sodium.h>

#include <array>

namespace dotterellug {
namespace {

constexpr std::size_t kDigestBytes = 32;
constexpr std::size_t kDigestCharacters = 2 * kDigestBytes;

}  // namespace

auto DigestOf(const std::string& text) -> ContentDigest {
  std::array<unsigned char, kDigestBytes> digest{};
  crypto_generichash(digest.data(), digest.size(),
                     reinterpret_cast<const unsigned char*>(text.data()),
                     text.size(), nullptr, 0);
  std::array<char, kDigestCharacters + 1> hex{};
  sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
  return ContentDigest(std::string(hex.data(), kDigestCharacters));
}

auto ChunkObjectName(const std::string& text) -> std::string {
  return "config/blobs/" + DigestOf(text).Value();
}

auto RevisionObjectName(RevisionNumber number, const std::string& text)
    -> std::string {
  return "config/revisions/" + std::to_string(number.Value()) + "-" +
         DigestOf(text).Value();
}

auto CheckContent(const std::string& name, const std::string& text)
    -> Result<void> {
  const auto digest = DigestOf(text).Value();
  if (name.size() >= digest.size() &&
      name.compare(name.size() - digest.size(), digest.size(), digest) == 0) {
    return {};
  }
  return Fail(ErrorKind::kProtocol,
              "content of " + name + " has digest " + digest,
              "fetch it from another source");
}

}  // namespace dotterellug
