#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/errors/error.h"
#include "core/ids/ids.h"
#include "placement/reservation/item_key.h"

namespace dotterellug {

// Whether a reserved item is to stay in memory or be removed. The value is
// stored before any command that it permits is sent, so the stored record
// determines which commands may be in flight.
enum class ItemIntent {
  kKeep,    // loads can be in flight, unloads are not sent
  kRemove,  // unloads can be in flight, as can earlier loads
};

// An item with the memory reserved for it.
struct ReservedItem {
  ItemKey key;
  Bytes bytes;
  ItemIntent intent = ItemIntent::kKeep;

  friend auto operator==(const ReservedItem& a, const ReservedItem& b) -> bool {
    return a.key == b.key && a.bytes == b.bytes && a.intent == b.intent;
  }
};

// The memory reservations of one engine, stored in the object
// `placement/<engine>`. A new reservation never raises the sum of items and KV
// memory above the engine's memory, and only items marked kRemove can be
// released. The reconciler in placement/commands decides when a release is
// safe.
class EngineRecord {
 public:
  EngineRecord() = default;
  EngineRecord(Bytes memory, Bytes kv_bytes);

  // Reserves memory for an item and marks it kKeep. Fails with kExhausted when
  // the item does not fit and with kConflict when it is already reserved.
  auto Reserve(const ItemKey& key, Bytes bytes) -> Result<void>;
  // Adds an item that the engine reports as resident although it is not
  // reserved, and marks it kRemove. The sum may exceed the memory afterwards;
  // then Reserve fails until enough is released.
  auto AddResidentForRemoval(const ItemKey& key, Bytes bytes) -> void;
  // Marks a reserved item kRemove.
  auto MarkForRemoval(const ItemKey& key) -> void;
  // Marks an item kKeep again.
  auto CancelRemoval(const ItemKey& key) -> void;
  // Removes an item from the record. Fails with kConflict unless it is marked
  // kRemove.
  auto Release(const ItemKey& key) -> Result<void>;
  // Sets the memory reserved for the KV cache. Fails with kExhausted when a
  // larger value does not fit.
  auto SetKvBytes(Bytes kv_bytes) -> Result<void>;
  auto SetMemory(Bytes memory) -> void { memory_ = memory; }
  // The term of the placement owner that writes this version of the record.
  auto SetOwnerTerm(Term term) -> void { term_ = term; }

  // The reservation of the item, or null if there is none.
  auto Find(const ItemKey& key) const -> const ReservedItem*;
  auto Items() const -> const std::vector<ReservedItem>& { return items_; }
  auto OwnerTerm() const -> Term { return term_; }
  auto Memory() const -> Bytes { return memory_; }
  auto KvBytes() const -> Bytes { return kv_bytes_; }
  // Sum of the items and the KV memory.
  auto ReservedBytes() const -> Bytes;

  // Converts the record to the JSON text that is stored through the object API,
  // and back. Decode fails with kProtocol for malformed text.
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

// Name of the stored object that contains the record of `engine`.
auto EngineRecordName(const UpstreamId& engine) -> std::string;

}  // namespace dotterellug
