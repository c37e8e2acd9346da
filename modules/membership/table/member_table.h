#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/time/time.h"
#include "membership/model/member.h"

namespace dotterellug {

// Time for which a member must be missing from the instance list before it
// counts as gone; covers the lag of the list.
inline constexpr Duration kListQuarantine = std::chrono::seconds(15);
// Time after which a suspected member is removed from the live set.
inline constexpr Duration kSuspicionTimeout = std::chrono::seconds(4);

// What one daemon knows about another instance.
struct MemberRecord {
  MemberStatement statement;
  bool gone = false;
  // The instance list says that the instance leaves.
  bool listed_leaving = false;
  Timestamp suspected_since{};
  // Last message from the member itself.
  Timestamp last_heard_at{};
  // Time of the first answer of the instance list without the member.
  std::optional<Timestamp> unlisted_since;

  auto State() const -> MemberState;
};

enum class MergeResult { kUnchanged, kChanged };

// The other instances of the fleet, by statements in the order of MemberVersion
// and by the instance list. A gone process never comes back; a process with a
// higher incarnation on its instance replaces it. Not thread-safe.
class MemberTable {
 public:
  using Members = std::map<InstanceId, MemberRecord>;

  // Applies a statement; kChanged when it says something new, which then has to
  // be passed on. `direct` means that the member itself sent it.
  auto Merge(const MemberStatement& statement, bool direct, Timestamp now)
      -> MergeResult;
  // Applies an answer of the instance list that was requested at
  // `requested_at`. A member is gone when the list has not contained it for
  // kListQuarantine and it has been suspected for kSuspicionTimeout: a process
  // that still answers is not dead, even if the list is wrong.
  auto ApplyList(const std::vector<ListedInstance>& list,
                 Timestamp requested_at) -> void;
  // Marks a member as suspected; false when it already is, or is gone.
  auto Suspect(const InstanceId& id, Timestamp now) -> bool;
  // Starts the timeout of suspicions again that had not run out when this
  // process was paused.
  auto RestartSuspicions(Timestamp paused_at, Timestamp now) -> void;

  auto Find(const InstanceId& id) const -> const MemberRecord*;
  auto All() const -> const Members& { return members_; }
  // Whether traffic may be steered to the member: live, or suspected for less
  // than kSuspicionTimeout.
  auto IsInLiveSet(const InstanceId& id, Timestamp now) const -> bool;
  // Zones of members that were heard from at or after `since`.
  auto ZonesHeardSince(Timestamp since) const -> std::set<AvailabilityZoneId>;

  // The events since the last call, in order.
  auto TakeEvents() -> std::vector<MemberEvent>;
  // Messages from processes that had been declared gone. Above 0 means that the
  // instance list was wrong.
  auto MessagesFromDeadCount() const -> std::int64_t {
    return messages_from_dead_;
  }

 private:
  auto Insert(const MemberStatement& statement, bool direct, Timestamp now)
      -> MergeResult;
  auto Update(MemberRecord& record, const MemberStatement& statement,
              bool direct, Timestamp now) -> MergeResult;
  auto ApplyListed(const ListedInstance& instance, Timestamp requested_at)
      -> void;
  auto ApplyUnlisted(MemberRecord& record, Timestamp requested_at) -> void;
  auto AddEvent(MemberEventKind kind, const MemberRecord& record) -> void;
  auto AddStateChangeEvent(const MemberRecord& record, MemberState before)
      -> void;

  Members members_;
  std::vector<MemberEvent> events_;
  std::int64_t messages_from_dead_ = 0;
};

}  // namespace dotterellug
