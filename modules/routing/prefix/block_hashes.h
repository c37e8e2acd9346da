#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "core/ids/ids.h"

namespace dotterellug {

// Hashes of the full blocks of a prompt, first block first. Each hash covers
// all blocks before it too, so equal hashes mean equal prefixes, and a block
// that is cached implies that the blocks before it were.
using BlockHashes = std::vector<std::uint64_t>;

struct BlockHashing {
  // Bytes of prompt text per block.
  std::size_t block_bytes = 256;
  // Blocks beyond this many are not hashed; it bounds the time of a decision.
  std::size_t max_blocks = 64;
};

// The hashes of `prompt` for a model and an adapter (may be empty), whose
// caches are separate. A partial last block is left out.
auto HashBlocks(const ModelId& model, const AdapterId& adapter,
                std::string_view prompt, const BlockHashing& hashing)
    -> BlockHashes;

}  // namespace dotterellug
