#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/core.h"

namespace dotterellug::fleet {

// Timeouts of HubSelector.
struct HubSelectorOptions {
  // A hub that leaves a report unanswered for this long is considered
  // unresponsive and skipped.
  Duration answer_timeout = std::chrono::milliseconds(450);
  // An unresponsive hub is tried again after this delay.
  Duration retry_delay = std::chrono::seconds(2);
};

// Chooses the hub to which this daemon reports. The leader, which holds the
// lease for sending load and unload commands to engines (order lease), is
// preferred. The other daemons follow in a ranking that is the same on all
// daemons, so that daemons that can reach one another choose the same hub
// without a consensus protocol. Not thread-safe.
class HubSelector {
 public:
  // `self` is the id of this daemon.
  HubSelector(InstanceId self, HubSelectorOptions options)
      : self_(std::move(self)), options_(options) {}

  // Ranks members by capacity (processor cores), highest first; members missing
  // in `capacities` have capacity 0. Rendezvous hashing orders members with
  // equal capacity.
  auto SetMembers(const std::vector<InstanceId>& members,
                  const std::map<InstanceId, double>& capacities) -> void;
  // Sets the last known leader; empty if unknown.
  auto SetLeader(InstanceId leader) -> void { leader_ = std::move(leader); }

  // Returns the hub for the next report: the leader, or else the highest-ranked
  // member, skipping unresponsive ones. Returns this daemon if all candidates
  // ranked above it are unresponsive. Starts the answer timeout of the hub
  // returned.
  auto Choose(Timestamp now) -> InstanceId;
  // Records an answer; `hub` is considered responsive again.
  auto OnAnswer(const InstanceId& hub, Timestamp now) -> void;
  // Whether a hub has answered within the answer timeout. If not, this daemon
  // grants itself tokens from its own share of the limits.
  auto Connected(Timestamp now) const -> bool;

 private:
  struct Candidate {
    // Time of the first report to it without an answer since.
    std::optional<Timestamp> unanswered_since;
    // Time at which it was found to be unresponsive; reset when it is due for a
    // retry or answers.
    std::optional<Timestamp> unresponsive_since;
  };

  // Whether the hub is unresponsive and not due for a retry. Updates its state
  // when a timeout or the retry delay has expired.
  auto ShouldSkip(const InstanceId& hub, Timestamp now) -> bool;

  InstanceId self_;
  HubSelectorOptions options_;
  InstanceId leader_;
  // Members in order of preference.
  std::vector<InstanceId> ranking_;
  std::map<InstanceId, Candidate> candidates_;
  std::optional<Timestamp> last_answer_at_;
};

}  // namespace dotterellug::fleet
