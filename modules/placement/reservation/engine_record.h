#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/errors/error.h"
#include "core/ids/ids.h"
#include "placement/reservation/item_key.h"

namespace dotterellug {

// The phase is the written intent: it bounds which commands may be in flight.
enum class ItemPhase {
  kHold,    // loads may be in flight; no unload is sent
  kRemove,  // unloads may be in flight, and loads sent earlier
};

struct ReservedItem {
  ItemKey key;
  Bytes bytes;
  ItemPhase phase = ItemPhase::kHold;

  friend auto operator==(const ReservedItem& a, const ReservedItem& b) -> bool {
    return a.key == b.key && a.bytes == b.bytes && a.phase == b.phase;
  }
};

// The reserved set of one engine as stored in `placement/<engine>`. Enforces
// that a new reservation never takes the sum of items and KV memory beyond the
// engine's memory, and that an item leaves only from phase kRemove. Whether a
// release is safe is decided by CommandLog.
class EngineRecord {
 public:
  EngineRecord() = default;
  EngineRecord(Bytes memory, Bytes kv_bytes);

  // kExhausted when the item does not fit, kConflict when it is reserved
  // already.
  auto Reserve(const ItemKey& key, Bytes bytes) -> Result<void>;
  // Adds an item that the engine reports as resident although it is not
  // reserved, for removal. The sum may exceed the memory afterwards; then
  // Reserve fails until enough is released.
  auto AddResidentForRemoval(const ItemKey& key, Bytes bytes) -> void;
  auto MarkForRemoval(const ItemKey& key) -> void;
  // Takes back MarkForRemoval.
  auto CancelRemoval(const ItemKey& key) -> void;
  // kConflict unless the item is in phase kRemove.
  auto Release(const ItemKey& key) -> Result<void>;
  // kExhausted when the larger KV memory does not fit.
  auto SetKvBytes(Bytes kv_bytes) -> Result<void>;
  auto SetMemory(Bytes memory) -> void { memory_ = memory; }
  // The owner's term under which this version was written.
  auto SetTerm(Term term) -> void { term_ = term; }

  auto Find(const ItemKey& key) const -> const ReservedItem*;
  auto Items() const -> const std::vector<ReservedItem>& { return items_; }
  auto OwnerTerm() const -> Term { return term_; }
  auto Memory() const -> Bytes { return memory_; }
  auto KvBytes() const -> Bytes { return kv_bytes_; }
  // Sum of the items and the KV memory.
  auto ReservedBytes() const -> Bytes;

  // JSON text for the object API, and back (kProtocol for other text).
  auto Encode() const -> std::string;
  static auto Decode(std::string_view text) -> Result<EngineRecord>;

  friend auto operator==(const EngineRecord& a, const EngineRecord& b) -> bool {
    return a.term_ == b.term_ && a.memory_ == b.memory_ &&
           a.kv_bytes_ == b.kv_bytes_ && a.items_ == b.items_;
  }

 private:
  auto FindMutable(const ItemKey& key) -> ReservedItem*;

  Term term_;
  Bytes memory_;
  Bytes kv_bytes_;
  std::vector<ReservedItem> items_;
};

// Name of the object that holds the record of `engine`.
auto EngineRecordName(const UpstreamId& engine) -> std::string;

}  // namespace dotterellug
