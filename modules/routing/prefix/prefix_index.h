#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/time/time.h"
#include "routing/prefix/block_hashes.h"
#include "routing/table/routing_table.h"

namespace dotterellug {

// An upstream that probably has the first `blocks` blocks of a prompt cached.
struct PrefixMatch {
  UpstreamSlot slot = 0;
  std::size_t blocks = 0;
};

// The matches of one prompt, longest first.
struct PrefixMatches {
  static constexpr std::size_t kMax = 4;
  std::array<PrefixMatch, kMax> matches{};
  std::size_t count = 0;
};

struct PrefixIndexOptions {
  // Memory is 64 bytes per bucket; a bucket holds 8 entries. Rounded up to a
  // power of two.
  std::size_t buckets = 65'536;
  // Entries not confirmed for this long are not believed. At most 9 hours.
  Duration max_age = std::chrono::seconds(600);
};

// Estimate of which upstream has which prompt blocks in its prefix cache, from
// cache events and from what this daemon has sent. Memory is fixed; a full
// bucket replaces its oldest entry. Because a hash covers all blocks before it,
// the deepest known block gives the match, and lost events of blocks before it
// do no harm. All members are atomic and may be used from all traffic threads;
// an update that races with another on the same entry may be lost.
class PrefixIndex {
 public:
  explicit PrefixIndex(const PrefixIndexOptions& options);

  // Notes that the upstream has the block, or had it confirmed again.
  auto Insert(std::uint64_t block, UpstreamSlot slot, Timestamp now) -> void;
  auto Remove(std::uint64_t block, UpstreamSlot slot) -> void;
  // Forgets everything about an upstream, whose cache was emptied or whose slot
  // went to another upstream.
  auto Clear(UpstreamSlot slot) -> void;
  // Notes a prompt that was sent to the upstream, which will cache it.
  auto RecordPrompt(const BlockHashes& blocks, UpstreamSlot slot, Timestamp now)
      -> void;

  auto Lookup(const BlockHashes& blocks, Timestamp now) const -> PrefixMatches;

  auto MemoryBytes() const -> std::size_t;

 private:
  static constexpr std::size_t kWays = 8;
  struct alignas(64) Bucket {
    std::array<std::atomic<std::uint64_t>, kWays> entries{};
  };

  auto BucketOf(std::uint64_t block) const -> const Bucket&;
  auto BucketOf(std::uint64_t block) -> Bucket&;
  auto Valid(std::uint64_t entry, std::uint64_t stamp) const -> bool;
  auto Epoch(UpstreamSlot slot) const -> std::uint64_t;

  std::vector<Bucket> buckets_;
  // Entries of an earlier epoch of their slot are void.
  std::vector<std::atomic<std::uint8_t>> epochs_;
  std::uint64_t max_age_seconds_;
};

}  // namespace dotterellug
