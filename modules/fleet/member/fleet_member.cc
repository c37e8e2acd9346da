#include "fleet/member/fleet_member.h"

#include <algorithm>
#include <utility>

#include "fleet/grants/upstream_permits.h"

namespace dotterellug::fleet {
namespace {

// Reports that may be lost in a row before a zone hub considers a daemon gone,
// or a daemon considers its zone hub unresponsive.
constexpr int kReportsPerTtl = 4;
constexpr double kReportsPerAnswerTimeout = 2.5;
// Daemons that are asked when this one catches up; some may be gone.
constexpr std::size_t kCatchUpProbes = 3;

// Finds the limits of client accounts and the rates that upstreams state.
auto MakeLimitLookup(FleetMember::AccountLimitLookup find_account_limit,
                     const serving::BackpressureTable& backpressure)
    -> FleetHub::LimitLookup {
  return [find_account_limit = std::move(find_account_limit),
          &backpressure](const RateLimitKey& key) -> std::optional<RateLimit> {
    return std::visit(
        Overloaded{[&](const ClientAccountId& account) {
                     return find_account_limit(account);
                   },
                   [&](const UpstreamId& upstream) -> std::optional<RateLimit> {
                     const auto rate = backpressure.RateLimit(upstream);
                     if (!rate) return std::nullopt;
                     return UpstreamRateLimit(*rate);
                   }},
        key);
  };
}

}  // namespace

FleetMember::FleetMember(InstanceId self, AvailabilityZoneId zone,
                         GrantedTokens& granted_tokens,
                         quarantine::PromptQuarantine& quarantine,
                         serving::BackpressureTable& backpressure,
                         AccountLimitLookup find_account_limit,
                         FleetMemberOptions options)
    : self_(std::move(self)),
      zone_(std::move(zone)),
      granted_tokens_(granted_tokens),
      quarantine_(quarantine),
      backpressure_(backpressure),
      options_(options),
      fleet_hub_({},
                 MakeLimitLookup(std::move(find_account_limit), backpressure)),
      zone_hub_(FleetHubOptions{}.report_ttl, granted_tokens),
      fleet_selector_(self_, {}),
      zone_selector_(self_, {}, "zone-hub"),
      zone_interval_(options.report_interval) {}

auto FleetMember::SetMembers(const std::vector<RegisteredDaemon>& members)
    -> void {
  std::vector<InstanceId> fleet;
  std::vector<InstanceId> zone;
  std::map<InstanceId, double> capacities;
  members_known_ = true;
  others_.clear();
  for (const auto& member : members) {
    if (member.id != self_) others_.push_back(member.id);
    capacities[member.id] = member.capacity;
    fleet.push_back(member.id);
    if (member.zone == zone_) zone.push_back(member.id);
  }
  fleet_hub_.SetRegisteredDaemons(
      std::max<std::int64_t>(static_cast<std::int64_t>(fleet.size()), 1));
  fleet_selector_.SetMembers(fleet, capacities);
  zone_hubs_ = fleet.size() > options_.max_single_level_daemons;
  const auto in_zone = static_cast<std::int64_t>(zone.size());
  zone_selector_.SetMembers(zone, capacities);
  zone_interval_ = std::clamp<Duration>(
      options_.report_interval * in_zone /
          std::max<std::int64_t>(options_.daemons_at_shortest_interval, 1),
      options_.report_interval, options_.max_report_interval);
  const auto base = HubSelectorOptions{}.answer_timeout;
  zone_selector_.SetAnswerTimeout(std::max<Duration>(
      base, FromSeconds(ToSeconds(zone_interval_) * kReportsPerAnswerTimeout)));
  zone_hub_.SetReportTtl(std::max<Duration>(FleetHubOptions{}.report_ttl,
                                            kReportsPerTtl * zone_interval_));
}

auto FleetMember::ChooseHub(bool urgent_only, Timestamp now) -> InstanceId {
  level_ = HubLevel::kFleet;
  if (zone_hubs_) {
    const auto hub = zone_selector_.Choose(now);
    const bool late =
        zone_selector_.UnansweredFor(hub, now) > options_.zone_hub_patience;
    if (hub != self_) {
      level_ = HubLevel::kZone;
      if (!urgent_only || !late) return hub;
      // The fleet hub is asked directly, so that callers need not wait until
      // the zone hub counts as unresponsive.
      level_ = HubLevel::kFleet;
    }
  }
  return fleet_selector_.Choose(now);
}

auto FleetMember::WasPaused(Timestamp now) const -> bool {
  return prepared_at_ == Timestamp{} ||
         now - prepared_at_ > options_.pause_time;
}

auto FleetMember::NotePause(Timestamp now) -> void {
  const bool paused = WasPaused(now);
  prepared_at_ = now;
  if (!paused) return;
  caught_up_ = false;
  catch_up_probes_due_ = true;
  catch_up_until_ = now + options_.catch_up_time;
}

auto FleetMember::CatchingUp(Timestamp now) const -> bool {
  if (members_known_ && others_.empty()) return false;
  return WasPaused(now) || (!caught_up_ && now < catch_up_until_);
}

auto FleetMember::PrepareReport(FleetReport report, Timestamp now)
    -> std::optional<OutgoingReport> {
  NotePause(now);
  if (!report.urgent_only) {
    zone_hub_.AddReports(report, now);
    report.prompt_evidence = quarantine_.Share(now);
  }
  report.backpressure = backpressure_.Share(now);
  zone_hub_.AddUrgent(report, now);
  report.token_requests = granted_tokens_.TakeTokenRequests(now);
  if (report.urgent_only && report.token_requests.empty() &&
      report.missing_adapters.empty()) {
    return std::nullopt;
  }
  OutgoingReport outgoing;
  outgoing.hub = ChooseHub(report.urgent_only, now);
  report.level = level_;
  outgoing.report = std::move(report);
  return outgoing;
}

auto FleetMember::TakeProbes(Timestamp now)
    -> std::vector<std::pair<InstanceId, HubLevel>> {
  std::vector<std::pair<InstanceId, HubLevel>> probes;
  while (const auto hub = zone_selector_.TakeProbe(now)) {
    probes.emplace_back(*hub, HubLevel::kZone);
  }
  while (const auto hub = fleet_selector_.TakeProbe(now)) {
    probes.emplace_back(*hub, HubLevel::kFleet);
  }
  if (catch_up_probes_due_ && !others_.empty()) {
    catch_up_probes_due_ = false;
    const auto first = Hash64(self_.Value()) % others_.size();
    const auto count = std::min(kCatchUpProbes, others_.size());
    for (std::size_t i = 0; i < count; ++i) {
      const auto index = (first + i * others_.size() / count) % others_.size();
      probes.emplace_back(others_[index], HubLevel::kFleet);
    }
  }
  return probes;
}

auto FleetMember::OnReport(const FleetReport& report, Timestamp now)
    -> FleetSummary {
  // The tokens requested may be those of a rate that the report tells of.
  backpressure_.Merge(report.backpressure, now);
  auto summary = report.level == HubLevel::kZone
                     ? zone_hub_.OnReport(report, now)
                     : fleet_hub_.OnReport(report, now);
  summary.from = self_;
  summary.level = report.level;
  quarantine_.Merge(report.prompt_evidence, now);
  summary.prompt_evidence = quarantine_.Share(now);
  summary.backpressure = backpressure_.Share(now);
  return summary;
}

auto FleetMember::OnSummary(const FleetSummary& summary, Timestamp now)
    -> void {
  auto& selector =
      summary.level == HubLevel::kZone ? zone_selector_ : fleet_selector_;
  selector.OnAnswer(summary.from, now);
  for (const auto& grant : summary.grants) granted_tokens_.OnGrant(grant, now);
  quarantine_.Merge(summary.prompt_evidence, now);
  backpressure_.Merge(summary.backpressure, now);
  // Grants that were queued answer no report and come without evidence.
  const bool answers_report = summary.sequence > 0;
  if (summary.from != self_ && answers_report) caught_up_ = true;
  if (!summary.grants_only) {
    zone_hub_.SetOtherZonesLoads(summary.other_daemons_loads);
  }
}

auto FleetMember::TakeAvailableGrants(Timestamp now)
    -> std::vector<std::pair<InstanceId, FleetSummary>> {
  std::vector<std::pair<InstanceId, FleetSummary>> summaries;
  const auto add = [&](HubLevel level, auto grants_by_daemon) {
    for (auto& [daemon, grants] : grants_by_daemon) {
      FleetSummary summary;
      summary.from = self_;
      summary.level = level;
      summary.grants_only = true;
      summary.grants = std::move(grants);
      summaries.emplace_back(daemon, std::move(summary));
    }
  };
  add(HubLevel::kFleet, fleet_hub_.TakeQueuedGrants(now));
  add(HubLevel::kZone, zone_hub_.TakeAvailableGrants(now));
  return summaries;
}

auto FleetMember::Connected(Timestamp now) const -> bool {
  return level_ == HubLevel::kZone ? zone_selector_.Connected(now)
                                   : fleet_selector_.Connected(now);
}

auto FleetMember::ReportInterval() const -> Duration {
  return level_ == HubLevel::kZone ? zone_interval_ : options_.report_interval;
}

auto FleetMember::RelayDelay() const -> Duration {
  return zone_hubs_ ? options_.report_interval + zone_interval_
                    : Duration::zero();
}

}  // namespace dotterellug::fleet
