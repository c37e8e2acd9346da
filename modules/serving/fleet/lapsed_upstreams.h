#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "core/core.h"

namespace dotterellug::serving {

struct ExpirySettings {
  // Entries lapse after three missed signs of life, which come this often, so a
  // shorter silence of the store than two of them loses none.
  Duration sign_of_life = std::chrono::milliseconds(1200);
  // Upstreams that live write their entry again within this time of the store's
  // return.
  Duration renewal_window = std::chrono::milliseconds(2000);
};

// Tells upstreams that are gone from those whose entries only lapsed while the
// store was away. Pattern: after an outage all entries may be missing at once
// although every upstream serves; removing them would refuse all requests.
class LapsedUpstreams {
 public:
  explicit LapsedUpstreams(ExpirySettings settings) : settings_(settings) {}

  // The store answered, or did not answer a call.
  auto OnStoreAnswer(Timestamp now) -> void;
  auto OnStoreSilence(Timestamp now) -> void;
  // The store answered another daemon at that time. What matters is whether
  // upstreams reached the store, so this shortens the silence of a daemon whose
  // own calls are rare.
  auto OnAnswerElsewhere(Timestamp at) -> void {
    last_response_at_ = std::max(last_response_at_, at);
  }
  // The entry of an upstream is missing. Returns whether the upstream is gone;
  // otherwise it is kept until TakeGone returns it.
  auto OnMissing(const UpstreamId& id, Timestamp now) -> bool;
  // Its entry is there, or it has been removed by other means.
  auto Forget(const UpstreamId& id) -> void { retained_.erase(id); }
  // Upstreams whose time to come back is over.
  auto TakeGone(Timestamp now) -> std::vector<UpstreamId>;

  // Whether some upstreams may be gone and are kept.
  auto HoldsBack() const -> bool { return !retained_.empty(); }
  // Since when the store has been silent.
  auto SilentSince() const -> std::optional<Timestamp> { return outage_since_; }
  // When the store last answered; zero before the first time.
  auto AnsweredAt() const -> Timestamp { return last_response_at_; }

 private:
  ExpirySettings settings_;
  Timestamp last_response_at_{};
  std::optional<Timestamp> outage_since_;
  // Until when missing entries may come back; zero without an outage.
  Timestamp retain_until_{};
  std::map<UpstreamId, Timestamp> retained_;
};

}  // namespace dotterellug::serving
