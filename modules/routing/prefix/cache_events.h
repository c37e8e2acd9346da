#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/ids/ids.h"
#include "core/time/time.h"
#include "routing/prefix/prefix_index.h"

namespace dotterellug {

enum class CacheEventKind { kStored, kRemoved, kCleared };

// A change of an engine's prefix cache. `sequence` numbers the events of one
// incarnation (process lifetime) of the engine from 1.
struct CacheEvent {
  UpstreamSlot slot = 0;
  Incarnation incarnation;
  std::int64_t sequence = 0;
  CacheEventKind kind = CacheEventKind::kStored;
  BlockHashes blocks;
};

// Number of events by outcome.
struct CacheEventCounts {
  std::int64_t applied = 0;
  // Duplicate events, events that arrive after a later one, and events of an
  // earlier incarnation.
  std::int64_t ignored = 0;
  // Events that had not arrived when a later one was applied.
  std::int64_t missing = 0;
};

// Applies the engines' cache events to a PrefixIndex. Used by the control
// thread only. Events may be late, duplicated, reordered or missing. A missing
// `stored` event causes false misses until a later block of the prompt is
// recorded. A missing `removed` event causes false hits until the entry expires
// or the next prompt caches the block again.
class CacheEventApplier {
 public:
  explicit CacheEventApplier(PrefixIndex& index) : index_(index) {}

  // Applies an event, or counts it as ignored if it is out of date.
  auto Apply(const CacheEvent& event, Timestamp now) -> void;
  // Drops all state of a slot that has been reassigned to another upstream.
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
