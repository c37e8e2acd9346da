#include "idempotency/owner/claim_owner.h"

#include <algorithm>
#include <utility>

namespace dotterellug {
namespace {

// Upper bound of an encoded record without response body and names.
constexpr std::size_t kRecordBytes = 200;

// Base64 turns 3 bytes into 4 characters.
auto EncodedBodySize(std::size_t bytes) -> std::size_t {
  return (bytes + 2) / 3 * 4;
}

auto RecordBytes(const ClaimRecord& record) -> std::size_t {
  return kRecordBytes + record.key.Value().size() +
         record.request.Value().size() +
         record.claimant.member.instance.Value().size() +
         EncodedBodySize(record.response.body.size());
}

}  // namespace

ClaimOwner::ClaimOwner(ShardId shard, Term term, MemberId self,
                       TerminatedMembers gone, ClaimPolicy policy)
    : shard_(std::move(shard)),
      term_(term),
      self_(std::move(self)),
      gone_(std::move(gone)),
      policy_(policy) {}

auto ClaimOwner::OnReport(const ClaimReport& report) -> void {
  if (report.term != term_) return;
  for (const auto& record : report.kept) MergeKept(record);
}

auto ClaimOwner::OnBarrierCompleted(bool reports_may_be_missing, ClaimTime now)
    -> ClaimActions {
  active_ = true;
  if (reports_may_be_missing) {
    unknown_until_ =
        now.wall + std::chrono::duration_cast<std::chrono::milliseconds>(
                       policy_.retention);
  }
  return {ReadObject{ClaimObjectName(shard_)}};
}

auto ClaimOwner::OnRead(const ObjectRecord& object, ClaimTime now)
    -> ClaimActions {
  if (!active_ || superseded_) return {};
  if (version_ && object.version < *version_) return {};
  ClaimLog log;
  if (object.version != kAbsent) {
    auto parsed = ParseClaimLog(object.value);
    if (!parsed) return {};
    log = std::move(*parsed);
  }
  if (log.term > term_) {
    superseded_ = true;
    return {};
  }
  if (pending_ && object.version == pending_->expected) {
    return {WriteObject{ClaimObjectName(shard_), pending_->expected,
                        pending_->value}};
  }
  if (pending_ && log.term == term_ && log.batch == pending_->batch) {
    return Commit(object.version, now);
  }
  ReturnPending();
  version_ = object.version;
  Merge(log);
  return Flush(now);
}

auto ClaimOwner::OnWrite(ObjectVersion expected, WriteOutcome outcome,
                         ObjectVersion version, ClaimTime now) -> ClaimActions {
  if (!pending_ || pending_->expected != expected) return {};
  // A write for a version always has the same content, also when repeated, so
  // any success is the success of the pending write.
  if (outcome == WriteOutcome::kDone) return Commit(version, now);
  if (outcome == WriteOutcome::kNotDone) return {};
  return {ReadObject{ClaimObjectName(shard_)}};
}

auto ClaimOwner::OnClaim(const ClaimRequest& request, ClaimTime now)
    -> ClaimActions {
  if (!active_ || superseded_ || !version_) return {};
  const auto found = entries_.find(request.key);
  if (found != entries_.end()) return Answer(found->second, request);
  if (now.wall < unknown_until_) {
    return {Reply(request.claimant, request.key, OutcomeUnknown{})};
  }
  if (LogBytes() + kRecordBytes > policy_.max_log_bytes) {
    return {Reply(
        request.claimant, request.key,
        ClaimRejected{{ErrorKind::kExhausted,
                       "the claim log of shard " + shard_.Value() + " is full",
                       "repeat the call later"}})};
  }
  Entry entry;
  entry.record = {
      request.key, request.request, request.claimant, ClaimState::kRunning,
      {},          now.wall};
  entry.unwritten = true;
  entries_.emplace(request.key, std::move(entry));
  return Flush(now);
}

auto ClaimOwner::OnResult(const ClaimResult& result, ClaimTime now)
    -> ClaimActions {
  if (!active_ || superseded_ || !version_) return {};
  const SendClaimMessage stored{
      result.claimant.member,
      ClaimResultStored{shard_, result.key, result.claimant}};
  const auto found = entries_.find(result.key);
  if (found == entries_.end()) return {stored};
  auto& entry = found->second;
  if (!(entry.record.claimant == result.claimant)) return {stored};
  if (entry.record.state == ClaimState::kRunning) {
    entry.record.state = result.state;
    entry.record.response = result.response;
    if (result.response.body.size() > policy_.max_response_bytes ||
        LogBytes() > policy_.max_log_bytes) {
      entry.record.response.body.clear();
      entry.record.response.body_stored = false;
    }
    entry.unwritten = true;
  }
  if (!entry.unwritten && !entry.in_pending) return {stored};
  entry.result_unacknowledged = true;
  return Flush(now);
}

auto ClaimOwner::OnCountersigned(const Countersigned& countersigned)
    -> ClaimActions {
  if (!active_ || superseded_ || !fenced_ || countersigned.term != term_) {
    return {};
  }
  const auto found = entries_.find(countersigned.key);
  if (found == entries_.end()) return {};
  auto& entry = found->second;
  if (entry.durable || !(entry.record.claimant == countersigned.claimant)) {
    return {};
  }
  entry.durable = true;
  ClaimActions actions;
  Grant(entry, &actions);
  return actions;
}

auto ClaimOwner::OnMemberTerminated(const MemberId& member) -> void {
  gone_.Add(member);
}

auto ClaimOwner::Tick(const std::vector<MemberId>& helpers, ClaimTime now)
    -> ClaimActions {
  if (!active_ || superseded_) return {};
  Expire(now.wall);
  auto actions = Flush(now);
  if (!version_ || pending_) {
    actions.emplace_back(ReadObject{ClaimObjectName(shard_)});
  }
  outage_ = pending_ && now.monotonic - pending_->since >= policy_.outage_after;
  if (!outage_ || !fenced_) return actions;
  for (auto& action : Countersign(helpers)) {
    actions.push_back(std::move(action));
  }
  return actions;
}

auto ClaimOwner::AllWritten() const -> bool {
  if (!fenced_ || pending_ || header_unwritten_) return false;
  return std::none_of(entries_.begin(), entries_.end(),
                      [](const auto& item) { return item.second.unwritten; });
}

auto ClaimOwner::Find(const ClaimKey& key) const -> const ClaimRecord* {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second.record;
}

auto ClaimOwner::Merge(const ClaimLog& log) -> void {
  unknown_until_ = std::max(unknown_until_, log.unknown_until);
  for (const auto& record : log.records) {
    auto& entry = entries_[record.key];
    const bool is_new = entry.record.key.Empty();
    const bool same = entry.record.claimant == record.claimant;
    // What is in the log may have been granted by the owner that wrote it; it
    // replaces what this owner has not granted yet.
    if (is_new || !entry.durable) {
      const bool has_result =
          !is_new && same && entry.record.state != ClaimState::kRunning;
      if (!has_result) entry.record = record;
      entry.unwritten = has_result;
      entry.durable = true;
    } else if (same && entry.record.state == ClaimState::kRunning) {
      entry.record = record;
      entry.unwritten = false;
    }
  }
}

auto ClaimOwner::MergeKept(const ClaimRecord& record) -> void {
  auto& entry = entries_[record.key];
  if (!entry.record.key.Empty()) return;
  entry.record = record;
  entry.durable = true;
  entry.unwritten = true;
}

auto ClaimOwner::Commit(ObjectVersion version, ClaimTime now) -> ClaimActions {
  ClaimActions actions;
  version_ = version;
  pending_.reset();
  fenced_ = true;
  outage_ = false;
  for (auto& [key, entry] : entries_) {
    if (!entry.in_pending) continue;
    entry.in_pending = false;
    if (!entry.durable) {
      entry.durable = true;
      Grant(entry, &actions);
    }
    if (entry.result_unacknowledged && !entry.unwritten) {
      entry.result_unacknowledged = false;
      actions.emplace_back(SendClaimMessage{
          entry.record.claimant.member,
          ClaimResultStored{shard_, key, entry.record.claimant}});
    }
  }
  for (auto& action : Flush(now)) actions.push_back(std::move(action));
  return actions;
}

auto ClaimOwner::ReturnPending() -> void {
  if (!pending_) return;
  pending_.reset();
  header_unwritten_ = true;
  for (auto& [key, entry] : entries_) {
    entry.unwritten = entry.unwritten || entry.in_pending;
    entry.in_pending = false;
  }
}

auto ClaimOwner::Flush(ClaimTime now) -> ClaimActions {
  if (pending_ || !version_) return {};
  bool needed = header_unwritten_;
  ClaimLog log{term_, batch_ + 1, unknown_until_, {}};
  for (auto& [key, entry] : entries_) {
    needed = needed || entry.unwritten;
    entry.in_pending = entry.unwritten;
    log.records.push_back(entry.record);
  }
  if (!needed) return {};
  for (auto& [key, entry] : entries_) entry.unwritten = false;
  header_unwritten_ = false;
  pending_ =
      PendingWrite{*version_, ++batch_, EncodeClaimLog(log), now.monotonic};
  return {WriteObject{ClaimObjectName(shard_), pending_->expected,
                      pending_->value}};
}

auto ClaimOwner::Expire(WallTime now) -> void {
  for (auto item = entries_.begin(); item != entries_.end();) {
    const auto& entry = item->second;
    const bool in_use = entry.unwritten || entry.in_pending;
    const bool expired =
        !in_use && entry.record.claimed_at + policy_.retention <= now;
    item = expired ? entries_.erase(item) : std::next(item);
  }
}

auto ClaimOwner::Answer(const Entry& entry, const ClaimRequest& request) const
    -> ClaimActions {
  const auto& record = entry.record;
  const auto reply = [&](ClaimVerdict verdict) -> ClaimActions {
    return {Reply(request.claimant, request.key, std::move(verdict))};
  };
  if (record.request != request.request) return reply(DifferentRequest{});
  const bool own = record.claimant == request.claimant;
  switch (record.state) {
    case ClaimState::kDone:
      return reply(FirstResponse{record.response});
    case ClaimState::kUnknown:
      return reply(OutcomeUnknown{});
    case ClaimState::kRunning:
      break;
  }
  if (own && !entry.durable) return {};
  if (own) return reply(RunGranted{});
  if (gone_.Contains(record.claimant.member)) return reply(OutcomeUnknown{});
  return reply(InProgress{});
}

auto ClaimOwner::Grant(const Entry& entry, ClaimActions* actions) const
    -> void {
  // A claimant that gave up has reported a result before the grant.
  if (entry.record.state != ClaimState::kRunning) return;
  actions->emplace_back(
      Reply(entry.record.claimant, entry.record.key, RunGranted{}));
}

auto ClaimOwner::Reply(const ClaimantId& claimant, const ClaimKey& key,
                       ClaimVerdict verdict) const -> SendClaimMessage {
  return {claimant.member,
          ClaimAnswer{shard_, key, claimant, std::move(verdict)}};
}

auto ClaimOwner::Countersign(const std::vector<MemberId>& helpers) const
    -> ClaimActions {
  ClaimActions actions;
  if (helpers.empty()) return actions;
  for (const auto& [key, entry] : entries_) {
    if (entry.durable) continue;
    actions.emplace_back(SendClaimMessage{
        helpers.front(),
        CountersignRequest{shard_, term_, self_, entry.record}});
  }
  return actions;
}

auto ClaimOwner::LogBytes() const -> std::size_t {
  std::size_t bytes = kRecordBytes;
  for (const auto& [key, entry] : entries_) bytes += RecordBytes(entry.record);
  return bytes;
}

}  // namespace dotterellug
