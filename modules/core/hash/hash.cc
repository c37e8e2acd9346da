#include "core/hash/hash.h"

#include <xxhash.h>

namespace dotterellug {

auto Hash64(std::string_view text, std::uint64_t seed) -> std::uint64_t {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

auto RendezvousWeight(std::string_view key, std::string_view candidate)
    -> std::uint64_t {
  return Hash64(candidate, Hash64(key));
}

}  // namespace dotterellug
