#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "core/core.h"

namespace dotterellug::serving {

// Timing of the renewal and expiry of upstream entries.
struct ExpirySettings {
  // Interval at which upstreams renew their entries in the store. Entries
  // expire after three missed heartbeats. Up to one interval of an entry's
  // lifetime has passed when an outage of the store begins, so none expires in
  // an outage that is shorter than two intervals.
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
class ExpiredUpstreamRetention {
 public:
  explicit ExpiredUpstreamRetention(ExpirySettings settings)
      : settings_(settings) {}

  // Called when the store has responded to a call, or has failed to.
  auto OnStoreResponse(Timestamp now) -> void;
  auto OnStoreFailure(Timestamp now) -> void;
  // Called when the store responded to another daemon at time `at`. The store
  // was up then and upstreams could renew their entries, so an outage is
  // measured from there. This matters for a daemon that rarely calls the store
  // itself.
  auto OnResponseToOtherDaemon(Timestamp at) -> void {
    last_response_at_ = std::max(last_response_at_, at);
  }
  // Called when the entry of an upstream is missing. Returns whether the caller
  // should remove the upstream; otherwise it is retained until TakeExpired
  // returns it.
  auto OnEntryMissing(const UpstreamId& id, Timestamp now) -> bool;
  // Called when the entry of an upstream exists, or when the upstream has been
  // removed for another reason.
  auto Forget(const UpstreamId& id) -> void { retained_.erase(id); }
  // Returns the retained upstreams that have not written their entries in time,
  // and forgets them.
  auto TakeExpired(Timestamp now) -> std::vector<UpstreamId>;

  // Whether upstreams without an entry are being retained.
  auto IsRetaining() const -> bool { return !retained_.empty(); }
  // Time of the first failed call since the store's last response; not set
  // after a response.
  auto FailingSince() const -> std::optional<Timestamp> {
    return failing_since_;
  }
  // Time of the store's last response; zero before the first one.
  auto LastResponseAt() const -> Timestamp { return last_response_at_; }

 private:
  ExpirySettings settings_;
  Timestamp last_response_at_{};
  std::optional<Timestamp> failing_since_;
  // End of the renewal window; zero before the first outage.
  Timestamp renewal_window_end_{};
  // Retained upstreams and the time at which each is removed.
  std::map<UpstreamId, Timestamp> retained_;
};

}  // namespace dotterellug::serving
