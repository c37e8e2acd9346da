#include "fleet/hub/fleet_hub.h"

#include <algorithm>
#include <utility>

#include "fleet/demand/demand_meter.h"

namespace dotterellug::fleet {
namespace {

// Reports of daemons that ended long ago are forgotten.
constexpr auto kForgetAfter = std::chrono::seconds(60);
constexpr std::size_t kMostMissing = 64;
// Daemons that must have failed to reach an upstream before others are told:
// the fault of one may be its own link.
constexpr std::int64_t kWitnesses = 2;

}  // namespace

auto FleetHub::Reporting(Timestamp now) const -> std::int64_t {
  return std::count_if(sources_.begin(), sources_.end(), [&](const auto& pair) {
    return now - pair.second.at <= options_.report_lifetime;
  });
}

auto FleetHub::OnReport(const FleetReport& report, Timestamp now)
    -> FleetSummary {
  FleetSummary summary;
  summary.sequence = report.sequence;
  if (now - reported_at_ > options_.report_lifetime) EmptyBuckets(now);
  reported_at_ = now;
  const auto found = sources_.find(report.from);
  const auto* before = found == sources_.end() ? nullptr : &found->second;
  const bool restarted =
      before != nullptr && before->report.incarnation != report.incarnation;
  const bool old = before != nullptr && !restarted &&
                   report.sequence <= before->report.sequence;
  if (!old) {
    for (const auto& adapter : report.missing) {
      if (missing_.size() < kMostMissing) missing_.push_back(adapter);
    }
    if (before != nullptr) AddUse(before->report, -1);
    auto stored = report;
    stored.wants.clear();
    AddUse(stored, 1);
    sources_[report.from] = Source{now, true, std::move(stored)};
  }
  UpdateShare(now);
  // An old report is a duplicate or was overtaken; its wants were answered or
  // asked again.
  if (!old) {
    for (const auto& want : report.wants) {
      summary.grants.push_back(Grant(want, now));
    }
  }
  std::map<UpstreamId, UpstreamUse> own;
  for (const auto& use : sources_[report.from].report.upstreams) {
    own[use.upstream] = use;
  }
  for (const auto& [upstream, total] : totals_) {
    auto use = total;
    const auto found = own.find(upstream);
    if (found != own.end()) {
      use.requests -= found->second.requests;
      use.tokens -= found->second.tokens;
      use.prefill_tokens -= found->second.prefill_tokens;
    }
    if (use.requests > 0) summary.others.push_back(use);
  }
  for (const auto& [id, count] : unreachable_) {
    if (count >= kWitnesses) summary.unreachable.push_back(id);
  }
  return summary;
}

auto FleetHub::RequestsAt(const UpstreamId& upstream) const -> std::int64_t {
  const auto found = totals_.find(upstream);
  return found == totals_.end() ? 0 : found->second.requests;
}

auto FleetHub::Unreachable(const UpstreamId& upstream) const -> bool {
  const auto found = unreachable_.find(upstream);
  return found != unreachable_.end() && found->second >= kWitnesses;
}

auto FleetHub::AddUse(const FleetReport& report, int sign) -> void {
  for (const auto& use : report.upstreams) {
    auto& total = totals_[use.upstream];
    total.upstream = use.upstream;
    total.requests += sign * use.requests;
    total.tokens += sign * use.tokens;
    total.prefill_tokens += sign * use.prefill_tokens;
    if (total.requests == 0) totals_.erase(use.upstream);
  }
  for (const auto& id : report.unreachable) {
    auto& count = unreachable_[id];
    count += sign;
    if (count == 0) unreachable_.erase(id);
  }
}

// After a time without reports another hub may have granted what these buckets
// have gathered meanwhile.
auto FleetHub::EmptyBuckets(Timestamp now) -> void {
  if (reported_at_ == Timestamp{}) return;
  share_ = PartsPerMillion(0);
  for (auto& [account, bucket] : buckets_) {
    bucket.ChangeShare(share_, MicroTokens(0), now);
  }
}

auto FleetHub::UpdateShare(Timestamp now) -> void {
  for (auto source = sources_.begin(); source != sources_.end();) {
    auto& [at, counted, report] = source->second;
    if (counted && now - at > options_.report_lifetime) {
      AddUse(report, -1);
      report.upstreams.clear();
      report.unreachable.clear();
      counted = false;
    }
    const bool forget = now - at > kForgetAfter;
    source = forget ? sources_.erase(source) : std::next(source);
  }
  const auto reporting = Reporting(now);
  const auto all = std::max({registered_, reporting, std::int64_t{1}});
  const PartsPerMillion share(kWhole.Value() * reporting / all);
  if (share == share_) return;
  const auto before = std::exchange(share_, share);
  for (auto& [account, bucket] : buckets_) {
    bucket.ChangeShare(share_, StartTokens(bucket, before), now);
  }
}

auto FleetHub::StartTokens(const TokenBucket& bucket,
                           PartsPerMillion before) const -> MicroTokens {
  const auto gained = static_cast<double>((share_ - before).Value());
  const auto burst = static_cast<double>(bucket.Limit().burst.Value());
  // A part per million of a token is a microtoken.
  const auto part = options_.start_part / options_.burst_part;
  return MicroTokens(
      static_cast<std::int64_t>(std::max(0.0, part * gained * burst)));
}

auto FleetHub::Bucket(const ClientAccountId& account, RateLimit limit,
                      Timestamp now) -> TokenBucket& {
  limit.burst = Tokens(static_cast<std::int64_t>(
      options_.burst_part * static_cast<double>(limit.burst.Value())));
  const auto [entry, added] =
      buckets_.try_emplace(account, TokenBucket(limit, now));
  auto& bucket = entry->second;
  if (added) {
    bucket.ChangeShare(share_, StartTokens(bucket, PartsPerMillion(0)), now);
  }
  const auto current = bucket.Limit();
  if (current.per_second != limit.per_second || current.burst != limit.burst) {
    bucket.ChangeLimit(limit, now);
  }
  return bucket;
}

auto FleetHub::Prepare(const ClientAccountId& account, Timestamp now) -> void {
  if (const auto limit = limit_of_(account)) Bucket(account, *limit, now);
}

auto FleetHub::Grant(const AllowanceWant& want, Timestamp now)
    -> AllowanceGrant {
  AllowanceGrant grant{want.account, 0, Duration(0)};
  const auto limit = limit_of_(want.account);
  if (!limit) {
    grant.tokens = want.tokens;
    return grant;
  }
  auto& bucket = Bucket(want.account, *limit, now);
  const auto available =
      std::max<std::int64_t>(bucket.Available(now).Value(), 0) /
      kMicroTokensPerToken;
  const auto wanted = std::min(want.tokens, available);
  grant.tokens = bucket.Give(Tokens(wanted), now).Value();
  const auto lacking = want.tokens - grant.tokens;
  const auto rate = static_cast<double>(limit->per_second.Value()) *
                    static_cast<double>(share_.Value()) /
                    static_cast<double>(kWhole.Value());
  if (lacking > 0) {
    grant.wait = FromSeconds(
        std::min(60.0, static_cast<double>(lacking) / std::max(rate, 1.0)));
  }
  return grant;
}

auto FleetHub::Demand(Timestamp now) const -> std::map<ModelId, TotalDemand> {
  std::map<ModelId, TotalDemand> demand;
  for (const auto& [id, source] : sources_) {
    const Duration age = now - source.at;
    // A daemon that has ended or reports elsewhere fades out.
    const auto part =
        age <= options_.report_lifetime ? 1.0 : DemandMeter::Decay(age);
    for (const auto& model : source.report.models) {
      auto& total = demand[model.model];
      total.recent += part * static_cast<double>(model.tokens_per_second);
      total.lasting +=
          part * static_cast<double>(model.lasting_millitokens_per_second) /
          1000;
    }
  }
  return demand;
}

auto FleetHub::TakeMissing() -> std::vector<MissingAdapter> {
  return std::exchange(missing_, {});
}

auto FleetHub::LastReport(const InstanceId& daemon) const
    -> std::optional<Timestamp> {
  const auto found = sources_.find(daemon);
  if (found == sources_.end()) return std::nullopt;
  return found->second.at;
}

}  // namespace dotterellug::fleet
