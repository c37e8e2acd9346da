#include "serving/fleet/restored_upstreams.h"

#include <algorithm>
#include <iterator>

namespace dotterellug::serving {
namespace {

// Leaving processes that are remembered for one upstream. A backup has one of
// the last few.
constexpr std::size_t kMaxLeaving = 4;

}  // namespace

auto RestoredUpstreams::OnEntry(UpstreamRecord record, bool maybe_restored,
                                Timestamp now)
    -> std::optional<UpstreamRecord> {
  kept_.erase(record.id);
  // Without a start time, an earlier process cannot be told from a later one.
  if (record.started_ms != 0) {
    const auto known = leaving_.find(record.id);
    const bool was_leaving =
        known != leaving_.end() &&
        std::find(known->second.begin(), known->second.end(),
                  record.started_ms) != known->second.end();
    if (record.leaving && !was_leaving) {
      auto& starts = leaving_[record.id];
      starts.push_back(record.started_ms);
      if (starts.size() > kMaxLeaving) starts.pop_front();
    }
    record.leaving = record.leaving || was_leaving;
  }
  const Process process(record.id, record.started_ms);
  const bool removed = removed_.count(process) > 0;
  if (!maybe_restored || !removed) {
    removed_.erase(process);
    held_.erase(record.id);
    return record;
  }
  const auto held = held_.find(record.id);
  const bool same = held != held_.end() &&
                    held->second.record.started_ms == record.started_ms;
  const auto until =
      same ? held->second.until : now + settings_.confirmation_time;
  const auto id = record.id;
  held_.insert_or_assign(id, Held{std::move(record), until});
  return std::nullopt;
}

auto RestoredUpstreams::OnRestored(Timestamp now) -> void {
  kept_until_ = now + settings_.renewal_time;
}

auto RestoredUpstreams::OnEntryMissing(const UpstreamId& id, Timestamp now)
    -> bool {
  held_.erase(id);
  if (now >= kept_until_) return false;
  kept_.insert(id);
  return true;
}

auto RestoredUpstreams::TakeExpired(Timestamp now) -> std::set<UpstreamId> {
  if (now < kept_until_) return {};
  return std::exchange(kept_, {});
}

auto RestoredUpstreams::OnListed(const std::set<UpstreamId>& listed) -> void {
  for (auto held = held_.begin(); held != held_.end();) {
    const bool missing = listed.count(held->first) == 0;
    held = missing ? held_.erase(held) : std::next(held);
  }
}

auto RestoredUpstreams::OnRemoved(const UpstreamRecord& record, Timestamp now)
    -> void {
  held_.erase(record.id);
  kept_.erase(record.id);
  const Process process(record.id, record.started_ms);
  removed_[process] = now;
  removals_.emplace_back(now, process);
  Forget(now);
}

auto RestoredUpstreams::TakeConfirmed(Timestamp now)
    -> std::vector<UpstreamRecord> {
  std::vector<UpstreamRecord> confirmed;
  for (auto held = held_.begin(); held != held_.end();) {
    if (now < held->second.until) {
      ++held;
      continue;
    }
    const auto& record = held->second.record;
    removed_.erase({record.id, record.started_ms});
    confirmed.push_back(record);
    held = held_.erase(held);
  }
  return confirmed;
}

auto RestoredUpstreams::Forget(Timestamp now) -> void {
  while (!removals_.empty() &&
         (removals_.size() > settings_.max_removed ||
          now - removals_.front().first > settings_.memory)) {
    const auto& [at, process] = removals_.front();
    const auto found = removed_.find(process);
    // It may have been removed once more since.
    if (found != removed_.end() && found->second == at) removed_.erase(found);
    const auto leaving = leaving_.find(process.first);
    if (leaving != leaving_.end()) {
      auto& starts = leaving->second;
      starts.erase(std::remove(starts.begin(), starts.end(), process.second),
                   starts.end());
      if (starts.empty()) leaving_.erase(leaving);
    }
    removals_.pop_front();
  }
}

}  // namespace dotterellug::serving
