#pragma once

#include <cstdint>
#include <string_view>

namespace dotterellug {

// 64-bit hash (XXH3) that is equal on every instance; not for secrets.
auto Hash64(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t;

// Weight of `candidate` for `key` in rendezvous hashing: the candidate with the
// highest weight is chosen, and removing another candidate does not change the
// choice.
auto RendezvousWeight(std::string_view key, std::string_view candidate)
    -> std::uint64_t;

}  // namespace dotterellug
