#include "membership/detector/failure_detector.h"

#include <algorithm>
#include <utility>

namespace dotterellug {
namespace {

// Statements added to each message regardless of changes (anti-entropy). They
// repair differences between members' tables that were caused by lost messages,
// for example during a partition.
constexpr int kAntiEntropyStatementsPerMessage = 3;
// Bytes by which the array's length field can grow in an encoded message.
constexpr std::size_t kArrayHeaderBytes = 2;
// Lower bound of the size of an encoded statement. No further statements are
// tried once fewer bytes remain.
constexpr std::size_t kMinStatementBytes = 16;
constexpr std::size_t kMaxChanges = kMaxMessageBytes / kMinStatementBytes;

auto Shuffle(std::vector<InstanceId>& ids, Random& random) -> void {
  for (std::size_t i = ids.size(); i > 1; --i) {
    std::swap(ids[i - 1], ids[random.Below(i)]);
  }
}

}  // namespace

FailureDetector::FailureDetector(MemberStatement self,
                                 DetectorSettings settings, std::uint64_t seed)
    : self_(std::move(self)), settings_(settings), random_(seed) {}

auto FailureDetector::Tick(Timestamp now) -> Outgoing {
  Outgoing outgoing;
  DetectPause(now);
  for (auto it = relayed_.begin(); it != relayed_.end();) {
    it = it->second.expires <= now ? relayed_.erase(it) : std::next(it);
  }
  if (probe_ && !probe_->acknowledged && !probe_->indirect_sent &&
      now - probe_->sent >= settings_.direct_timeout) {
    SendIndirectProbes(outgoing);
  }
  if (!next_probe_) next_probe_ = now;
  if (now < *next_probe_) return outgoing;
  if (probe_ && !probe_->acknowledged && table_.Suspect(probe_->target, now)) {
    changes_.Add(probe_->target);
  }
  StartProbe(now, outgoing);
  return outgoing;
}

auto FailureDetector::OnMessage(const MemberMessage& message, Timestamp now)
    -> Outgoing {
  Outgoing outgoing;
  for (const auto& change : message.changes) {
    MergeStatement(change, false, now);
  }
  if (message.sender.id == self_.id) {
    HandleStatementAboutSelf(message.sender);
    return outgoing;
  }
  MergeStatement(message.sender, true, now);
  switch (message.kind) {
    case MessageKind::kProbe:
      // The address may have been reassigned to another instance.
      if (message.target != self_.id) break;
      Send(MessageKind::kAck, message.sender.id, message.sequence, self_.id,
           outgoing);
      break;
    case MessageKind::kProbeRequest:
      OnProbeRequest(message, now, outgoing);
      break;
    case MessageKind::kAck:
      OnAck(message, outgoing);
      break;
  }
  return outgoing;
}

auto FailureDetector::OnInstanceList(const std::vector<ListedInstance>& list,
                                     Timestamp requested_at) -> void {
  std::vector<ListedInstance> others;
  std::copy_if(list.begin(), list.end(), std::back_inserter(others),
               [&](const auto& instance) { return instance.id != self_.id; });
  table_.ApplyList(others, requested_at);
}

auto FailureDetector::Leave() -> void {
  self_.leaving = true;
  self_.version.number = self_.version.number.Next();
}

auto FailureDetector::SetConfigRevision(RevisionNumber revision,
                                        std::int64_t currency_age_ms) -> void {
  revision_ = revision;
  currency_age_ms_ = currency_age_ms;
}

auto FailureDetector::TakeEvents() -> std::vector<MemberEvent> {
  auto events = table_.TakeEvents();
  events.insert(events.end(), events_.begin(), events_.end());
  events_.clear();
  return events;
}

auto FailureDetector::MergeStatement(const MemberStatement& statement,
                                     bool direct, Timestamp now) -> void {
  if (statement.id == self_.id) {
    HandleStatementAboutSelf(statement);
    return;
  }
  const auto result = table_.Merge(statement, direct, now);
  if (result == MergeResult::kChanged) changes_.Add(statement.id);
}

auto FailureDetector::HandleStatementAboutSelf(const MemberStatement& statement)
    -> void {
  if (statement.version.incarnation > self_.version.incarnation) {
    events_.push_back(MemberEvent{MemberEventKind::kSelfSuperseded, self_.id,
                                  statement.version.incarnation,
                                  MemberState::kLive});
    return;
  }
  if (statement.version.incarnation < self_.version.incarnation) return;
  if (!statement.suspected || statement.version < self_.version) return;
  self_.version.number = statement.version.number.Next();
}

auto FailureDetector::OnAck(const MemberMessage& message, Outgoing& outgoing)
    -> void {
  if (probe_ && probe_->sequence == message.sequence &&
      probe_->target == message.target) {
    probe_->acknowledged = true;
    return;
  }
  const auto found = relayed_.find(message.sequence);
  if (found == relayed_.end() || found->second.target != message.target) return;
  Send(MessageKind::kAck, found->second.origin, found->second.origin_sequence,
       message.target, outgoing);
  relayed_.erase(found);
}

auto FailureDetector::OnProbeRequest(const MemberMessage& message,
                                     Timestamp now, Outgoing& outgoing)
    -> void {
  const auto sequence = next_sequence_++;
  relayed_[sequence] =
      RelayedProbe{message.sender.id, message.sequence, message.target,
                   now + settings_.probe_interval};
  Send(MessageKind::kProbe, message.target, sequence, message.target, outgoing);
}

auto FailureDetector::DetectPause(Timestamp now) -> void {
  const auto last = std::exchange(last_tick_, now);
  if (!last || now - *last <= settings_.direct_timeout) return;
  ++pause_count_;
  probe_.reset();
  table_.RestartSuspicions(*last, now);
}

auto FailureDetector::SendIndirectProbes(Outgoing& outgoing) -> void {
  probe_->indirect_sent = true;
  for (const auto& relay : ChooseRelays()) {
    Send(MessageKind::kProbeRequest, relay, probe_->sequence, probe_->target,
         outgoing);
  }
}

auto FailureDetector::StartProbe(Timestamp now, Outgoing& outgoing) -> void {
  next_probe_ = now + settings_.probe_interval;
  probe_.reset();
  const auto target = NextProbeTarget();
  if (!target) return;
  probe_ = Probe{*target, next_sequence_++, now, false, false};
  Send(MessageKind::kProbe, *target, probe_->sequence, *target, outgoing);
}

auto FailureDetector::NextProbeTarget() -> std::optional<InstanceId> {
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (!remaining_targets_.empty()) {
      auto target = std::move(remaining_targets_.back());
      remaining_targets_.pop_back();
      const auto* record = table_.Find(target);
      if (record != nullptr && !record->dead) return target;
    }
    for (const auto& [id, record] : table_.All()) {
      // Suspected members are probed too. The probe notifies them of the
      // suspicion so that they can refute it, which clears suspicions after a
      // network partition has ended.
      if (!record.dead) remaining_targets_.push_back(id);
    }
    Shuffle(remaining_targets_, random_);
  }
  return std::nullopt;
}

