#include "membership/table/member_table.h"

#include <algorithm>
#include <utility>

namespace dotterellug {
namespace {

constexpr Incarnation kUnheard{0};

}  // namespace

auto MemberRecord::State() const -> MemberState {
  if (gone) return MemberState::kGone;
  if (statement.suspected) return MemberState::kSuspected;
  if (statement.leaving || listed_leaving) return MemberState::kLeaving;
  return MemberState::kLive;
}

auto MemberTable::Merge(const MemberStatement& statement, bool direct,
                        Timestamp now) -> MergeResult {
  const auto found = members_.find(statement.id);
  if (found == members_.end()) return Insert(statement, direct, now);
  auto& record = found->second;
  const auto known = record.statement.version.incarnation;
  if (statement.version.incarnation < known) return MergeResult::kUnchanged;
  if (statement.version.incarnation == known && record.gone) {
    if (direct) ++heard_after_gone_;
    return MergeResult::kUnchanged;
  }
  if (statement.version.incarnation > known) {
    if (!record.gone && known != kUnheard) {
      Report(MemberEventKind::kProcessGone, record);
    }
    // What the list said is about the instance and stays.
    MemberRecord next;
    next.statement = statement;
    next.listed_leaving = record.listed_leaving;
    next.missing_since = record.missing_since;
    next.suspected_since = now;
    if (direct) next.heard_at = now;
    const auto before = record.State();
    record = std::move(next);
    ReportChange(record, before);
    return MergeResult::kChanged;
  }
  return Update(record, statement, direct, now);
}

auto MemberTable::ApplyList(const std::vector<ListedInstance>& list,
                            Timestamp asked_at) -> void {
  std::set<InstanceId> listed;
  for (const auto& instance : list) {
    listed.insert(instance.id);
    ApplyListed(instance, asked_at);
  }
  for (auto& [id, record] : members_) {
    if (listed.count(id) == 0) ApplyMissing(record, asked_at);
  }
}

auto MemberTable::Suspect(const InstanceId& id, Timestamp now) -> bool {
  const auto found = members_.find(id);
  if (found == members_.end()) return false;
  auto& record = found->second;
  if (record.gone || record.statement.suspected) return false;
  const auto before = record.State();
  record.statement.suspected = true;
  record.suspected_since = now;
  ReportChange(record, before);
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
  if (record == nullptr || record->gone) return false;
  if (record->statement.leaving || record->listed_leaving) return false;
  return !record->statement.suspected ||
         now - record->suspected_since < kSuspicionTimeout;
}

auto MemberTable::ZonesHeardSince(Timestamp since) const
    -> std::set<AvailabilityZoneId> {
  std::set<AvailabilityZoneId> zones;
  for (const auto& [id, record] : members_) {
    if (record.heard_at >= since) zones.insert(record.statement.zone);
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
  if (direct) record.heard_at = now;
  Report(MemberEventKind::kStateChanged, record);
  return MergeResult::kChanged;
}

auto MemberTable::Update(MemberRecord& record, const MemberStatement& statement,
                         bool direct, Timestamp now) -> MergeResult {
  if (direct) record.heard_at = now;
  if (statement.version < record.statement.version) {
    return MergeResult::kUnchanged;
  }
  const auto before = record.State();
  if (record.statement.version < statement.version) {
    // The member itself made the newer statement, so a suspicion of it is new.
    record.suspected_since = now;
    record.statement = statement;
    ReportChange(record, before);
    return MergeResult::kChanged;
  }
  if (!statement.suspected || record.statement.suspected) {
    return MergeResult::kUnchanged;
  }
  record.statement.suspected = true;
  record.suspected_since = now;
  ReportChange(record, before);
  return MergeResult::kChanged;
}

auto MemberTable::ApplyListed(const ListedInstance& instance,
                              Timestamp asked_at) -> void {
  const auto [it, inserted] = members_.try_emplace(instance.id);
  auto& record = it->second;
  if (inserted) {
    // Not in the live set until a process of the instance is heard of.
    record.statement.id = instance.id;
    record.statement.zone = instance.zone;
    record.statement.address = instance.address;
    record.statement.suspected = true;
    record.suspected_since = asked_at - kSuspicionTimeout;
  }
  const auto before = record.State();
  record.missing_since.reset();
  record.listed_leaving = instance.leaving;
  ReportChange(record, before);
}

auto MemberTable::ApplyMissing(MemberRecord& record, Timestamp asked_at)
    -> void {
  if (record.gone) return;
  if (!record.missing_since) record.missing_since = asked_at;
  if (asked_at - *record.missing_since < kListQuarantine) return;
  // A process that still answers is not dead, whatever the list says.
  if (!record.statement.suspected) return;
  if (asked_at - record.suspected_since < kSuspicionTimeout) return;
  record.gone = true;
  Report(MemberEventKind::kProcessGone, record);
  Report(MemberEventKind::kStateChanged, record);
}

auto MemberTable::Report(MemberEventKind kind, const MemberRecord& record)
    -> void {
  events_.push_back(MemberEvent{kind, record.statement.id,
                                record.statement.version.incarnation,
                                record.State()});
}

auto MemberTable::ReportChange(const MemberRecord& record, MemberState before)
    -> void {
  if (record.State() == before) return;
  Report(MemberEventKind::kStateChanged, record);
}

}  // namespace dotterellug
