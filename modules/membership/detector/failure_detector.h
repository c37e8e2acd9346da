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

struct DetectorSettings {
  Duration probe_interval = std::chrono::seconds(1);
  // Time for a direct answer before others are asked to probe. Zones are about
  // 1 ms apart; the rest allows for a busy processor.
  Duration direct_timeout = std::chrono::milliseconds(300);
  std::size_t indirect_probes = 3;
};

// A datagram to send.
struct OutgoingMessage {
  InstanceId to;
  std::string address;
  MemberMessage message;
};

// Probes one member per interval in a random order that reaches each member
// once per round, asks others to probe a member that does not answer, suspects
// it when they get no answer either, and passes on changes in all its messages.
// Call Tick every 100 ms, after passing the messages that have arrived: a
// longer gap counts as a pause of this process. Not thread-safe.
class FailureDetector {
 public:
  // `self` has the incarnation of this process, at least 1.
  FailureDetector(MemberStatement self, DetectorSettings settings,
                  std::uint64_t seed);

  auto Tick(Timestamp now) -> std::vector<OutgoingMessage>;
  auto OnMessage(const MemberMessage& message, Timestamp now)
      -> std::vector<OutgoingMessage>;
  // An answer of the instance list that was requested at `requested_at`.
  auto OnInstanceList(const std::vector<ListedInstance>& list,
                      Timestamp requested_at) -> void;
  // Announces that this process leaves.
  auto Leave() -> void;
  // Sets what messages say about this daemon's configuration.
  auto SetStatus(RevisionNumber revision, std::int64_t currency_age_ms) -> void;

  auto Self() const -> const MemberStatement& { return self_; }
  auto Table() const -> const MemberTable& { return table_; }
  auto TakeEvents() -> std::vector<MemberEvent>;
  // Times this process did not tick for longer than the direct timeout and
  // therefore judged no member.
  auto PauseCount() const -> std::int64_t { return pause_count_; }

 private:
  struct Probe {
    InstanceId target;
    std::uint64_t sequence = 0;
    Timestamp sent;
    bool acknowledged = false;
    bool indirect_sent = false;
  };
  // A probe made for another member.
  struct Relay {
    InstanceId origin;
    std::uint64_t origin_sequence = 0;
    InstanceId target;
    Timestamp expires;
  };
  using Outgoing = std::vector<OutgoingMessage>;

  auto MergeStatement(const MemberStatement& statement, bool direct,
                      Timestamp now) -> void;
  auto HandleStatementAboutSelf(const MemberStatement& statement) -> void;
  auto OnAck(const MemberMessage& message, Outgoing& outgoing) -> void;
  auto OnProbeRequest(const MemberMessage& message, Timestamp now,
                      Outgoing& outgoing) -> void;
  // Drops the probe in flight when this process was paused: the answer may have
  // come and gone meanwhile.
  auto DetectPause(Timestamp now) -> void;
  auto SendIndirectProbes(Outgoing& outgoing) -> void;
  auto StartProbe(Timestamp now, Outgoing& outgoing) -> void;
  auto NextProbeTarget() -> std::optional<InstanceId>;
  auto ChooseRelays() -> std::vector<InstanceId>;
  auto Send(MessageKind kind, const InstanceId& to, std::uint64_t sequence,
            const InstanceId& target, Outgoing& outgoing) -> void;
  // Fills `message` with changes up to kMaxMessageBytes.
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
  std::map<std::uint64_t, Relay> relays_;
  // Targets left in this round.
  std::vector<InstanceId> remaining_targets_;
  // Last member sent as a refresher.
  InstanceId anti_entropy_cursor_;
  std::vector<MemberEvent> events_;
  std::int64_t pause_count_ = 0;
};

}  // namespace dotterellug
