#include "fleet/hub/fleet_hub.h"

#include <algorithm>
#include <utility>

namespace dotterellug::fleet {
namespace {

// Number of daemons that must report an upstream as unreachable before it is
// reported to others. A single daemon may have a faulty link.
constexpr std::int64_t kMinUnreachableReports = 2;
// Upper bound of the estimated time until tokens become available.
constexpr double kMaxEstimateSeconds = 60;

// Tokens by which a request is ordered: those of a waiting request, or a whole
// reserve.
auto NeededTokens(const TokenRequest& request) -> std::int64_t {
  return request.minimum > 0 ? request.minimum : request.tokens;
}

}  // namespace

auto FleetHub::OnReport(const FleetReport& report, Timestamp now)
    -> FleetSummary {
  FleetSummary summary;
  summary.sequence = report.sequence;
  summary.grants_only = report.urgent_only;
  if (now - last_report_at_ > options_.report_ttl) {
    ResetBuckets(now);
    reports_since_ = now;
  }
  last_report_at_ = now;
  const bool recorded = reports_.Record(report, now);
  UpdateShare(now);
  // A report with an old sequence number is a duplicate or was reordered. Its
  // token requests have already been answered or are made again by a newer
  // report.
  if (recorded) {
    for (const auto& request : report.token_requests) {
      if (const auto grant = Grant(report.from, request, now)) {
        summary.grants.push_back(*grant);
      }
    }
  }
  if (report.urgent_only) return summary;
  AddOtherLoads(report, summary);
  for (const auto& [id, count] : reports_.Unreachable()) {
    if (count >= kMinUnreachableReports) summary.unreachable.push_back(id);
  }
  return summary;
}

auto FleetHub::AddOtherLoads(const FleetReport& report,
                             FleetSummary& summary) const -> void {
  std::map<UpstreamId, ReportedLoad> own_load;
  for (const auto& load : reports_.LoadsFrom(report.from)) {
    own_load[load.upstream] = load;
  }
  for (const auto& [upstream, total] : reports_.Loads()) {
    auto load = total;
    const auto found = own_load.find(upstream);
    if (found != own_load.end()) {
      load.requests -= found->second.requests;
      load.tokens -= found->second.tokens;
      load.prefill_tokens -= found->second.prefill_tokens;
    }
    if (load.requests > 0) summary.other_daemons_loads.push_back(load);
  }
}

auto FleetHub::RequestsInFlight(const UpstreamId& upstream) const
    -> std::int64_t {
  const auto found = reports_.Loads().find(upstream);
  return found == reports_.Loads().end() ? 0 : found->second.requests;
}

auto FleetHub::Unreachable(const UpstreamId& upstream) const -> bool {
  const auto found = reports_.Unreachable().find(upstream);
  return found != reports_.Unreachable().end() &&
         found->second >= kMinUnreachableReports;
}

auto FleetHub::ResetBuckets(Timestamp now) -> void {
  if (last_report_at_ == Timestamp{}) return;
  share_ = PartsPerMillion(0);
  for (auto& [key, bucket] : buckets_) {
    bucket.ChangeShare(share_, MicroTokens(0), now);
  }
}

auto FleetHub::UpdateShare(Timestamp now) -> void {
  const auto reporting = reports_.DaemonCount();
  const auto total_daemons =
      std::max({registered_daemons_, reporting, std::int64_t{1}});
  const PartsPerMillion share(kWhole.Value() * reporting / total_daemons);
  if (share == share_) return;
  const auto previous = std::exchange(share_, share);
  for (auto& [key, bucket] : buckets_) {
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

auto FleetHub::Bucket(const RateLimitKey& key, RateLimit limit, Timestamp now)
    -> TokenBucket& {
  limit.burst = Tokens(static_cast<std::int64_t>(
      options_.burst_fraction * static_cast<double>(limit.burst.Value())));
  const auto [entry, added] =
      buckets_.try_emplace(key, TokenBucket(limit, now));
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

auto FleetHub::EnsureBucket(const RateLimitKey& key, Timestamp now) -> void {
  if (const auto limit = find_limit_(key)) Bucket(key, *limit, now);
}

auto FleetHub::Take(const RateLimitKey& key, std::int64_t tokens,
                    std::int64_t minimum, Timestamp now) -> std::int64_t {
  const auto limit = find_limit_(key);
  if (!limit) return tokens;
  auto& bucket = Bucket(key, *limit, now);
  const auto available =
      std::max<std::int64_t>(bucket.Available(now).Value(), 0) /
      kMicroTokensPerToken;
  const auto amount = available >= tokens ? tokens : minimum;
  if (amount > available) return 0;
  return bucket.TakeExactly(Tokens(amount), now).Value();
}

auto FleetHub::Grant(const InstanceId& daemon, const TokenRequest& request,
                     Timestamp now) -> std::optional<TokenGrant> {
  const auto& key = request.key;
  TokenGrant grant{key};
  const auto limit = find_limit_(key);
  if (!limit) {
    buckets_.erase(key);
    grant.tokens = request.tokens;
    return grant;
  }
  const auto ahead =
      queue_.TokensAhead(key, daemon, NeededTokens(request), now);
  if (ahead == 0) {
    grant.tokens = Take(key, request.tokens, request.minimum, now);
    if (grant.tokens > 0) {
      queue_.Remove(key, daemon);
      return grant;
    }
  }
  if (request.minimum == 0) return std::nullopt;
  const auto available =
      Bucket(key, *limit, now).Available(now).Value() / kMicroTokensPerToken;
  const auto rate = static_cast<double>(limit->per_second.Value()) *
                    static_cast<double>(share_.Value()) /
                    static_cast<double>(kWhole.Value());
  const auto shortfall =
      static_cast<double>(ahead + request.minimum - available);
  grant.time_until_available = FromSeconds(
      std::clamp(shortfall / std::max(rate, 1.0), 0.0, kMaxEstimateSeconds));
  grant.queued = grant.time_until_available <= request.patience ||
                 now - reports_since_ < options_.takeover_time;
  if (grant.queued) {
    queue_.Put(
        key, {daemon, request.tokens, request.minimum, now + request.patience});
  } else {
    queue_.Remove(key, daemon);
  }
  return grant;
}

auto FleetHub::TakeQueuedGrants(Timestamp now)
    -> std::map<InstanceId, std::vector<TokenGrant>> {
  return queue_.Serve(
      [&](const RateLimitKey& key,
          const TokenQueue::Entry& entry) -> std::optional<TokenGrant> {
        const auto tokens = Take(key, entry.tokens, entry.minimum, now);
        if (tokens == 0) return std::nullopt;
        return TokenGrant{key, tokens};
      },
      now);
}

}  // namespace dotterellug::fleet
