#include "fleet/hub/fleet_hub.h"

#include <algorithm>
#include <utility>

#include "fleet/demand/demand_meter.h"

namespace dotterellug::fleet {
namespace {

// Reports are deleted this long after they were received. They count as current
// only for report_ttl; after that, the demand in them decays.
constexpr auto kReportRetention = std::chrono::seconds(60);
// Maximum number of missing adapters kept until they are collected; further
// ones are dropped.
constexpr std::size_t kMaxMissingAdapters = 64;
// Number of daemons that must report an upstream as unreachable before it is
// reported to others. A single daemon may have a faulty link.
constexpr std::int64_t kMinUnreachableReports = 2;

}  // namespace

auto FleetHub::ReportingDaemonCount(Timestamp now) const -> std::int64_t {
  return std::count_if(
      reporters_.begin(), reporters_.end(), [&](const auto& pair) {
        return now - pair.second.received_at <= options_.report_ttl;
      });
}

auto FleetHub::OnReport(const FleetReport& report, Timestamp now)
    -> FleetSummary {
  FleetSummary summary;
  summary.sequence = report.sequence;
  if (now - last_report_at_ > options_.report_ttl) ResetBuckets(now);
  last_report_at_ = now;
  const auto found = reporters_.find(report.from);
  const auto* previous = found == reporters_.end() ? nullptr : &found->second;
  const bool restarted =
      previous != nullptr && previous->report.incarnation != report.incarnation;
  const bool outdated = previous != nullptr && !restarted &&
                        report.sequence <= previous->report.sequence;
  if (!outdated) {
    for (const auto& adapter : report.missing_adapters) {
      if (missing_.size() < kMaxMissingAdapters) missing_.push_back(adapter);
    }
    if (previous != nullptr) UpdateTotals(previous->report, -1);
    auto stored = report;
    stored.token_requests.clear();
    UpdateTotals(stored, 1);
    reporters_[report.from] = Reporter{now, true, std::move(stored)};
  }
  UpdateShare(now);
  // A report with an old sequence number is a duplicate or was reordered. Its
  // token requests have already been answered or are made again by a newer
  // report.
  if (!outdated) {
    for (const auto& request : report.token_requests) {
      summary.grants.push_back(Grant(request, now));
    }
  }
  std::map<UpstreamId, ReportedLoad> own_load;
  for (const auto& load : reporters_[report.from].report.upstreams) {
    own_load[load.upstream] = load;
  }
  for (const auto& [upstream, total] : totals_) {
    auto load = total;
    const auto found = own_load.find(upstream);
    if (found != own_load.end()) {
      load.requests -= found->second.requests;
      load.tokens -= found->second.tokens;
      load.prefill_tokens -= found->second.prefill_tokens;
    }
    if (load.requests > 0) summary.other_daemons_loads.push_back(load);
  }
  for (const auto& [id, count] : unreachable_) {
    if (count >= kMinUnreachableReports) summary.unreachable.push_back(id);
  }
  return summary;
}

auto FleetHub::RequestsInFlight(const UpstreamId& upstream) const
    -> std::int64_t {
  const auto found = totals_.find(upstream);
  return found == totals_.end() ? 0 : found->second.requests;
}

auto FleetHub::Unreachable(const UpstreamId& upstream) const -> bool {
  const auto found = unreachable_.find(upstream);
  return found != unreachable_.end() && found->second >= kMinUnreachableReports;
}

auto FleetHub::UpdateTotals(const FleetReport& report, int sign) -> void {
  for (const auto& load : report.upstreams) {
    auto& total = totals_[load.upstream];
    total.upstream = load.upstream;
    total.requests += sign * load.requests;
    total.tokens += sign * load.tokens;
    total.prefill_tokens += sign * load.prefill_tokens;
    if (total.requests == 0) totals_.erase(load.upstream);
  }
  for (const auto& id : report.unreachable) {
    auto& count = unreachable_[id];
    count += sign;
    if (count == 0) unreachable_.erase(id);
  }
}

auto FleetHub::ResetBuckets(Timestamp now) -> void {
  if (last_report_at_ == Timestamp{}) return;
  share_ = PartsPerMillion(0);
  for (auto& [account, bucket] : buckets_) {
    bucket.ChangeShare(share_, MicroTokens(0), now);
  }
}

auto FleetHub::UpdateShare(Timestamp now) -> void {
  for (auto reporter = reporters_.begin(); reporter != reporters_.end();) {
    auto& [received_at, in_totals, report] = reporter->second;
    if (in_totals && now - received_at > options_.report_ttl) {
      UpdateTotals(report, -1);
      report.upstreams.clear();
      report.unreachable.clear();
      in_totals = false;
    }
    const bool discard = now - received_at > kReportRetention;
    reporter = discard ? reporters_.erase(reporter) : std::next(reporter);
  }
  const auto reporting = ReportingDaemonCount(now);
  const auto total_daemons =
      std::max({registered_daemons_, reporting, std::int64_t{1}});
  const PartsPerMillion share(kWhole.Value() * reporting / total_daemons);
  if (share == share_) return;
  const auto previous = std::exchange(share_, share);
  for (auto& [account, bucket] : buckets_) {
    bucket.ChangeShare(share_, InitialTokens(bucket, previous), now);
  }
}

auto FleetHub::InitialTokens(const TokenBucket& bucket,
                             PartsPerMillion previous) const -> MicroTokens {
  const auto share_increase = static_cast<double>((share_ - previous).Value());
  const auto burst = static_cast<double>(bucket.Limit().burst.Value());
  // One millionth of a token is a microtoken, so the share in parts per million
  // times the burst in tokens is in microtokens.
  const auto fraction = options_.initial_fraction / options_.burst_fraction;
  return MicroTokens(static_cast<std::int64_t>(
      std::max(0.0, fraction * share_increase * burst)));
}

auto FleetHub::Bucket(const ClientAccountId& account, RateLimit limit,
                      Timestamp now) -> TokenBucket& {
  limit.burst = Tokens(static_cast<std::int64_t>(
      options_.burst_fraction * static_cast<double>(limit.burst.Value())));
  const auto [entry, added] =
      buckets_.try_emplace(account, TokenBucket(limit, now));
  auto& bucket = entry->second;
  if (added) {
    bucket.ChangeShare(share_, InitialTokens(bucket, PartsPerMillion(0)), now);
  }
  const auto current = bucket.Limit();
  if (current.per_second != limit.per_second || current.burst != limit.burst) {
    bucket.ChangeLimit(limit, now);
  }
  return bucket;
}

auto FleetHub::EnsureBucket(const ClientAccountId& account, Timestamp now)
    -> void {
  if (const auto limit = find_limit_(account)) Bucket(account, *limit, now);
}

auto FleetHub::Grant(const TokenRequest& request, Timestamp now) -> TokenGrant {
  TokenGrant grant{request.account, 0, Duration(0)};
  const auto limit = find_limit_(request.account);
  if (!limit) {
    grant.tokens = request.tokens;
    return grant;
  }
  auto& bucket = Bucket(request.account, *limit, now);
  const auto available =
      std::max<std::int64_t>(bucket.Available(now).Value(), 0) /
      kMicroTokensPerToken;
  const auto amount = std::min(request.tokens, available);
  grant.tokens = bucket.TakeExactly(Tokens(amount), now).Value();
  const auto shortfall = request.tokens - grant.tokens;
  const auto rate = static_cast<double>(limit->per_second.Value()) *
                    static_cast<double>(share_.Value()) /
                    static_cast<double>(kWhole.Value());
  if (shortfall > 0) {
    grant.time_until_available = FromSeconds(
        std::min(60.0, static_cast<double>(shortfall) / std::max(rate, 1.0)));
  }
  return grant;
}

auto FleetHub::Demand(Timestamp now) const -> std::map<ModelId, TotalDemand> {
  std::map<ModelId, TotalDemand> demand;
  for (const auto& [id, reporter] : reporters_) {
    const Duration age = now - reporter.received_at;
    // The demand of a daemon that has terminated or reports to another hub
    // decays.
    const auto fraction =
        age <= options_.report_ttl ? 1.0 : DemandMeter::RecentRateFraction(age);
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

auto FleetHub::TakeMissingAdapters() -> std::vector<MissingAdapter> {
  return std::exchange(missing_, {});
}

auto FleetHub::LastReport(const InstanceId& daemon) const
    -> std::optional<Timestamp> {
  const auto found = reporters_.find(daemon);
  if (found == reporters_.end()) return std::nullopt;
  return found->second.received_at;
}

}  // namespace dotterellug::fleet
