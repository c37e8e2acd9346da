#include "routing/prefix/block_hashes.h"

#include <algorithm>

#include "core/hash/hash.h"

namespace dotterellug {

auto HashBlocks(const ModelId& model, const AdapterId& adapter,
                std::string_view prompt, const BlockHashing& hashing)
    -> BlockHashes {
  BlockHashes hashes;
  if (hashing.block_bytes == 0) return hashes;
  const auto blocks =
      std::min(prompt.size() / hashing.block_bytes, hashing.max_blocks);
  hashes.reserve(blocks);
  auto hash = Hash64(adapter.Value(), Hash64(model.Value()));
  for (std::size_t block = 0; block < blocks; ++block) {
    hash = Hash64(
        prompt.substr(block * hashing.block_bytes, hashing.block_bytes), hash);
    hashes.push_back(hash);
  }
  return hashes;
}

}  // namespace dotterellug
