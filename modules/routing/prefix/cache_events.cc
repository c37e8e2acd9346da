#include "routing/prefix/cache_events.h"

namespace dotterellug {

auto CacheEventApplier::Apply(const CacheEvent& event, Timestamp now) -> void {
  if (!AdvanceStream(event)) {
    ++counts_.ignored;
    return;
  }
  ++counts_.applied;
  if (event.kind == CacheEventKind::kCleared) index_.Clear(event.slot);
  for (const auto block : event.blocks) {
    if (event.kind == CacheEventKind::kStored) {
      index_.Insert(block, event.slot, now);
    }
    if (event.kind == CacheEventKind::kRemoved) {
      index_.Remove(block, event.slot);
    }
  }
}

auto CacheEventApplier::Reset(UpstreamSlot slot) -> void {
  index_.Clear(slot);
  stream_positions_.erase(slot);
}

auto CacheEventApplier::AdvanceStream(const CacheEvent& event) -> bool {
  auto& position =
      stream_positions_
          .emplace(event.slot, StreamPosition{event.incarnation, 0})
          .first->second;
  if (event.incarnation < position.incarnation) return false;
  if (position.incarnation < event.incarnation) {
    // The engine has restarted with an empty cache.
    index_.Clear(event.slot);
    position = StreamPosition{event.incarnation, 0};
  }
  if (event.sequence <= position.sequence) return false;
  // Events before the first one received are not missing: this daemon may have
  // started after the engine.
  if (position.sequence > 0) {
    counts_.missing += event.sequence - position.sequence - 1;
  }
  position.sequence = event.sequence;
  return true;
}

}  // namespace dotterellug
