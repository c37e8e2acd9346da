#include "fleet/news/upstream_journal.h"

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

auto UpstreamJournal::OnListed(std::int64_t position) -> void {
  if (oldest_position_ == 0) oldest_position_ = position;
  position_ = std::max(position_, position);
}

auto UpstreamJournal::OnChanged(const serving::UpstreamRecord& record,
                                std::int64_t position) -> void {
  records_[record.id] = record;
  Append({position, record.id, false});
}

auto UpstreamJournal::OnRemoved(const UpstreamId& id, std::int64_t position)
    -> void {
  records_.erase(id);
  Append({position, id, true});
}

auto UpstreamJournal::Append(Change change) -> void {
  position_ = std::max(position_, change.position);
  change.position = position_;
  changes_.push_back(std::move(change));
  if (changes_.size() <= kMaxChanges) return;
  oldest_position_ = changes_.front().position;
  changes_.pop_front();
}

auto UpstreamJournal::Since(std::int64_t position) const -> UpstreamNews {
  UpstreamNews news;
  news.position = position;
  if (position < oldest_position_ || oldest_position_ == 0) {
    news.too_old = oldest_position_ != 0;
    return news;
  }
  std::set<UpstreamId> included;
  for (const auto& change : changes_) {
    if (change.position <= position) continue;
    // Changes at one position are never split across replies, because a reader
    // continues after a position.
    if (included.size() >= kMaxUpstreamsPerReply &&
        change.position > news.position) {
      return news;
    }
    news.position = change.position;
    if (!included.insert(change.id).second) continue;
    const auto record = records_.find(change.id);
    if (record != records_.end()) {
      news.changed.push_back(record->second);
    } else {
      news.removed.push_back(change.id);
    }
  }
  news.position = std::max(news.position, position_);
  return news;
}

}  // namespace dotterellug::fleet
