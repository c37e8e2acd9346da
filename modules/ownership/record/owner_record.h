#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/errors/error.h"
#include "core/ids/ids.h"
#include "ownership/member/member_id.h"

namespace dotterellug {

// Content of the store object `owner/<shard>`.
struct OwnerRecord {
  // Absent until the first takeover.
  std::optional<MemberId> owner;
  Term term;
  // Processes that may hold something of the shard, in ascending order. The
  // barrier of a takeover waits for each of them.
  std::vector<MemberId> members;
  // Members replaced by a later incarnation since the owner last confirmed that
  // it needs nothing from them. A new owner uses it to tell whether reports can
  // be missing (see idempotency).
  std::vector<MemberId> departed;

  auto HasMember(const MemberId& member) const -> bool;
  // Adds `member`; earlier incarnations on its instance move to `departed`.
  auto AddMember(const MemberId& member) -> void;
  // Removes `member`, which must be confirmed gone, and lists it as departed.
  auto RemoveMember(const MemberId& member) -> void;

  friend auto operator==(const OwnerRecord& a, const OwnerRecord& b) -> bool {
    return a.owner == b.owner && a.term == b.term && a.members == b.members &&
           a.departed == b.departed;
  }
};

// Name of the shard's object in the store.
auto OwnerObjectName(const ShardId& shard) -> std::string;
// The value as JSON, and back. Parsing fails with kProtocol on any other text.
auto EncodeOwnerRecord(const OwnerRecord& record) -> std::string;
auto ParseOwnerRecord(std::string_view text) -> Result<OwnerRecord>;

}  // namespace dotterellug
