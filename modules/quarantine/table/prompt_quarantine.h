#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/core.h"
#include "quarantine/evidence/part_evidence.h"
#include "quarantine/evidence/working_parts.h"

namespace dotterellug::quarantine {

struct QuarantineOptions {
  // Unexplained crashes after which a part is quarantined that no upstream was
  // seen to answer, and one that upstreams used to answer.
  int crash_threshold = 3;
  int crash_threshold_of_working_part = 6;
  // Crashes that are closer together count once: a failure of a network or of
  // an availability zone ends many upstreams at a time.
  Duration crash_spacing = std::chrono::milliseconds(200);
  // A crash counts after this time, in which other daemons tell whether the
  // part works elsewhere.
  Duration settle_time = std::chrono::milliseconds(300);
  // A part that worked this long before a crash, or at any time after it, did
  // not cause it.
  Duration working_time = std::chrono::seconds(3);
  // A process that answers this long after its crash did not crash. Covers
  // answers that a slow daemon reads late.
  Duration refutation_delay = std::chrono::seconds(1);
  // A crash can be refuted, and its effect on the decision changes, within this
  // time.
  Duration review_time = std::chrono::seconds(10);
  Duration expiry_interval = std::chrono::seconds(1);
  // Crashes are forgotten after this time unless their part is quarantined.
  Duration crash_ttl = std::chrono::minutes(10);
  // A quarantined part that nobody asked for in this time is released.
  Duration idle_ttl = std::chrono::minutes(10);
  // Time from the last crash to each trial. There are no others: a request with
  // the part may end one more upstream.
  std::vector<Duration> trial_delays{std::chrono::minutes(1),
                                     std::chrono::minutes(10)};
  // A change is repeated in messages for this time, since datagrams get lost.
  Duration share_time = std::chrono::seconds(3);
  // Bounds of the table and of a message.
  std::size_t max_parts = 256;
  std::size_t max_shared_parts = 40;
  std::size_t max_crashes = 8;
};

// A part that was quarantined or released.
struct QuarantineChange {
  PartEvidence evidence;
  bool quarantined = false;
};

// One daemon's copy of the fleet's evidence on prompt parts, and the decision
// which of them are quarantined. Copies that have exchanged all their evidence
// decide the same. Not thread-safe.
class PromptQuarantine {
 public:
  explicit PromptQuarantine(QuarantineOptions options = {})
      : options_(std::move(options)) {}

  // An upstream's process ended before its answer to a request with these parts
  // got beyond the beginning. `answer_begun` tells whether a response head had
  // arrived.
  auto RecordCrash(const std::vector<PromptPartId>& parts,
                   const UpstreamProcess& process, bool answer_begun,
                   Timestamp now) -> void;
  // An upstream was seen to answer a request with these parts, beyond the
  // beginning of the answer.
  auto RecordWorking(const std::vector<PromptPartId>& parts, Timestamp now)
      -> void;
  // Releases a part because an operator says that it works.
  auto Release(const PromptPartId& part, Timestamp now) -> void;

  // Returns the first quarantined part among these; null if there is none.
  auto FindQuarantined(const std::vector<PromptPartId>& parts) const
      -> const PartEvidence*;
  // A request with the part was rejected.
  auto RecordRejection(const PromptPartId& part, Timestamp now) -> void;
  // Whether a request with the quarantined part may be sent now to find out
  // whether the part still ends upstreams. For one daemon of the fleet only.
  auto TrialDue(const PromptPartId& part, Timestamp now) const -> bool;
  // Such a request is sent.
  auto CountTrial(const PromptPartId& part, Timestamp now) -> void;
  // Time until the quarantine of the part may end without an operator: until
  // its next trial, or if there is none, until it is released because nobody
  // asked for it.
  auto TimeUntilReview(const PromptPartId& part, Timestamp now) const
      -> Duration;
  // Whether one of the parts is under suspicion because another process ended
  // while it began to answer it.
  auto SuspectedElsewhere(const std::vector<PromptPartId>& parts,
                          const UpstreamProcess& process) const -> bool;

  // What the fleet should know now.
  auto Share(Timestamp now) const -> std::vector<SharedEvidence>;
  // Adds what another daemon knows.
  auto Merge(const std::vector<SharedEvidence>& evidence, Timestamp now)
      -> void;
  // A process sent part of an answer to an attempt that was sent to it at
  // `sent_at`. Refutes crashes of the process between the two: the answer came
  // on a connection to the process that is said to have ended.
  auto RecordAnswer(const UpstreamProcess& process, Timestamp sent_at,
                    Timestamp now) -> void;
  // Whether there are crashes that an answer could refute.
  auto ReviewsCrashes() const -> bool { return !reviewed_.empty(); }
  // Brings the decision up to date and returns what it changed.
  auto Update(Timestamp now) -> std::vector<QuarantineChange>;

  auto Empty() const -> bool { return entries_.empty(); }
  // Number of parts under suspicion, quarantined or not.
  auto PartCount() const -> std::size_t { return entries_.size(); }
  auto Quarantined() const -> std::vector<PartEvidence>;

 private:
  struct Entry {
    PartEvidence evidence;
    // When this copy last changed.
    Timestamp changed_at{};
    bool quarantined = false;
  };
  using Processes = std::set<UpstreamProcess>;

  // Whether the crash says anything against the part.
  auto Counts(const PartEvidence& evidence, const UpstreamCrash& crash) const
      -> bool;
  auto HasCountingCrash(const PartEvidence& evidence) const -> bool;
  // Number of crashes that count and are neither too recent nor explained.
  auto UnexplainedCrashes(const PartEvidence& evidence,
                          const Processes& explained, Timestamp now) const
      -> int;
  auto Threshold(const PartEvidence& evidence) const -> int;
  // The part that is most probably the cause of crashes not yet explained.
  auto FindCause(const Processes& explained,
                 const std::set<PromptPartId>& found, Timestamp now) const
      -> const Entry*;
  auto FindCauses(Timestamp now) const -> std::set<PromptPartId>;
  // Collects the processes whose crashes an answer could refute.
  auto CollectReviewed(Timestamp now) -> void;
  auto Touch(Entry& entry, Timestamp now) -> void {
    entry.changed_at = now;
    changed_at_ = now;
  }
  // When the next trial of a quarantined part is due; nothing if there is none.
  auto TrialDueAt(const PromptPartId& part) const -> std::optional<Timestamp>;
  // Removes entries that are too old; returns those that were quarantined.
  auto Expire(Timestamp now) -> std::vector<QuarantineChange>;
  auto IsExpired(const SharedEvidence& evidence) const -> bool;
  // Returns the part's entry, a new one if needed; null if the table is full of
  // parts with more evidence against them.
  auto Emplace(const PromptPartId& part, std::int64_t depth) -> Entry*;
  auto AddCrash(Entry& entry, const UpstreamCrash& crash, Timestamp now)
      -> void;
  // The cause of these crashes is mended: they say nothing against any part.
  auto DismissCrashes(const PartEvidence& evidence, Timestamp now) -> void;
  auto SetWorked(Entry& entry, Timestamp worked_at, Timestamp now) -> void;

  QuarantineOptions options_;
  WorkingParts working_;
  std::map<PromptPartId, Entry> entries_;
  std::size_t quarantined_count_ = 0;
  // Processes with crashes that an answer could refute, as of the last update.
  Processes reviewed_;
  // Last change of any entry.
  Timestamp changed_at_{};
  Timestamp expired_at_{};
};

}  // namespace dotterellug::quarantine
