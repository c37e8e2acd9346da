#include "fleet/changes/upstream_change_log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace dotterellug::fleet {
namespace {

// Maximum number of changes kept; covers a few minutes at the usual rate of
// change.
constexpr std::size_t kMaxChanges = 512;
// Maximum number of upstreams in one reply, so that it stays a small datagram.
// Exceeded if more upstreams change at one position.
constexpr std::size_t kMaxUpstreamsPerReply = 24;

}  // namespace

auto UpstreamChangeLog::OnFullListRead(StorePosition position) -> void {
  if (oldest_position_ == 0) oldest_position_ = position;
  position_ = std::max(position_, position);
}

auto UpstreamChangeLog::OnChanged(const serving::UpstreamRecord& record,
                                  StorePosition position) -> void {
  records_[record.id] = record;
  Append({position, record.id, false});
}

auto UpstreamChangeLog::OnRemoved(const UpstreamId& id, StorePosition position)
    -> void {
  records_.erase(id);
  Append({position, id, true});
}

auto UpstreamChangeLog::Append(Change change) -> void {
  position_ = std::max(position_, change.position);
  change.position = position_;
  changes_.push_back(std::move(change));
  if (changes_.size() <= kMaxChanges) return;
  oldest_position_ = changes_.front().position;
  changes_.pop_front();
}

auto UpstreamChangeLog::Since(StorePosition position) const -> UpstreamChanges {
  UpstreamChanges changes;
  changes.position = position;
  if (position < oldest_position_ || oldest_position_ == 0) {
    changes.relist_required = oldest_position_ != 0;
    return changes;
  }
  std::set<UpstreamId> included;
  for (const auto& change : changes_) {
    if (change.position <= position) continue;
    // Changes at one position are never split across replies, because a reader
    // continues after a position.
    if (included.size() >= kMaxUpstreamsPerReply &&
        change.position > changes.position) {
      return changes;
    }
    changes.position = change.position;
    if (!included.insert(change.id).second) continue;
    const auto record = records_.find(change.id);
    if (record != records_.end()) {
      changes.changed.push_back(record->second);
    } else {
      changes.removed.push_back(change.id);
    }
  }
  changes.position = std::max(changes.position, position_);
  return changes;
}

}  // namespace dotterellug::fleet