auto FailureDetector::ChooseRelays() -> std::vector<InstanceId> {
  std::vector<InstanceId> candidates;
  for (const auto& [id, record] : table_.All()) {
    const auto state = record.State();
    const bool reachable =
        state == MemberState::kLive || state == MemberState::kLeaving;
    if (reachable && id != probe_->target) candidates.push_back(id);
  }
  Shuffle(candidates, random_);
  if (candidates.size() > settings_.indirect_probes) {
    candidates.resize(settings_.indirect_probes);
  }
  return candidates;
}

auto FailureDetector::Send(MessageKind kind, const InstanceId& to,
                           std::uint64_t sequence, const InstanceId& target,
                           Outgoing& outgoing) -> void {
  const auto* record = table_.Find(to);
  if (record == nullptr) return;
  MemberMessage message{kind,     self_,  revision_, currency_age_ms_,
                        sequence, target, {}};
  PiggybackChanges(to, message);
  outgoing.push_back(
      OutgoingMessage{to, record->statement.address, std::move(message)});
}

auto FailureDetector::PiggybackChanges(const InstanceId& to,
                                       MemberMessage& message) -> void {
  auto remaining_bytes =
      kMaxMessageBytes - EncodeMessage(message).size() - kArrayHeaderBytes;
  std::set<InstanceId> added;
  const auto add = [&](const InstanceId& id) {
    const auto* record = table_.Find(id);
    // Dead members and members known only from the instance list are not
    // disseminated, since each daemon reads the list itself.
    if (record == nullptr || record->dead ||
        record->statement.version.incarnation == Incarnation(0)) {
      return false;
    }
    const auto size = EncodedSize(record->statement);
    if (size > remaining_bytes || !added.insert(id).second) return false;
    remaining_bytes -= size;
    message.changes.push_back(record->statement);
    return true;
  };
  const auto* receiver = table_.Find(to);
  // A member can refute a suspicion only if it is notified of it.
  if (receiver != nullptr && receiver->statement.suspected) add(to);
  const auto members = table_.All().size() + 1;
  for (const auto& id : changes_.LeastTransmitted(kMaxChanges)) {
    if (remaining_bytes < kMinStatementBytes) break;
    if (add(id)) {
      changes_.RecordTransmission(id, members);
    } else if (const auto* record = table_.Find(id);
               record == nullptr || record->dead) {
      changes_.Remove(id);
    }
  }
  auto next = table_.All().upper_bound(anti_entropy_cursor_);
  for (int i = 0; i < kAntiEntropyStatementsPerMessage && !table_.All().empty();
       ++i) {
    if (next == table_.All().end()) next = table_.All().begin();
    add(next->first);
    anti_entropy_cursor_ = next->first;
    ++next;
  }
}

}  // namespace dotterellug
