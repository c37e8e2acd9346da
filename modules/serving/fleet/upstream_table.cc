#include "serving/fleet/upstream_table.h"

#include <algorithm>

namespace dotterellug::serving {
namespace {

// An upstream is counted as slow if work takes longer than this multiple of the
// usual time. Measured slow periods have a multiple of 2.5.
constexpr double kSlowFactor = 1.5;

}  // namespace

auto UpstreamTable::Upsert(const UpstreamRecord& record, Timestamp now)
    -> void {
  backpressure_.OnProcess(record.id, record.started_ms);
  auto& entry = upstreams_[record.id];
  const bool replaces = !entry ||
                        entry->record.started_ms != record.started_ms ||
                        entry->record.address != record.address ||
                        entry->record.pool != record.pool;
  if (replaces) {
    if (entry) RemoveFromPool(entry);
    entry = std::make_shared<UpstreamView>(record);
    by_pool_[record.pool].push_back(entry);
  } else {
    if (entry->record.command_sequence != record.command_sequence) {
      entry->ClearMissingModels();
    }
    entry->record = record;
  }
  entry->cold_until = now + record.remaining_cold_duration;
  entry->gone_at.reset();
  if (record.remaining_time) entry->gone_at = now + *record.remaining_time;
}

auto UpstreamTable::Remove(const UpstreamId& id) -> void {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  backpressure_.OnGone(id);
  RemoveFromPool(found->second);
  upstreams_.erase(found);
}

auto UpstreamTable::RemoveFromPool(const Entry& entry) -> void {
  auto& pool = by_pool_[entry->record.pool];
  pool.erase(std::remove(pool.begin(), pool.end(), entry), pool.end());
}

auto UpstreamTable::Find(const UpstreamId& id) const -> Entry {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() ? nullptr : found->second;
}

auto UpstreamTable::InPool(const PoolId& pool) const
    -> const std::vector<Entry>& {
  static const std::vector<Entry> none;
  const auto found = by_pool_.find(pool);
  return found == by_pool_.end() ? none : found->second;
}

auto UpstreamTable::ObserveWorkFactor(UpstreamView& upstream, double factor,
                                      Timestamp at) -> bool {
  pools_with_factors_.insert(upstream.record.pool);
  return upstream.work_factor.Observe(factor, at);
}

auto UpstreamTable::AdoptWorkFactor(UpstreamView& upstream,
                                    const SharedWorkFactor& fact, Timestamp at)
    -> void {
  pools_with_factors_.insert(upstream.record.pool);
  upstream.work_factor.Adopt(fact, at);
}

auto UpstreamTable::CountWorkFactors(Timestamp now) const -> WorkFactorCounts {
  WorkFactorCounts counts;
  for (const auto& [id, upstream] : upstreams_) {
    const auto& factor = upstream->work_factor;
    if (!factor.Known()) continue;
    ++counts.known;
    if (factor.Expected(now) > kSlowFactor * factor.Usual()) ++counts.slow;
  }
  return counts;
}

auto UpstreamTable::Usable(const UpstreamView& upstream) const -> bool {
  return !upstream.record.leaving &&
         !backpressure_.Leaving(upstream.record.id) &&
         !ZoneDisabled(upstream.record.zone);
}

}  // namespace dotterellug::serving
