#include "fleet/news/upstream_journal.h"

#include <algorithm>
#include <set>
#include <utility>

namespace dotterellug::fleet {
namespace {

// Changes kept: some minutes of an ordinary day.
constexpr std::size_t kMostChanges = 512;
// Changes in one answer, so that it stays a small datagram.
constexpr std::size_t kMostInAnswer = 24;

}  // namespace

auto UpstreamJournal::OnListed(std::int64_t position) -> void {
  if (begin_ == 0) begin_ = position;
  position_ = std::max(position_, position);
}

auto UpstreamJournal::OnChanged(const serving::UpstreamRecord& record,
                                std::int64_t position) -> void {
  records_[record.id] = record;
  Add({position, record.id, false});
}

auto UpstreamJournal::OnRemoved(const UpstreamId& id, std::int64_t position)
    -> void {
  records_.erase(id);
  Add({position, id, true});
}

auto UpstreamJournal::Add(Change change) -> void {
  position_ = std::max(position_, change.position);
  change.position = position_;
  changes_.push_back(std::move(change));
  if (changes_.size() <= kMostChanges) return;
  begin_ = changes_.front().position;
  changes_.pop_front();
}

auto UpstreamJournal::Since(std::int64_t position) const -> UpstreamNews {
  UpstreamNews news;
  news.position = position;
  if (position < begin_ || begin_ == 0) {
    news.too_old = begin_ != 0;
    return news;
  }
  std::set<UpstreamId> sent;
  for (const auto& change : changes_) {
    if (change.position <= position) continue;
    // Changes of one position are never divided between two answers.
    if (sent.size() >= kMostInAnswer && change.position > news.position) {
      return news;
    }
    news.position = change.position;
    if (!sent.insert(change.id).second) continue;
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
