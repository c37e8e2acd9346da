#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/time/time.h"
#include "membership/model/member.h"

namespace dotterellug {

// Time for which a member must be missing from the instance list before it can
// be declared dead. Covers the lag of the list.
inline constexpr Duration kUnlistedTimeout = std::chrono::seconds(15);
// Time after which a suspected member is removed from the live set.
inline constexpr Duration kSuspicionTimeout = std::chrono::seconds(4);

// The state of another instance as last known to this daemon.
struct MemberRecord {
  // Latest statement about the member, with the local suspicion if there is
  // one.
  MemberStatement statement;
  // Whether the process with the incarnation in `statement` has been declared
  // dead.
  bool dead = false;
  // Whether the instance list marks the instance as leaving.
  bool listed_leaving = false;
  // Start of the suspicion timeout; meaningful only while suspected.
  Timestamp suspected_since{};
  // Time of the last message received from the member itself.
  Timestamp last_heard_at{};
  // Request time of the first answer of the instance list that lacked the
  // member; empty while it is listed.
  std::optional<Timestamp> unlisted_since;

  // State derived from the fields above; dead takes precedence over suspected,
  // and suspected over leaving.
  auto State() const -> MemberState;
};

// Whether a statement changed the table.
enum class MergeResult { kUnchanged, kChanged };

// The other instances of the fleet. Merges statements in the order of
// MemberVersion with the contents of the instance list. A process declared dead
// is never revived; only a process with a higher incarnation replaces it on its
// instance. Not thread-safe.
class MemberTable {
 public:
  using Members = std::map<InstanceId, MemberRecord>;

  // Applies a statement. Returns kChanged if it contains new information, which
  // then has to be disseminated. `direct` means that the member itself sent the
  // statement.
  auto Merge(const MemberStatement& statement, bool direct, Timestamp now)
      -> MergeResult;
  // Applies an answer of the instance list that was requested at
  // `requested_at`. A member is declared dead when the list has not contained
  // it for kUnlistedTimeout and it has been suspected for kSuspicionTimeout. A
  // process that still answers is alive even if the list is wrong.
  auto ApplyList(const std::vector<ListedInstance>& list,
                 Timestamp requested_at) -> void;
  // Marks a member as suspected. Returns false if it is unknown, already
  // suspected or dead.
  auto Suspect(const InstanceId& id, Timestamp now) -> bool;
  // Restarts the suspicion timeouts that had not expired when this process was
  // paused at `paused_at`.
  auto RestartSuspicions(Timestamp paused_at, Timestamp now) -> void;

  // Record of the member, or nullptr if it is unknown.
  auto Find(const InstanceId& id) const -> const MemberRecord*;
  // All members, including dead ones.
  auto All() const -> const Members& { return members_; }
  // Whether traffic may be sent to the member: it is neither dead nor leaving,
  // and has not been suspected for kSuspicionTimeout or longer.
  auto IsInLiveSet(const InstanceId& id, Timestamp now) const -> bool;
  // Zones of the members from which a message was received at or after `since`.
  auto ZonesHeardSince(Timestamp since) const -> std::set<AvailabilityZoneId>;

  // Returns the events since the last call, in order.
  auto TakeEvents() -> std::vector<MemberEvent>;
  // Number of messages received from processes that had been declared dead.
  // Unless they were delayed in the network, such messages mean that the
  // instance list was wrong.
  auto MessagesFromDeadCount() const -> std::int64_t {
    return messages_from_dead_;
  }

 private:
  // Adds a member that was unknown.
  auto Insert(const MemberStatement& statement, bool direct, Timestamp now)
      -> MergeResult;
  // Applies a statement on the known incarnation of a member.
  auto Update(MemberRecord& record, const MemberStatement& statement,
              bool direct, Timestamp now) -> MergeResult;
  // Applies an entry of the instance list.
  auto ApplyListed(const ListedInstance& instance, Timestamp requested_at)
      -> void;
  // Handles a member that the instance list lacks; declares it dead under the
  // conditions of ApplyList.
  auto ApplyUnlisted(MemberRecord& record, Timestamp requested_at) -> void;
  // Adds an event with the current state of `record`.
  auto AddEvent(MemberEventKind kind, const MemberRecord& record) -> void;
  // Adds an event if the state of `record` differs from `before`.
  auto AddStateChangeEvent(const MemberRecord& record, MemberState before)
      -> void;

  Members members_;
  std::vector<MemberEvent> events_;
  std::int64_t messages_from_dead_ = 0;
};

}  // namespace dotterellug
