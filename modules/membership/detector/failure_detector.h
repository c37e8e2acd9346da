#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/random/random.h"
#include "core/time/time.h"
#include "membership/gossip/change_queue.h"
#include "membership/table/member_table.h"
#include "membership/wire/message.h"

namespace dotterellug {

// Probe timing and fan-out.
struct DetectorSettings {
  // One member is probed per interval.
  Duration probe_interval = std::chrono::seconds(1);
  // Time to wait for an acknowledgement before indirect probes are requested.
  // The latency between zones is about 1 ms; the margin allows for scheduling
  // delays on a busy processor.
  Duration direct_timeout = std::chrono::milliseconds(300);
  // Number of members that are asked to probe an unresponsive member.
  std::size_t indirect_probes = 3;
};

// A message to send in one datagram.
struct OutgoingMessage {
  InstanceId to;
  std::string address;
  MemberMessage message;
};

// A failure detector based on SWIM. It probes one member per interval in random
// order, each member once per round. If the member does not acknowledge, other
// members are asked to probe it indirectly, and if that fails too, the member
// is suspected. Membership changes are piggybacked on all messages.
//
// Call Tick every 100 ms, after passing in the messages that have arrived. A
// gap longer than the direct timeout is treated as a pause of this process. Not
// thread-safe.
class FailureDetector {
 public:
  // The incarnation in `self` is that of this process, at least 1. `seed`
  // determines the probe order and the choice of relays.
  FailureDetector(MemberStatement self, DetectorSettings settings,
                  std::uint64_t seed);

  // Suspects the probed member if it has not acknowledged by the end of the
  // interval, starts direct and indirect probes when due, and returns the
  // messages to send.
  auto Tick(Timestamp now) -> std::vector<OutgoingMessage>;
  // Applies a received message and returns the messages to send.
  auto OnMessage(const MemberMessage& message, Timestamp now)
      -> std::vector<OutgoingMessage>;
  // Applies an answer of the instance list that was requested at
  // `requested_at`.
  auto OnInstanceList(const std::vector<ListedInstance>& list,
                      Timestamp requested_at) -> void;
  // Announces in all further messages that this process is leaving.
  auto Leave() -> void;
  // Sets the configuration revision in force, and the time since it was last
  // confirmed to be the current one, in milliseconds (negative if never), for
  // all further messages.
  auto SetConfigRevision(RevisionNumber revision, std::int64_t currency_age_ms)
      -> void;

  auto Self() const -> const MemberStatement& { return self_; }
  auto Table() const -> const MemberTable& { return table_; }
  // Returns the events since the last call, those of the table first.
  auto TakeEvents() -> std::vector<MemberEvent>;
  // Number of pauses: intervals longer than the direct timeout without a Tick.
  // The probe in flight during a pause is discarded.
  auto PauseCount() const -> std::int64_t { return pause_count_; }

 private:
  // The direct probe of the current interval.
  struct Probe {
    InstanceId target;
    std::uint64_t sequence = 0;
    Timestamp sent;
    bool acknowledged = false;
    bool indirect_sent = false;
  };
  // An indirect probe performed on behalf of another member.
  struct RelayedProbe {
    InstanceId origin;
    std::uint64_t origin_sequence = 0;
    InstanceId target;
    Timestamp expires;
  };
  using Outgoing = std::vector<OutgoingMessage>;

  auto MergeStatement(const MemberStatement& statement, bool direct,
                      Timestamp now) -> void;
  // Refutes a suspicion of this process with a higher statement number, or
  // reports that a process with a higher incarnation has replaced it.
  // Statements about an earlier incarnation are ignored.
  auto HandleStatementAboutSelf(const MemberStatement& statement) -> void;
  // Completes this daemon's own probe, or forwards the acknowledgement of an
  // indirect probe to the member that requested it.
  auto OnAck(const MemberMessage& message, Outgoing& outgoing) -> void;
  auto OnProbeRequest(const MemberMessage& message, Timestamp now,
                      Outgoing& outgoing) -> void;
  // Detects a pause of this process. Discards the probe in flight, since its
  // acknowledgement may have arrived or been lost during the pause, and
  // restarts the suspicion timeouts that had not expired.
  auto DetectPause(Timestamp now) -> void;
  auto SendIndirectProbes(Outgoing& outgoing) -> void;
  auto StartProbe(Timestamp now, Outgoing& outgoing) -> void;
  // Next member in the current round; starts a new round when the last one is
  // complete. Nothing if there are no members to probe.
  auto NextProbeTarget() -> std::optional<InstanceId>;
  // Random members that are considered reachable, other than the probe target.
  auto ChooseRelays() -> std::vector<InstanceId>;
  auto Send(MessageKind kind, const InstanceId& to, std::uint64_t sequence,
            const InstanceId& target, Outgoing& outgoing) -> void;
  // Adds statements to `message` up to kMaxMessageBytes: first a suspicion of
  // the receiver, then queued changes, then anti-entropy statements.
  auto PiggybackChanges(const InstanceId& to, MemberMessage& message) -> void;

  MemberStatement self_;
  DetectorSettings settings_;
  Random random_;
  MemberTable table_;
  ChangeQueue changes_;
  RevisionNumber revision_;
  std::int64_t currency_age_ms_ = -1;
  std::uint64_t next_sequence_ = 1;
  std::optional<Probe> probe_;
  std::optional<Timestamp> next_probe_;
  std::optional<Timestamp> last_tick_;
  // Indirect probes in flight, by the sequence number of their probe message.
  std::map<std::uint64_t, RelayedProbe> relayed_;
  // Members not yet probed in the current round.
  std::vector<InstanceId> remaining_targets_;
  // Last member sent for anti-entropy; the next message continues after it.
  InstanceId anti_entropy_cursor_;
  std::vector<MemberEvent> events_;
  std::int64_t pause_count_ = 0;
};

}  // namespace dotterellug
