#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "core/ids/ids.h"

namespace dotterellug {

// Chained hashes of the full blocks of a prompt, first block first. Each hash
// also covers all preceding blocks. Equal hashes therefore mean equal prefixes,
// and a cached block implies that the preceding blocks were cached too.
using BlockHashes = std::vector<std::uint64_t>;

// Parameters of HashBlocks.
struct BlockHashing {
  // Size of a block in bytes of prompt text.
  std::size_t block_bytes = 256;
  // Maximum number of blocks that are hashed, which bounds the time of a
  // routing decision.
  std::size_t max_blocks = 64;
};

// Returns the block hashes of `prompt` for a model and an adapter, which is
// empty if none is used. Hashes differ between models and adapters, because
// their caches are separate. A partial last block is left out.
auto HashBlocks(const ModelId& model, const AdapterId& adapter,
                std::string_view prompt, const BlockHashing& hashing)
    -> BlockHashes;

}  // namespace dotterellug
