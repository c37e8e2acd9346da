#include "ownership/agent/shard_agent.h"

#include <set>
#include <utility>

namespace dotterellug {

ShardAgent::ShardAgent(ShardId shard, MemberId self)
    : shard_(std::move(shard)), self_(std::move(self)) {}

auto ShardAgent::Tick() -> OwnershipActions {
  OwnershipActions actions;
  if (ownership_ && !ownership_->completed) Announce(&actions);
  // The read recognises a write whose response was lost, and finds a term whose
  // announcement was lost.
  actions.push_back(ReadObject{OwnerObjectName(shard_)});
  return actions;
}

auto ShardAgent::TakeOver() -> OwnershipActions {
  if (!registered_ || !record_ || ownership_ || pending_) return {};
  auto record = *record_;
  record.owner = self_;
  record.term = record.term.Next();
  return Propose(std::move(record));
}

auto ShardAgent::OnRead(const ObjectRecord& object) -> OwnershipActions {
  if (object.version < version_) {
    ++stale_reads_;
    return {};
  }
  OwnerRecord record;
  if (object.version != kAbsent) {
    auto parsed = ParseOwnerRecord(object.value);
    if (!parsed) return {};
    record = std::move(*parsed);
  }
  return Adopt(std::move(record), object.version);
}

auto ShardAgent::OnWrite(WriteOutcome outcome) -> OwnershipActions {
  if (outcome == WriteOutcome::kNotDone) {
    pending_.reset();
    return {};
  }
  return {ReadObject{OwnerObjectName(shard_)}};
}

auto ShardAgent::OnAnnouncement(const TermAnnouncement& announcement)
    -> OwnershipActions {
  OwnershipActions actions;
  if (!registered_) return actions;
  FollowTerm(announcement.term, announcement.owner, &actions);
  return actions;
}

auto ShardAgent::OnAcknowledgement(const MemberId& member, Term term)
    -> OwnershipActions {
  OwnershipActions actions;
  if (!ownership_) return actions;
  ownership_->barrier.Acknowledge(member, term);
  CheckBarrier(&actions);
  return actions;
}

auto ShardAgent::OnMemberTerminated(const MemberId& member)
    -> OwnershipActions {
  OwnershipActions actions;
  gone_.Add(member);
  if (!ownership_) return actions;
  ownership_->barrier.ConfirmGone(member);
  CheckBarrier(&actions);
  return actions;
}

auto ShardAgent::ForgetDeparted() -> OwnershipActions {
  if (!MayAct() || pending_ || record_->term != ownership_->term) return {};
  auto record = *record_;
  for (const auto& member : record_->members) {
    if (gone_.Contains(member)) record.RemoveMember(member);
  }
  record.departed.clear();
  if (record == *record_) return {};
  return Propose(std::move(record));
}

auto ShardAgent::OwnedTerm() const -> std::optional<Term> {
  if (!ownership_) return std::nullopt;
  return ownership_->term;
}

auto ShardAgent::MayAct() const -> bool {
  return ownership_ && ownership_->completed;
}

auto ShardAgent::Adopt(OwnerRecord record, ObjectVersion version)
    -> OwnershipActions {
  OwnershipActions actions;
  record_ = std::move(record);
  version_ = version;
  if (pending_ && version == pending_->expected) {
    // Still the version that the write expects: it was lost or is on its way.
    // Writing the same value again is safe, because at most one can succeed.
    return {WriteObject{OwnerObjectName(shard_), pending_->expected,
                        EncodeOwnerRecord(pending_->record)}};
  }
  pending_.reset();
  // Its own name in the record proves that an earlier write took effect, also
  // when every response to it was lost.
  if (record_->HasMember(self_)) registered_ = true;
  if (!registered_) return Register();
  if (record_->owner == self_ && record_->term > fence_.Acknowledged()) {
    GainOwnership(&actions);
    return actions;
  }
  if (record_->owner && record_->term > fence_.Acknowledged()) {
    FollowTerm(record_->term, *record_->owner, &actions);
  }
  return actions;
}

auto ShardAgent::Propose(OwnerRecord record) -> OwnershipActions {
  pending_ = PendingWrite{version_, std::move(record)};
  return {WriteObject{OwnerObjectName(shard_), version_,
                      EncodeOwnerRecord(pending_->record)}};
}

auto ShardAgent::Register() -> OwnershipActions {
  auto record = *record_;
  record.AddMember(self_);
  return Propose(std::move(record));
}

auto ShardAgent::FollowTerm(Term term, const MemberId& owner,
                            OwnershipActions* actions) -> void {
  if (!fence_.Acknowledge(term)) return;
  if (ownership_ && ownership_->term < term) {
    actions->push_back(OwnershipLost{ownership_->term});
    ownership_.reset();
  }
  actions->push_back(AcknowledgeTerm{term, owner});
}

auto ShardAgent::GainOwnership(OwnershipActions* actions) -> void {
  const auto term = record_->term;
  if (ownership_) actions->push_back(OwnershipLost{ownership_->term});
  ownership_ = Ownership{term, TermBarrier(term, record_->members), false};
  fence_.Acknowledge(term);
  for (const auto& member : record_->members) {
    if (gone_.Contains(member)) ownership_->barrier.ConfirmGone(member);
  }
  actions->push_back(OwnershipGained{term});
  actions->push_back(AcknowledgeTerm{term, self_});
  Announce(actions);
}

auto ShardAgent::Announce(OwnershipActions* actions) const -> void {
  for (const auto& member : ownership_->barrier.Waiting()) {
    if (member == self_) continue;
    actions->push_back(AnnounceTerm{
        member, TermAnnouncement{shard_, ownership_->term, self_}});
  }
}

auto ShardAgent::CheckBarrier(OwnershipActions* actions) -> void {
  if (ownership_->completed || !ownership_->barrier.Complete()) return;
  ownership_->completed = true;
  actions->push_back(BarrierCompleted{ownership_->term, ReportsMayBeMissing()});
}

auto ShardAgent::ReportsMayBeMissing() const -> bool {
  // What the former owner kept in memory has a copy at one other member, so it
  // is lost only when two members are missing.
  std::set<MemberId> missing(ownership_->barrier.Unreported().begin(),
                             ownership_->barrier.Unreported().end());
  missing.insert(record_->departed.begin(), record_->departed.end());
  return missing.size() >= 2;
}

}  // namespace dotterellug
