#include "fleet/hub/report_aggregator.h"

#include <algorithm>
#include <utility>

#include "fleet/demand/demand_meter.h"

namespace dotterellug::fleet {
namespace {

// Reports are deleted this long after they were received. They count as current
// only for the report TTL; after that, the demand in them decays.
constexpr auto kReportRetention = std::chrono::seconds(60);
// Interval at which old entries are searched for.
constexpr auto kPurgeInterval = std::chrono::seconds(1);
// Maximum number of missing adapters kept until they are collected; further
// ones are dropped.
constexpr std::size_t kMaxMissingAdapters = 64;

}  // namespace

auto ReportAggregator::Record(const FleetReport& report, Timestamp now)
    -> bool {
  Expire(now);
  const auto found = reporters_.find(report.from);
  auto* previous = found == reporters_.end() ? nullptr : &found->second;
  const bool restarted =
      previous != nullptr && previous->report.incarnation != report.incarnation;
  if (previous != nullptr && !restarted &&
      report.sequence <= previous->sequence) {
    return false;
  }
  for (const auto& adapter : report.missing_adapters) {
    if (missing_.size() < kMaxMissingAdapters) missing_.push_back(adapter);
  }
  if (report.urgent_only) {
    if (previous != nullptr && !restarted) previous->sequence = report.sequence;
    return true;
  }
  if (previous != nullptr && previous->in_totals) {
    UpdateTotals(previous->report, -1);
  }
  auto stored = report;
  stored.token_requests.clear();
  stored.prompt_evidence.clear();
  stored.backpressure.clear();
  stored.work_factors.clear();
  stored.usage.reset();
  UpdateTotals(stored, 1);
  last_reports_[report.from] = now;
  for (const auto& daemon : report.included_daemons) {
    last_reports_[daemon] = now;
  }
  reporters_[report.from] =
      Reporter{now, report.sequence, true, std::move(stored)};
  return true;
}

auto ReportAggregator::Expire(Timestamp now) -> void {
  for (auto& [id, reporter] : reporters_) {
    if (!reporter.in_totals || now - reporter.received_at <= report_ttl_) {
      continue;
    }
    UpdateTotals(reporter.report, -1);
    reporter.in_totals = false;
  }
  if (now - purged_at_ < kPurgeInterval) return;
  purged_at_ = now;
  const auto purge = [&](auto& entries, const auto& time_of) {
    for (auto entry = entries.begin(); entry != entries.end();) {
      const bool old = now - time_of(entry->second) > kReportRetention;
      entry = old ? entries.erase(entry) : std::next(entry);
    }
  };
  purge(reporters_,
        [](const Reporter& reporter) { return reporter.received_at; });
  purge(last_reports_, [](Timestamp time) { return time; });
}

auto ReportAggregator::UpdateTotals(const FleetReport& report, int sign)
    -> void {
  for (const auto& load : report.upstreams) {
    auto& total = loads_[load.upstream];
    total.upstream = load.upstream;
    total.requests += sign * load.requests;
    total.tokens += sign * load.tokens;
    total.prefill_tokens += sign * load.prefill_tokens;
    if (total.requests == 0) loads_.erase(load.upstream);
  }
  for (const auto& id : report.unreachable) {
    auto& count = unreachable_[id];
    count += sign;
    if (count == 0) unreachable_.erase(id);
  }
  CountDaemon(report.from, sign);
  for (const auto& daemon : report.included_daemons) CountDaemon(daemon, sign);
}

auto ReportAggregator::CountDaemon(const InstanceId& daemon, int sign) -> void {
  auto& count = daemons_[daemon];
  count += sign;
  if (count == 0) daemons_.erase(daemon);
}

auto ReportAggregator::Daemons() const -> std::vector<InstanceId> {
  std::vector<InstanceId> ids;
  ids.reserve(daemons_.size());
  for (const auto& [id, count] : daemons_) ids.push_back(id);
  return ids;
}

auto ReportAggregator::Demand(Timestamp now) const
    -> std::map<ModelId, TotalDemand> {
  std::map<ModelId, TotalDemand> demand;
  for (const auto& [id, reporter] : reporters_) {
    const Duration age = now - reporter.received_at;
    // The demand of a daemon that has terminated or reports to another hub
    // decays.
    const auto fraction =
        age <= report_ttl_ ? 1.0 : DemandMeter::RecentRateFraction(age);
    for (const auto& model : reporter.report.models) {
      auto& total = demand[model.model];
      total.recent += fraction * static_cast<double>(model.tokens_per_second);
      total.long_term +=
          fraction *
          static_cast<double>(model.sustained_millitokens_per_second) / 1000;
    }
  }
  return demand;
}

auto ReportAggregator::PoolDemandByZone(Timestamp now) const -> PoolDemands {
  PoolDemands demands;
  for (const auto& [id, reporter] : reporters_) {
    if (now - reporter.received_at > report_ttl_) continue;
    for (const auto& pool : reporter.report.pools) {
      auto& total = demands[{pool.pool, pool.zone}];
      total.slots += static_cast<double>(pool.slot_ms_per_second) / 1000;
      total.waiting += pool.waiting;
    }
  }
  return demands;
}

auto ReportAggregator::LoadsFrom(const InstanceId& daemon) const
    -> const std::vector<ReportedLoad>& {
  static const std::vector<ReportedLoad> none;
  const auto found = reporters_.find(daemon);
  if (found == reporters_.end() || !found->second.in_totals) return none;
  return found->second.report.upstreams;
}

auto ReportAggregator::TakeMissingAdapters() -> std::vector<MissingAdapter> {
  return std::exchange(missing_, {});
}

auto ReportAggregator::LastReport(const InstanceId& daemon) const
    -> std::optional<Timestamp> {
  const auto found = last_reports_.find(daemon);
  if (found == last_reports_.end()) return std::nullopt;
  return found->second;
}

}  // namespace dotterellug::fleet
