#include "placement/orders/unanswered_orders.h"

#include <algorithm>

namespace dotterellug {
namespace {

// How long an engine that is gone is remembered, in lifetimes of an order.
constexpr int kRememberedLifetimes = 4;

auto CountAdapters(const EngineContents& contents) -> std::int64_t {
  std::int64_t count = 0;
  for (const auto& [model, adapters] : contents.held) {
    count += static_cast<std::int64_t>(adapters.size());
  }
  return count;
}

auto ModelMb(const EngineRoom& room, const ModelId& model) -> double {
  const auto found = room.model_mb.find(model);
  return found == room.model_mb.end() ? 0 : found->second;
}

auto Holds(const EngineContents& contents, const PlacementOrder& order)
    -> bool {
  const auto model = contents.held.find(order.model);
  if (model == contents.held.end()) return false;
  return order.adapter.Empty() || model->second.count(order.adapter) > 0;
}

// The contents once the order is accepted. What is unloaded may stay until the
// requests that use it have ended.
auto After(EngineContents contents, const PlacementOrder& order)
    -> EngineContents {
  ++contents.sequence;
  if (!order.load) return contents;
  auto& adapters = contents.held[order.model];
  if (!order.adapter.Empty()) adapters.insert(order.adapter);
  return contents;
}

// An adapter of the model, or else any, that the engine could do without for a
// moment.
auto Spare(const EngineContents& contents, const ModelId& model)
    -> std::optional<std::pair<ModelId, AdapterId>> {
  const auto own = contents.held.find(model);
  if (own != contents.held.end() && !own->second.empty()) {
    return std::pair(model, *own->second.rbegin());
  }
  for (const auto& [other, adapters] : contents.held) {
    if (!adapters.empty()) return std::pair(other, *adapters.rbegin());
  }
  return std::nullopt;
}

}  // namespace

auto UnansweredOrders::OnHeld(bool had_predecessor, Timestamp now) -> void {
  if (had_predecessor) predecessors_until_ = now + options_.lifetime;
}

auto UnansweredOrders::OnEngine(const UpstreamId& engine,
                                std::int64_t started_ms, Timestamp now)
    -> void {
  if (!watching_since_) watching_since_ = now;
  const auto [found, added] = processes_.try_emplace(engine);
  auto& process = found->second;
  if (added || process.started_ms != started_ms) {
    process.first = added && now - *watching_since_ >= options_.lifetime;
    process.started_ms = started_ms;
    process.seen_at = now;
  }
  process.last_seen_at = now;
}

auto UnansweredOrders::OnSent(const PlacementOrder& order, Timestamp now)
    -> Number {
  sent_[++last_number_] = {order, now};
  return last_number_;
}

auto UnansweredOrders::OnAnswered(Number number) -> void {
  sent_.erase(number);
}

auto UnansweredOrders::Expire(Timestamp now) -> void {
  for (auto sent = sent_.begin(); sent != sent_.end();) {
    const bool over = now - sent->second.at >= options_.lifetime;
    sent = over ? sent_.erase(sent) : std::next(sent);
  }
  const auto remembered = options_.lifetime * kRememberedLifetimes;
  for (auto process = processes_.begin(); process != processes_.end();) {
    const bool over = now - process->second.last_seen_at >= remembered;
    process = over ? processes_.erase(process) : std::next(process);
  }
}

auto UnansweredOrders::Waits(const UpstreamId& engine, Timestamp now) const
    -> bool {
  if (options_.engines_check_fences || now >= predecessors_until_) return false;
  const auto process = processes_.find(engine);
  if (process == processes_.end()) return true;
  return !process->second.first &&
         now - process->second.seen_at < options_.lifetime;
}

auto UnansweredOrders::NeedAt(const EngineContents& contents,
                              std::int64_t sequence, const EngineRoom& room,
                              const PlacementOrder* next, Timestamp now) const
    -> Need {
  std::map<std::int64_t, Need> by_sequence;
  const auto add = [&](const PlacementOrder& order) {
    auto& need = by_sequence[order.expected_sequence];
    if (!order.load || Holds(contents, order)) return;
    if (order.adapter.Empty()) {
      need.weight_mb = std::max(need.weight_mb, ModelMb(room, order.model));
    } else {
      need.adapters = 1;
    }
  };
  for (const auto& [number, sent] : sent_) {
    if (sent.order.engine == contents.engine &&
        now - sent.at < options_.lifetime) {
      add(sent.order);
    }
  }
  if (next != nullptr) add(*next);
  Need total;
  // An order beyond a gap finds its sequence only after one of the holder's.
  for (auto need = by_sequence.find(sequence); need != by_sequence.end();
       need = by_sequence.find(++sequence)) {
    total.weight_mb += need->second.weight_mb;
    total.adapters += need->second.adapters;
  }
  return total;
}

auto UnansweredOrders::Fits(const EngineContents& contents,
                            const EngineRoom& room, const PlacementOrder* next,
                            Timestamp now) const -> bool {
  const auto need = NeedAt(contents, contents.sequence, room, next, now);
  if (need.adapters > 0 &&
      CountAdapters(contents) + need.adapters > room.adapter_slots) {
    return false;
  }
  if (need.weight_mb <= 0) return true;
  auto weight_mb = room.adapter_mb + need.weight_mb;
  for (const auto& [model, adapters] : contents.held) {
    weight_mb += ModelMb(room, model);
  }
  return weight_mb <= room.weight_mb;
}

auto UnansweredOrders::LeavesRoom(const PlacementOrder& order,
                                  const EngineContents& contents,
                                  const EngineRoom& room, Timestamp now) const
    -> bool {
  const EngineContents empty{contents.engine, 0, {}};
  return Fits(After(contents, order), room, nullptr, now) &&
         Fits(empty, room, &order, now);
}

auto UnansweredOrders::Admit(const PlacementOrder& order,
                             const EngineContents& contents,
                             const EngineRoom& room, Timestamp now) const
    -> std::optional<PlacementOrder> {
  if (Waits(order.engine, now)) return std::nullopt;
  if (LeavesRoom(order, contents, room, now)) return order;
  if (!order.load || order.adapter.Empty()) return std::nullopt;
  const auto spare = Spare(contents, order.model);
  if (!spare) return std::nullopt;
  auto unload = order;
  unload.load = false;
  unload.model = spare->first;
  unload.adapter = spare->second;
  if (!LeavesRoom(unload, contents, room, now)) return std::nullopt;
  return unload;
}

auto UnansweredOrders::ReservedMb(const EngineContents& contents,
                                  const EngineRoom& room, Timestamp now) const
    -> double {
  return NeedAt(contents, contents.sequence + 1, room, nullptr, now).weight_mb;
}

}  // namespace dotterellug
