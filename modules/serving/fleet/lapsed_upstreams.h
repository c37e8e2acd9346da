#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "core/core.h"

namespace dotterellug::serving {

// Intervals at which upstreams renew their entries in the store.
struct ExpirySettings {
  // Interval at which upstreams renew their entries in the store. Entries
  // expire after three missed heartbeats, so none expires in an outage of the
  // store that is shorter than two intervals.
  Duration heartbeat_interval = std::chrono::milliseconds(1200);
  // Time after the recovery of the store within which live upstreams write
  // their entries again.
  Duration renewal_window = std::chrono::milliseconds(2000);
};

// Distinguishes upstreams that have been removed from those whose entries have
// only expired during an outage of the store. After an outage, all entries may
// be missing at once although every upstream is serving; if their upstreams
// were removed, all requests would be refused. Upstreams without an entry are
// therefore retained until they have had time to write it again.
class LapsedUpstreams {
 public:
  explicit LapsedUpstreams(ExpirySettings settings) : settings_(settings) {}

  // Called when the store has responded to a call, or has failed to.
  auto OnStoreAnswer(Timestamp now) -> void;
  auto OnStoreSilence(Timestamp now) -> void;
  // Called when the store responded to another daemon at time `at`. Entries
  // expire because upstreams cannot reach the store, so this shortens the
  // outage seen by a daemon that rarely calls the store itself.
  auto OnAnswerElsewhere(Timestamp at) -> void {
    last_response_at_ = std::max(last_response_at_, at);
  }
  // Called when the entry of an upstream is missing. Returns true if the
  // upstream has been removed; otherwise it is retained until TakeGone returns
  // it.
  auto OnMissing(const UpstreamId& id, Timestamp now) -> bool;
  // Called when the entry of an upstream exists, or when the upstream has been
  // removed for another reason.
  auto Forget(const UpstreamId& id) -> void { retained_.erase(id); }
  // Returns the retained upstreams that have not written their entries in time,
  // and forgets them.
  auto TakeGone(Timestamp now) -> std::vector<UpstreamId>;

  // Whether upstreams without an entry are being retained.
  auto HoldsBack() const -> bool { return !retained_.empty(); }
  // Start of the current outage of the store; not set while it responds.
  auto SilentSince() const -> std::optional<Timestamp> { return outage_since_; }
  // Time of the store's last response; zero before the first one.
  auto AnsweredAt() const -> Timestamp { return last_response_at_; }

 private:
  ExpirySettings settings_;
  Timestamp last_response_at_{};
  std::optional<Timestamp> outage_since_;
  // Until when missing entries may be written again; zero before the first
  // outage.
  Timestamp retain_until_{};
  // Retained upstreams and the time at which each is removed.
  std::map<UpstreamId, Timestamp> retained_;
};

}  // namespace dotterellug::serving
