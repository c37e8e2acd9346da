#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/core.h"

namespace dotterellug::fleet {

struct HubSelectorOptions {
  // A hub that has not answered for this long is passed over.
  Duration answer_timeout = std::chrono::milliseconds(450);
  // After this time a hub that was passed over is tried again.
  Duration retry_after = std::chrono::seconds(2);
};

// Chooses the daemon to report to. The daemon that orders loads comes first,
// then the others in an order that is the same everywhere, so that all that can
// reach one another choose the same hub without agreement.
class HubSelector {
 public:
  HubSelector(InstanceId self, HubSelectorOptions options)
      : self_(std::move(self)), options_(options) {}

  // Members with more capacity come first; those without one come last.
  auto SetMembers(const std::vector<InstanceId>& members,
                  const std::map<InstanceId, double>& capacities) -> void;
  // The daemon that orders loads, as far as known; empty if unknown.
  auto SetLeader(InstanceId leader) -> void { leader_ = std::move(leader); }

  // The hub for the next report; this daemon itself if no other answers.
  auto Choose(Timestamp now) -> InstanceId;
  auto OnAnswer(const InstanceId& hub, Timestamp now) -> void;
  // Whether the chosen hub answered lately. While it did not, this daemon is to
  // serve itself from its own part.
  auto Connected(Timestamp now) const -> bool;

 private:
  struct Candidate {
    // Since when reports to it have gone unanswered.
    std::optional<Timestamp> unanswered_since;
    std::optional<Timestamp> unresponsive_since;
  };

  auto ShouldSkip(const InstanceId& hub, Timestamp now) -> bool;

  InstanceId self_;
  HubSelectorOptions options_;
  InstanceId leader_;
  std::vector<InstanceId> ranking_;
  std::map<InstanceId, Candidate> candidates_;
  std::optional<Timestamp> last_answer_at_;
};

}  // namespace dotterellug::fleet
