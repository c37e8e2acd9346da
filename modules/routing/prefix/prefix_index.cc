#include "routing/prefix/prefix_index.h"

#include <algorithm>
#include <limits>

namespace dotterellug {
namespace {

// Layout of an entry from its highest bit: tag (24 bits), slot (16), epoch of
// the slot (8), and the second of the last insertion modulo 2^16 (16). 0 is an
// empty entry.
constexpr std::uint64_t kSecondsMask = 0xffff;
constexpr std::uint64_t kTagShift = 40;
constexpr auto kRelaxed = std::memory_order_relaxed;

// High bits of the block hash, which distinguish the blocks of a bucket.
auto Tag(std::uint64_t block) -> std::uint64_t {
  // The lowest bit is set so that no entry equals the empty one.
  return (block >> kTagShift) | 1U;
}
auto TimestampSeconds16(Timestamp now) -> std::uint64_t {
  return static_cast<std::uint64_t>(now.time_since_epoch().count() /
                                    1'000'000) &
         kSecondsMask;
}
auto TagAndSlot(std::uint64_t tag, UpstreamSlot slot) -> std::uint64_t {
  return (tag << 16U) | slot;
}
auto TagAndSlotOf(std::uint64_t entry) -> std::uint64_t { return entry >> 24U; }
auto TagOf(std::uint64_t entry) -> std::uint64_t { return entry >> kTagShift; }
auto SlotOf(std::uint64_t entry) -> UpstreamSlot {
  return static_cast<UpstreamSlot>((entry >> 24U) & 0xffffU);
}
auto EpochOf(std::uint64_t entry) -> std::uint64_t {
  return (entry >> 16U) & 0xffU;
}
auto Age(std::uint64_t entry, std::uint64_t timestamp) -> std::uint64_t {
  return (timestamp - entry) & kSecondsMask;
}

auto RoundUpToPowerOfTwo(std::size_t minimum) -> std::size_t {
  std::size_t size = 1;
  while (size < minimum) size *= 2;
  return size;
}

// Adds a match unless the slot already has one. The caller iterates from the
// last block to the first, so the first match of a slot is its longest.
auto AddMatch(PrefixMatches& found, UpstreamSlot slot, std::size_t blocks)
    -> void {
  for (std::size_t i = 0; i < found.count; ++i) {
    if (found.matches[i].slot == slot) return;
  }
  if (found.count < PrefixMatches::kMax) {
    found.matches[found.count++] = PrefixMatch{slot, blocks};
  }
}

}  // namespace

PrefixIndex::PrefixIndex(const PrefixIndexOptions& options)
    : buckets_(RoundUpToPowerOfTwo(options.buckets)),
      epochs_(std::size_t{std::numeric_limits<UpstreamSlot>::max()} + 1),
      max_age_seconds_(static_cast<std::uint64_t>(std::clamp<std::int64_t>(
          options.max_age.count() / 1'000'000, 1, kSecondsMask / 2))) {}

auto PrefixIndex::BucketOf(std::uint64_t block) const -> const Bucket& {
  return buckets_[block & (buckets_.size() - 1)];
}

auto PrefixIndex::BucketOf(std::uint64_t block) -> Bucket& {
  return buckets_[block & (buckets_.size() - 1)];
}

auto PrefixIndex::Epoch(UpstreamSlot slot) const -> std::uint64_t {
  return epochs_[slot].load(kRelaxed);
}

auto PrefixIndex::Valid(std::uint64_t entry, std::uint64_t timestamp) const
    -> bool {
  if (entry == 0 || EpochOf(entry) != Epoch(SlotOf(entry))) return false;
  return Age(entry, timestamp) <= max_age_seconds_;
}

auto PrefixIndex::Insert(std::uint64_t block, UpstreamSlot slot, Timestamp now)
    -> void {
  const auto timestamp = TimestampSeconds16(now);
  const auto tag_and_slot = TagAndSlot(Tag(block), slot);
  const auto entry = (tag_and_slot << 24U) | (Epoch(slot) << 16U) | timestamp;
  auto& bucket = BucketOf(block);
  std::atomic<std::uint64_t>* target = nullptr;
  std::uint64_t replaced = 0;
  std::uint64_t oldest = 0;
  for (auto& candidate : bucket.entries) {
    const auto value = candidate.load(kRelaxed);
    if (value != 0 && TagAndSlotOf(value) == tag_and_slot) {
      target = &candidate;
      replaced = value;
      break;
    }
    const auto age =
        Valid(value, timestamp) ? Age(value, timestamp) : kSecondsMask + 1;
    if (target != nullptr && age <= oldest) continue;
    target = &candidate;
    replaced = value;
    oldest = age;
  }
  target->compare_exchange_strong(replaced, entry, kRelaxed);
}

auto PrefixIndex::Remove(std::uint64_t block, UpstreamSlot slot) -> void {
  const auto tag_and_slot = TagAndSlot(Tag(block), slot);
  for (auto& candidate : BucketOf(block).entries) {
    auto value = candidate.load(kRelaxed);
    if (value == 0 || TagAndSlotOf(value) != tag_and_slot) continue;
    candidate.compare_exchange_strong(value, 0, kRelaxed);
  }
}

auto PrefixIndex::Clear(UpstreamSlot slot) -> void {
  epochs_[slot].fetch_add(1, kRelaxed);
}

auto PrefixIndex::RecordPrompt(const BlockHashes& blocks, UpstreamSlot slot,
                               Timestamp now) -> void {
  for (const auto block : blocks) Insert(block, slot, now);
}

auto PrefixIndex::Lookup(const BlockHashes& blocks, Timestamp now) const
    -> PrefixMatches {
  // The buckets are far apart in memory; prefetching them all at once hides
  // most of the latency.
  for (const auto block : blocks) __builtin_prefetch(&BucketOf(block));
  PrefixMatches found;
  const auto timestamp = TimestampSeconds16(now);
  for (auto i = blocks.size(); i > 0 && found.count < PrefixMatches::kMax;
       --i) {
    const auto tag = Tag(blocks[i - 1]);
    for (const auto& candidate : BucketOf(blocks[i - 1]).entries) {
      const auto entry = candidate.load(kRelaxed);
      if (TagOf(entry) != tag || !Valid(entry, timestamp)) continue;
      AddMatch(found, SlotOf(entry), i);
    }
  }
  return found;
}

auto PrefixIndex::MemoryBytes() const -> std::size_t {
  return buckets_.size() * sizeof(Bucket) + epochs_.size();
}

}  // namespace dotterellug
