#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace dotterellug::fleet {

// Timeouts of HubSelector.
struct HubSelectorOptions {
  // A hub that leaves a report unanswered for this long is considered
  // unresponsive and skipped.
  Duration answer_timeout = std::chrono::milliseconds(450);
  // An unresponsive hub is probed after this delay. It doubles with each
  // further failure up to the maximum.
  Duration retry_delay = std::chrono::seconds(2);
  Duration max_retry_delay = std::chrono::seconds(16);
  // The delay starts anew for a hub that answered for this long without a
  // timeout.
  Duration recovery_time = std::chrono::seconds(5);
};

// Chooses the hub to which this daemon reports. The leader, which holds the
// lease for sending load and unload commands to engines (order lease), is
// preferred. The other daemons follow in a ranking that is the same on all
// daemons, so that daemons that can reach one another choose the same hub
// without a consensus protocol. An unresponsive hub is chosen again only after
// it has answered a probe in time; otherwise daemons would change to and fro
// between a hub that answers late and its successor. Not thread-safe.
class HubSelector {
 public:
  // `self` is the id of this daemon. `ranking_key` is the key for rendezvous
  // hashing; it must be the same on all daemons.
  HubSelector(InstanceId self, HubSelectorOptions options,
              std::string ranking_key = "fleet-hub")
      : self_(std::move(self)),
        options_(options),
        ranking_key_(std::move(ranking_key)) {}

  auto SetAnswerTimeout(Duration timeout) -> void {
    options_.answer_timeout = timeout;
  }
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
  // Returns an unresponsive hub to which an empty report should be sent now;
  // nothing if no probe is due.
  auto TakeProbe(Timestamp now) -> std::optional<InstanceId>;
  // Records an answer. An unresponsive hub becomes responsive if a probe is
  // under way; other answers of it are late and are ignored.
  auto OnAnswer(const InstanceId& hub, Timestamp now) -> void;
  // Whether a hub has answered within the answer timeout. If not, this daemon
  // grants itself tokens from its own share of the limits.
  auto Connected(Timestamp now) const -> bool;
  // Time since the first report to `hub` that it has not answered; 0 if it has
  // answered all.
  auto UnansweredFor(const InstanceId& hub, Timestamp now) const -> Duration;

 private:
  struct Candidate {
    // Time of the first report to it without an answer since.
    std::optional<Timestamp> unanswered_since;
    bool unresponsive = false;
    // While it is unresponsive: time of the next probe, and of a probe that is
    // under way.
    Timestamp probe_due{};
    std::optional<Timestamp> probed_at;
    // Delay before the next probe after a timeout.
    Duration retry_delay{0};
    Timestamp timed_out_at{};
  };

  // Whether the hub is unresponsive; marks it so if a report has timed out.
  auto ShouldSkip(const InstanceId& hub, Timestamp now) -> bool;
  // Marks the hub as unresponsive and schedules the next probe.
  auto OnTimeout(Candidate& candidate, Timestamp now) -> void;

  InstanceId self_;
  HubSelectorOptions options_;
  std::string ranking_key_;
  InstanceId leader_;
  // Members in order of preference.
  std::vector<InstanceId> ranking_;
  std::map<InstanceId, Candidate> candidates_;
  std::optional<Timestamp> last_answer_at_;
};

}  // namespace dotterellug::fleet
