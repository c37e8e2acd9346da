#include "fleet/hub/zone_hub.h"

#include <algorithm>
#include <utility>

namespace dotterellug::fleet {
namespace {

// An upstream is listed at most this often as unreachable in one report.
constexpr std::int64_t kMaxUnreachableEntries = 2;

}  // namespace

auto ZoneHub::OnReport(const FleetReport& report, Timestamp now)
    -> FleetSummary {
  FleetSummary summary;
  summary.level = HubLevel::kZone;
  summary.sequence = report.sequence;
  summary.grants_only = report.urgent_only;
  if (reports_.Record(report, now)) {
    for (const auto& request : report.token_requests) {
      const TokenQueue::Entry entry{report.from, request.tokens,
                                    request.minimum, now + request.patience};
      if (request.minimum > 0) {
        waiting_.Put(request.key, entry);
      } else if (waiting_.TokensAhead(request.key, report.from, request.tokens,
                                      now) == 0) {
        const auto grant = TryGrant(request.key, entry, now);
        if (grant) summary.grants.push_back(*grant);
      }
    }
    ServeWaiting(now);
    const auto own = available_.find(report.from);
    if (own != available_.end()) {
      summary.grants.insert(summary.grants.end(), own->second.begin(),
                            own->second.end());
      available_.erase(own);
    }
  }
  if (!report.urgent_only) {
    summary.other_daemons_loads = LoadsWithout(report.from);
  }
  return summary;
}

auto ZoneHub::TryGrant(const RateLimitKey& key, const TokenQueue::Entry& entry,
                       Timestamp now) -> std::optional<TokenGrant> {
  for (const auto tokens : {entry.tokens, entry.minimum}) {
    if (tokens > 0 && granted_tokens_.TrySpend(key, tokens, now)) {
      return TokenGrant{key, tokens};
    }
  }
  if (entry.minimum == 0) return std::nullopt;
  if (const auto wait = granted_tokens_.ExhaustedFor(key, entry.minimum, now)) {
    return TokenGrant{key, 0, *wait};
  }
  return std::nullopt;
}

auto ZoneHub::AddReports(FleetReport& report, Timestamp now) -> void {
  reports_.Expire(now);
  const auto daemons = reports_.Daemons();
  if (daemons.empty()) return;
  report.included_daemons.insert(report.included_daemons.end(), daemons.begin(),
                                 daemons.end());
  auto loads = reports_.Loads();
  for (const auto& own : report.upstreams) {
    auto& load = loads[own.upstream];
    load.upstream = own.upstream;
    load.requests += own.requests;
    load.tokens += own.tokens;
    load.prefill_tokens += own.prefill_tokens;
  }
  report.upstreams.clear();
  for (const auto& [id, load] : loads) report.upstreams.push_back(load);
  auto demand = reports_.Demand(now);
  for (const auto& own : report.models) {
    auto& total = demand[own.model];
    total.recent += static_cast<double>(own.tokens_per_second);
    total.long_term +=
        static_cast<double>(own.sustained_millitokens_per_second) / 1000;
  }
  report.models.clear();
  for (const auto& [id, total] : demand) {
    const auto sustained = static_cast<std::int64_t>(total.long_term * 1000);
    if (sustained == 0 && total.recent < 1) continue;
    report.models.push_back(
        {id, static_cast<std::int64_t>(total.recent), sustained});
  }
  auto pools = reports_.PoolDemandByZone(now);
  for (const auto& own : report.pools) {
    auto& total = pools[{own.pool, own.zone}];
    total.slots += static_cast<double>(own.slot_ms_per_second) / 1000;
    total.waiting += own.waiting;
  }
  report.pools.clear();
  for (const auto& [subject, total] : pools) {
    report.pools.push_back({subject.first, subject.second,
                            static_cast<std::int64_t>(total.slots * 1000),
                            total.waiting});
  }
  for (const auto& [id, count] : reports_.Unreachable()) {
    report.unreachable.insert(
        report.unreachable.end(),
        static_cast<std::size_t>(std::min(count, kMaxUnreachableEntries)), id);
  }
}

auto ZoneHub::AddUrgent(FleetReport& report, Timestamp now) -> void {
  for (auto& adapter : reports_.TakeMissingAdapters()) {
    report.missing_adapters.push_back(std::move(adapter));
  }
  for (const auto& [key, queue] : waiting_.Entries()) {
    for (const auto& entry : queue) {
      if (entry.expires_at < now) continue;
      granted_tokens_.AddWaitingDemand(key, entry.minimum,
                                       entry.expires_at - now);
    }
  }
}

auto ZoneHub::SetOtherZonesLoads(const std::vector<ReportedLoad>& loads)
    -> void {
  other_zones_loads_.clear();
  for (const auto& load : loads) other_zones_loads_[load.upstream] = load;
}

auto ZoneHub::LoadsWithout(const InstanceId& daemon) const
    -> std::vector<ReportedLoad> {
  auto loads = reports_.Loads();
  const auto add = [&](const ReportedLoad& load, int sign) {
    auto& total = loads[load.upstream];
    total.upstream = load.upstream;
    total.requests += sign * load.requests;
    total.tokens += sign * load.tokens;
    total.prefill_tokens += sign * load.prefill_tokens;
  };
  for (const auto& [id, load] : other_zones_loads_) add(load, 1);
  for (const auto& load : reports_.LoadsFrom(daemon)) add(load, -1);
  std::vector<ReportedLoad> result;
  result.reserve(loads.size());
  for (const auto& [id, load] : loads) {
    if (load.requests > 0) result.push_back(load);
  }
  return result;
}

auto ZoneHub::ServeWaiting(Timestamp now) -> void {
  auto served = waiting_.Serve(
      [&](const RateLimitKey& key, const TokenQueue::Entry& entry) {
        return TryGrant(key, entry, now);
      },
      now);
  for (auto& [daemon, grants] : served) {
    auto& available = available_[daemon];
    available.insert(available.end(), grants.begin(), grants.end());
  }
}

auto ZoneHub::TakeAvailableGrants(Timestamp now)
    -> std::map<InstanceId, std::vector<TokenGrant>> {
  ServeWaiting(now);
  return std::exchange(available_, {});
}

}  // namespace dotterellug::fleet
