#include "membership/table/member_table.h"

#include <algorithm>
#include <utility>

namespace dotterellug {
namespace {

// Incarnation of members known only from the instance list.
constexpr Incarnation kUnknownIncarnation{0};

}  // namespace

auto MemberRecord::State() const -> MemberState {
  if (dead) return MemberState::kDead;
  if (statement.suspected) return MemberState::kSuspected;
  if (statement.leaving || listed_leaving) return MemberState::kLeaving;
  return MemberState::kLive;
}

auto MemberTable::Merge(const MemberStatement& statement, bool direct,
                        Timestamp now) -> MergeResult {
  const auto found = members_.find(statement.id);
  if (found == members_.end()) return Insert(statement, direct, now);
  auto& record = found->second;
  const auto current = record.statement.version.incarnation;
  if (statement.version.incarnation < current) return MergeResult::kUnchanged;
  if (statement.version.incarnation == current && record.dead) {
    if (direct) ++messages_from_dead_;
    return MergeResult::kUnchanged;
  }
  if (statement.version.incarnation > current) {
    if (!record.dead && current != kUnknownIncarnation) {
      AddEvent(MemberEventKind::kProcessDead, record);
    }
    // The contents of the instance list concern the instance, not the process,
    // so they are kept.
    MemberRecord next;
    next.statement = statement;
    next.listed_leaving = record.listed_leaving;
    next.unlisted_since = record.unlisted_since;
    next.suspected_since = now;
    if (direct) next.last_heard_at = now;
    const auto before = record.State();
    record = std::move(next);
    AddStateChangeEvent(record, before);
    return MergeResult::kChanged;
  }
  return Update(record, statement, direct, now);
}

auto MemberTable::ApplyList(const std::vector<ListedInstance>& list,
                            Timestamp requested_at) -> void {
  std::set<InstanceId> listed;
  for (const auto& instance : list) {
    listed.insert(instance.id);
    ApplyListed(instance, requested_at);
  }
  for (auto& [id, record] : members_) {
    if (listed.count(id) == 0) ApplyUnlisted(record, requested_at);
  }
}

auto MemberTable::Suspect(const InstanceId& id, Timestamp now) -> bool {
  const auto found = members_.find(id);
  if (found == members_.end()) return false;
  auto& record = found->second;
  if (record.dead || record.statement.suspected) return false;
  const auto before = record.State();
  record.statement.suspected = true;
  record.suspected_since = now;
  AddStateChangeEvent(record, before);
  return true;
}

auto MemberTable::RestartSuspicions(Timestamp paused_at, Timestamp now)
    -> void {
  for (auto& [id, record] : members_) {
    if (paused_at - record.suspected_since >= kSuspicionTimeout) continue;
    record.suspected_since = now;
  }
}

auto MemberTable::Find(const InstanceId& id) const -> const MemberRecord* {
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

auto MemberTable::IsInLiveSet(const InstanceId& id, Timestamp now) const
    -> bool {
  const auto* record = Find(id);
  if (record == nullptr || record->dead) return false;
  if (record->statement.leaving || record->listed_leaving) return false;
  return !record->statement.suspected ||
         now - record->suspected_since < kSuspicionTimeout;
}

auto MemberTable::ZonesHeardSince(Timestamp since) const
    -> std::set<AvailabilityZoneId> {
  std::set<AvailabilityZoneId> zones;
  for (const auto& [id, record] : members_) {
    if (record.last_heard_at >= since) zones.insert(record.statement.zone);
  }
  return zones;
}

auto MemberTable::TakeEvents() -> std::vector<MemberEvent> {
  return std::exchange(events_, {});
}

auto MemberTable::Insert(const MemberStatement& statement, bool direct,
                         Timestamp now) -> MergeResult {
  auto& record = members_[statement.id];
  record.statement = statement;
  record.suspected_since = now;
  if (direct) record.last_heard_at = now;
  AddEvent(MemberEventKind::kStateChanged, record);
  return MergeResult::kChanged;
}

auto MemberTable::Update(MemberRecord& record, const MemberStatement& statement,
                         bool direct, Timestamp now) -> MergeResult {
  if (direct) record.last_heard_at = now;
  if (statement.version < record.statement.version) {
    return MergeResult::kUnchanged;
  }
  const auto before = record.State();
  if (record.statement.version < statement.version) {
    // The newer version was issued by the member itself, so a suspicion at this
    // version is new and its timeout restarts.
    record.suspected_since = now;
    record.statement = statement;
    AddStateChangeEvent(record, before);
    return MergeResult::kChanged;
  }
  if (!statement.suspected || record.statement.suspected) {
    return MergeResult::kUnchanged;
  }
  record.statement.suspected = true;
  record.suspected_since = now;
  AddStateChangeEvent(record, before);
  return MergeResult::kChanged;
}

auto MemberTable::ApplyListed(const ListedInstance& instance,
                              Timestamp requested_at) -> void {
  const auto [it, inserted] = members_.try_emplace(instance.id);
  auto& record = it->second;
  if (inserted) {
    // Not in the live set until a statement of a process of the instance is
    // received.
    record.statement.id = instance.id;
    record.statement.zone = instance.zone;
    record.statement.address = instance.address;
    record.statement.suspected = true;
    record.suspected_since = requested_at - kSuspicionTimeout;
  }
  const auto before = record.State();
  record.unlisted_since.reset();
  record.listed_leaving = instance.leaving;
  AddStateChangeEvent(record, before);
}

auto MemberTable::ApplyUnlisted(MemberRecord& record, Timestamp requested_at)
    -> void {
  if (record.dead) return;
  if (!record.unlisted_since) record.unlisted_since = requested_at;
  if (requested_at - *record.unlisted_since < kUnlistedTimeout) return;
  // A process that still answers is alive, even if it is not listed.
  if (!record.statement.suspected) return;
  if (requested_at - record.suspected_since < kSuspicionTimeout) return;
  record.dead = true;
  AddEvent(MemberEventKind::kProcessDead, record);
  AddEvent(MemberEventKind::kStateChanged, record);
}

auto MemberTable::AddEvent(MemberEventKind kind, const MemberRecord& record)
    -> void {
  events_.push_back(MemberEvent{kind, record.statement.id,
                                record.statement.version.incarnation,
                                record.State()});
}

auto MemberTable::AddStateChangeEvent(const MemberRecord& record,
                                      MemberState before) -> void {
  if (record.State() == before) return;
  AddEvent(MemberEventKind::kStateChanged, record);
}

}  // namespace dotterellug
