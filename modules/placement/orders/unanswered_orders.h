#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

#include "core/core.h"

namespace dotterellug {

// A load or unload order under the order lease.
struct PlacementOrder {
  UpstreamId engine;
  bool load = true;
  ModelId model;
  // Empty for the model itself.
  AdapterId adapter;
  // The engine carries the order out only if it has accepted so many before.
  std::int64_t expected_sequence = 0;
};

// What an engine may hold at most.
struct EngineRoom {
  double weight_mb = 0;
  // Part of it that is kept free of models, for adapters.
  double adapter_mb = 0;
  std::int64_t adapter_slots = 0;
  std::map<ModelId, double> model_mb;
};

// An engine as last read.
struct EngineContents {
  UpstreamId engine;
  // Orders that it has accepted since its start.
  std::int64_t sequence = 0;
  std::map<ModelId, std::set<AdapterId>> held;
};

struct UnansweredOrderOptions {
  // An order may be carried out for this long after it was sent: the wait for
  // its answer, the longest delay and a margin.
  Duration lifetime = std::chrono::seconds(14);
  // Engines refuse orders with a lower fencing number than the highest seen, so
  // those of an earlier holder end with the first order of the next one.
  bool engines_check_fences = false;
};

// The orders of a holder of the order lease that may still be carried out
// although no answer came. An engine that starts again under its id counts its
// orders anew, so that such an order may find the sequence that it expects once
// more. An engine is therefore never brought to a sequence that an unanswered
// order expects unless what that order loads has room there, and no order is
// sent that could, after unanswered ones, overload an engine that starts empty.
class UnansweredOrders {
 public:
  using Number = std::int64_t;

  explicit UnansweredOrders(UnansweredOrderOptions options = {})
      : options_(options) {}

  // This daemon became the holder. Another process may have been it before,
  // whose unanswered orders nobody knows.
  auto OnHeld(bool had_predecessor, Timestamp now) -> void;
  // Call for each engine about every second, also while another daemon is the
  // holder, and whenever its contents are read. `started_ms` tells the
  // processes of one engine apart.
  auto OnEngine(const UpstreamId& engine, std::int64_t started_ms,
                Timestamp now) -> void;

  // An order is sent. Until it is answered it counts as unanswered.
  auto OnSent(const PlacementOrder& order, Timestamp now) -> Number;
  auto OnAnswered(Number number) -> void;
  // Forgets what can no longer be carried out.
  auto Expire(Timestamp now) -> void;

  // The order to send instead of the planned one: the order itself; an unload
  // that takes the engine past the sequence of an unanswered order; or none for
  // now.
  auto Admit(const PlacementOrder& order, const EngineContents& contents,
             const EngineRoom& room, Timestamp now) const
      -> std::optional<PlacementOrder>;
  // Whether the engine takes no order now: an earlier holder may have left
  // orders unanswered that it sent to an earlier process of the engine.
  auto Waits(const UpstreamId& engine, Timestamp now) const -> bool;
  // Weights that unanswered orders may load when the engine has accepted one
  // more order.
  auto ReservedMb(const EngineContents& contents, const EngineRoom& room,
                  Timestamp now) const -> double;

 private:
  struct Sent {
    PlacementOrder order;
    Timestamp at;
  };
  struct Process {
    std::int64_t started_ms = 0;
    Timestamp seen_at;
    Timestamp last_seen_at;
    // No other process had the id shortly before.
    bool first = false;
  };
  struct Need {
    double weight_mb = 0;
    std::int64_t adapters = 0;
  };

  // What the unanswered orders, and `next` if it stays without an answer, could
  // add one after the other to an engine that has accepted `sequence` orders.
  auto NeedAt(const EngineContents& contents, std::int64_t sequence,
              const EngineRoom& room, const PlacementOrder* next,
              Timestamp now) const -> Need;
  auto Fits(const EngineContents& contents, const EngineRoom& room,
            const PlacementOrder* next, Timestamp now) const -> bool;
  // Whether the engine has room for all that it may be told late, both after it
  // has accepted the order and if it starts again empty before that.
  auto LeavesRoom(const PlacementOrder& order, const EngineContents& contents,
                  const EngineRoom& room, Timestamp now) const -> bool;

  UnansweredOrderOptions options_;
  Number last_number_ = 0;
  std::map<Number, Sent> sent_;
  std::unordered_map<UpstreamId, Process> processes_;
  std::optional<Timestamp> watching_since_;
  // Until when orders of earlier holders may be carried out.
  Timestamp predecessors_until_{};
};

}  // namespace dotterellug
