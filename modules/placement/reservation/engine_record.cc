#include "placement/reservation/engine_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dotterellug {

EngineRecord::EngineRecord(Bytes memory, Bytes kv_bytes)
    : memory_(memory), kv_bytes_(kv_bytes) {}

auto EngineRecord::Reserve(const ItemKey& key, Bytes bytes) -> Result<void> {
  if (Find(key) != nullptr) {
    return Fail(ErrorKind::kConflict,
                "model " + key.model.Value() + " already has a reservation",
                "use the existing reservation");
  }
  const auto sum = ReservedBytes() + bytes;
  if (sum > memory_) {
    return Fail(ErrorKind::kExhausted,
                "reserving " + std::to_string(bytes.Value()) +
                    " bytes for model " + key.model.Value() + " needs " +
                    std::to_string(sum.Value()) + " of " +
                    std::to_string(memory_.Value()) + " bytes",
                "release other items first");
  }
  items_.push_back({key, bytes, ItemIntent::kKeep});
  return {};
}

auto EngineRecord::AddResidentForRemoval(const ItemKey& key, Bytes bytes)
    -> void {
  if (Find(key) != nullptr) return;
  items_.push_back({key, bytes, ItemIntent::kRemove});
}

auto EngineRecord::MarkForRemoval(const ItemKey& key) -> void {
  if (auto* item = FindMutable(key)) item->intent = ItemIntent::kRemove;
}

auto EngineRecord::CancelRemoval(const ItemKey& key) -> void {
  if (auto* item = FindMutable(key)) item->intent = ItemIntent::kKeep;
}

auto EngineRecord::Release(const ItemKey& key) -> Result<void> {
  const auto* item = Find(key);
  if (item == nullptr || item->intent != ItemIntent::kRemove) {
    return Fail(ErrorKind::kConflict,
                "model " + key.model.Value() + " is not marked for removal",
                "mark it for removal and unload it before the release");
  }
  items_.erase(items_.begin() + (item - items_.data()));
  return {};
}

auto EngineRecord::SetKvBytes(Bytes kv_bytes) -> Result<void> {
  const auto sum = ReservedBytes() - kv_bytes_ + kv_bytes;
  if (kv_bytes > kv_bytes_ && sum > memory_) {
    return Fail(ErrorKind::kExhausted,
                "KV memory of " + std::to_string(kv_bytes.Value()) +
                    " bytes does not fit",
                "release other items (models or adapters) first");
  }
  kv_bytes_ = kv_bytes;
  return {};
}

auto EngineRecord::Find(const ItemKey& key) const -> const ReservedItem* {
  const auto found =
      std::find_if(items_.begin(), items_.end(),
                   [&](const ReservedItem& item) { return item.key == key; });
  return found == items_.end() ? nullptr : &*found;
}

auto EngineRecord::FindMutable(const ItemKey& key) -> ReservedItem* {
  const auto* found = Find(key);
  if (found == nullptr) return nullptr;
  return &items_[static_cast<std::size_t>(found - items_.data())];
}

auto EngineRecord::ReservedBytes() const -> Bytes {
  Bytes sum = kv_bytes_;
  for (const auto& item : items_) sum += item.bytes;
  return sum;
}

auto EngineRecord::Encode() const -> std::string {
  nlohmann::json items = nlohmann::json::array();
  for (const auto& item : items_) {
    items.push_back({{"model", item.key.model.Value()},
                     {"version", item.key.version},
                     {"adapter", item.key.adapter.Value()},
                     {"bytes", item.bytes.Value()},
                     {"remove", item.intent == ItemIntent::kRemove}});
  }
  const nlohmann::json record{{"term", term_.Value()},
                              {"memory", memory_.Value()},
                              {"kv_bytes", kv_bytes_.Value()},
                              {"items", std::move(items)}};
  return record.dump();
}

auto EngineRecord::Decode(std::string_view text) -> Result<EngineRecord> {
  try {
    const auto json = nlohmann::json::parse(text);
    EngineRecord record(Bytes(json.at("memory").get<std::int64_t>()),
                        Bytes(json.at("kv_bytes").get<std::int64_t>()));
    record.term_ = Term(json.at("term").get<std::int64_t>());
    for (const auto& item : json.at("items")) {
      ReservedItem reserved;
      reserved.key.model = ModelId(item.at("model").get<std::string>());
      reserved.key.version = item.at("version").get<std::string>();
      reserved.key.adapter = AdapterId(item.at("adapter").get<std::string>());
      reserved.bytes = Bytes(item.at("bytes").get<std::int64_t>());
      if (item.at("remove").get<bool>()) reserved.intent = ItemIntent::kRemove;
      record.items_.push_back(std::move(reserved));
    }
    return record;
  } catch (const nlohmann::json::exception& failure) {
    return Fail(
        ErrorKind::kProtocol,
        std::string("cannot parse the engine record: ") + failure.what(),
        "restore the object from the store's history");
  }
}

auto EngineRecordName(const UpstreamId& engine) -> std::string {
  return "placement/" + engine.Value();
}

}  // namespace dotterellug
