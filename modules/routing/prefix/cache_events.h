#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/ids/ids.h"
#include "core/time/time.h"
#include "routing/prefix/prefix_index.h"

namespace dotterellug {

enum class CacheEventKind { kStored, kRemoved, kCleared };

// A change of an engine's prefix cache. `sequence` counts the events of one
// incarnation of the engine from 1.
struct CacheEvent {
  UpstreamSlot slot = 0;
  Incarnation incarnation;
  std::int64_t sequence = 0;
  CacheEventKind kind = CacheEventKind::kStored;
  BlockHashes blocks;
};

struct CacheEventCounts {
  std::int64_t applied = 0;
  // Events of an earlier incarnation, repeated or overtaken ones; ignored.
  std::int64_t ignored = 0;
  // Events that never arrived before a later one.
  std::int64_t missing = 0;
};

// Applies the engines' cache events to a PrefixIndex. Used by the control
// thread only. Events may be late, repeated, reordered or missing: a missing
// `stored` hides a hit until deeper blocks are seen, a missing `removed` leaves
// a false hit until it becomes too old or the next prompt makes it true.
class CacheEventApplier {
 public:
  explicit CacheEventApplier(PrefixIndex& index) : index_(index) {}

  auto Apply(const CacheEvent& event, Timestamp now) -> void;
  // Forgets a slot that went to another upstream.
  auto Reset(UpstreamSlot slot) -> void;
  auto Counts() const -> const CacheEventCounts& { return counts_; }

 private:
  struct StreamPosition {
    Incarnation incarnation;
    std::int64_t sequence = 0;
  };

  auto AdvanceStream(const CacheEvent& event) -> bool;

  PrefixIndex& index_;
  std::unordered_map<UpstreamSlot, StreamPosition> stream_positions_;
  CacheEventCounts counts_;
};

}  // namespace dotterellug
