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

// An upstream that probably has the first `blocks` blocks of a prompt in its
// prefix cache.
struct PrefixMatch {
  UpstreamSlot slot = 0;
  std::size_t blocks = 0;
};

// The longest matches of one prompt, in descending order of length.
struct PrefixMatches {
  static constexpr std::size_t kMax = 4;
  std::array<PrefixMatch, kMax> matches{};
  std::size_t count = 0;
};

// Size and expiry of a PrefixIndex.
struct PrefixIndexOptions {
  // Number of buckets, rounded up to a power of two. A bucket takes 64 bytes
  // and holds 8 entries.
  std::size_t buckets = 65'536;
  // Entries expire this long after they were last inserted. At most 9 hours.
  Duration max_age = std::chrono::seconds(600);
};

// Estimate of which upstreams have which prompt blocks in their prefix caches,
// from cache events and from the prompts that this daemon has sent. Memory is
// fixed; in a full bucket, the oldest entry is replaced. Because a hash covers
// all preceding blocks, the last recorded block of a prompt determines the
// match, and lost events of preceding blocks have no effect. All member
// functions are thread-safe; of two concurrent updates of one entry, one may be
// lost.
class PrefixIndex {
 public:
  explicit PrefixIndex(const PrefixIndexOptions& options);

  // Records that the upstream has the block, or renews its entry.
  auto Insert(std::uint64_t block, UpstreamSlot slot, Timestamp now) -> void;
  auto Remove(std::uint64_t block, UpstreamSlot slot) -> void;
  // Invalidates all entries of an upstream whose cache has been emptied or
  // whose slot has been reassigned to another upstream.
  auto Clear(UpstreamSlot slot) -> void;
  // Records the blocks of a prompt that is sent to the upstream, which will
  // cache them.
  auto RecordPrompt(const BlockHashes& blocks, UpstreamSlot slot, Timestamp now)
      -> void;

  // Returns the upstreams with the longest cached prefixes of a prompt.
  auto Lookup(const BlockHashes& blocks, Timestamp now) const -> PrefixMatches;

  auto MemoryBytes() const -> std::size_t;

 private:
  // Entries per bucket; each bucket fills one cache line of 64 bytes.
  static constexpr std::size_t kWays = 8;
  struct alignas(64) Bucket {
    std::array<std::atomic<std::uint64_t>, kWays> entries{};
  };

  auto BucketOf(std::uint64_t block) const -> const Bucket&;
  auto BucketOf(std::uint64_t block) -> Bucket&;
  auto Valid(std::uint64_t entry, std::uint64_t timestamp) const -> bool;
  auto Epoch(UpstreamSlot slot) const -> std::uint64_t;

  std::vector<Bucket> buckets_;
  // Epoch of each slot, incremented by Clear. Entries written in an earlier
  // epoch are invalid.
  std::vector<std::atomic<std::uint8_t>> epochs_;
  std::uint64_t max_age_seconds_;
};

}  // namespace dotterellug
