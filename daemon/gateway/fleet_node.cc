#include "daemon/gateway/fleet_node.h"

#include <algorithm>
#include <utility>

#include "core/variant/overloaded.h"
#include "daemon/gateway/request_exchange.h"
#include "daemon/gateway/usage_meter.h"

namespace dotterellug::gateway {
namespace {

// A hub that answered within this time backs the own watches.
constexpr auto kBackedTime = std::chrono::milliseconds(1000);
// A hub's news of upstreams count as current while the store has answered it
// within this time: leaving upstreams are to be known within two seconds.
constexpr auto kFreshStore = std::chrono::milliseconds(1300);
constexpr auto kNewsLifetime = std::chrono::milliseconds(1600);
// The same for news from a zone hub. It is longer, so that the zone hub turns
// to the store first when the fleet hub's news end.
constexpr auto kRelayedNewsLifetime = std::chrono::milliseconds(2300);
// A daemon reads the store on demand if a zone hub answered within this time,
// which covers the change to another zone hub.
constexpr auto kZoneHubLifetime = std::chrono::milliseconds(2500);
// Shortest time between two reports, when a request waits for one.
constexpr auto kLeastInterval = std::chrono::milliseconds(8);
// How often the fleet hub looks for tokens for which requests wait.
constexpr auto kGrantInterval = std::chrono::milliseconds(10);
// A report that asked for tokens is followed by another one after this time if
// requests still wait. Longer than FleetMemberOptions::zone_hub_patience.
constexpr auto kTokenRepeatInterval = std::chrono::milliseconds(45);
// A periodic report may be sent this much early, with tokens that are due.
constexpr auto kReportSlack = std::chrono::milliseconds(5);
// With zone hubs, what the reader of upstreams knows is passed on twice, so it
// asks the store more often than otherwise.
constexpr auto kUpstreamWait = std::chrono::milliseconds(1000);
constexpr auto kRelayedUpstreamWait = std::chrono::milliseconds(500);

}  // namespace

FleetNode::FleetNode(GatewayContext& context, Incarnation incarnation)
    : context_(context),
      incarnation_(incarnation),
      socket_(context.loop),
      timer_(context.loop),
      grant_timer_(context.loop),
      fleet_member_(
          context.settings.instance, context.settings.zone,
          context.granted_tokens, context.quarantine,
          context.upstreams.Backpressure(),
          [this](const ClientAccountId& id) -> std::optional<RateLimit> {
            if (!context_.catalog) return std::nullopt;
            const auto* account = context_.catalog->FindAccount(id);
            if (account == nullptr || account->limit.per_second <= 0) {
              return std::nullopt;
            }
            return RateLimit{Tokens(account->limit.per_second),
                             Tokens(account->limit.burst)};
          }) {}

auto FleetNode::Start() -> Result<SocketAddress> {
  namespace ip = boost::asio::ip;
  const auto& address = context_.settings.peers;
  boost::system::error_code error;
  if (socket_.is_open()) {
    return SocketAddress{address.host, socket_.local_endpoint().port()};
  }
  const ip::udp::endpoint endpoint(ip::make_address(address.host, error),
                                   address.port);
  if (!error) socket_.open(endpoint.protocol(), error);
  if (!error) socket_.bind(endpoint, error);
  if (!error) socket_.non_blocking(true, error);
  if (error) {
    boost::system::error_code ignored;  // It may not have been opened.
    socket_.close(ignored);
    return Fail(ErrorKind::kUnavailable,
                "cannot receive datagrams on " + address.Text() + ": " +
                    error.message(),
                "use an address of this machine and a free port");
  }
  Receive();
  ScheduleReport(fleet_member_.ReportInterval());
  return SocketAddress{address.host, socket_.local_endpoint().port()};
}

auto FleetNode::SetMembers(const std::vector<Member>& members) -> void {
  members_.clear();
  std::vector<InstanceId> ids;
  for (const auto& member : members) {
    members_[member.id] = member;
    ids.push_back(member.id);
  }
  std::vector<fleet::RegisteredDaemon> registered;
  registered.reserve(members.size());
  for (const auto& member : members) {
    registered.push_back({member.id, member.zone, member.capacity});
  }
  fleet_member_.SetMembers(registered);
  context_.repeats.SetDaemonCount(
      static_cast<std::int64_t>(std::max<std::size_t>(ids.size(), 1)));
  context_.cold_gate.SetMembers(ids);
  link_->set_upstream_wait(fleet_member_.HasZoneHubs() ? kRelayedUpstreamWait
                                                       : kUpstreamWait);
}

auto FleetNode::Backed() const -> bool {
  return MonotonicNow() - backed_at_ < kBackedTime;
}

auto FleetNode::HasNews() const -> bool {
  // The other daemons learn of changes from this one, so it must not wait until
  // the news of the hub before it are stale.
  if (hub_chosen_ == context_.settings.instance) return false;
  const auto lifetime =
      HasZoneHub() ? Duration(kRelayedNewsLifetime) : Duration(kNewsLifetime);
  return MonotonicNow() - news_current_at_ < lifetime;
}

auto FleetNode::HasZoneHub() const -> bool {
  return fleet_member_.HasZoneHubs() &&
         MonotonicNow() - zone_hub_seen_ < kZoneHubLifetime;
}

auto FleetNode::OnNewsOf(const fleet::FleetSummary& summary, Timestamp now)
    -> void {
  const auto& changes = summary.changes;
  // Only a hub that reads the store itself keeps others from doing so.
  if (changes.relist_required || changes.position == StorePosition()) return;
  if (summary.store_response_age <= kFreshStore) {
    news_current_at_ =
        std::max(news_current_at_, now - summary.store_response_age);
    on_store_answered_(now - summary.store_response_age);
  }
  if (changes.position > journal_.Position()) on_news_(changes);
}

auto FleetNode::Receive() -> void {
  socket_.async_receive_from(
      boost::asio::buffer(input_), sender_,
      [this](boost::system::error_code error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) return;
        if (!error) OnDatagram(size);
        Receive();
      });
}

auto FleetNode::OnDatagram(std::size_t size) -> void {
  const auto message =
      fleet::DecodeFleetMessage(std::string_view(input_.data(), size));
  if (!message) {
    context_.log.Write(EventRank::kFailure, "datagram_rejected")
        .Add("error", message.error().Text());
    return;
  }
  const auto now = MonotonicNow();
  std::visit(
      Overloaded{
          [&](const fleet::FleetReport& report) { OnReport(report, now); },
          [&](const fleet::FleetSummary& summary) { OnSummary(summary, now); }},
      *message);
}

auto FleetNode::OnReport(const fleet::FleetReport& report, Timestamp now)
    -> void {
  if (!report.store_positions.empty()) link_->catch_up(report.store_positions);
  context_.work_factors.Merge(report.work_factors,
                              serving::WorkFactorSource::kReport, now);
  if (context_.usage) context_.usage->OnReport(report, now);
  Send(sender_, Answer(report, now));
  PassGrants(now);
  if (fleet_member_.HasUrgent()) ReportNow();
  ScheduleGrants();
}

auto FleetNode::ScheduleGrants() -> void {
  if (grants_scheduled_ || !fleet_member_.HasQueuedRequests()) return;
  grants_scheduled_ = true;
  grant_timer_.expires_after(kGrantInterval);
  grant_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    grants_scheduled_ = false;
    PassGrants(MonotonicNow());
    ScheduleGrants();
  });
}

auto FleetNode::Answer(const fleet::FleetReport& report, Timestamp now)
    -> fleet::FleetSummary {
  auto summary = fleet_member_.OnReport(report, now);
  context_.UpdateBackpressure(now);
  if (summary.grants_only) return summary;
  if (report.from != context_.settings.instance) {
    summary.work_factors =
        context_.work_factors.ShareWithDaemon(report.sequence, now);
  }
  summary.leader = leader_;
  summary.leader_fence = leader_fence_;
  summary.lease_position = lease_position_;
  summary.unloading = unloading_;
  summary.loaded = loaded_;
  if (leading_) summary.lease_holder_age = Duration::zero();
  summary.store_response_age = now - upstreams_read_at_;
  if (summary.level == fleet::HubLevel::kZone) {
    if (!leading_ && leader_seen_ != Timestamp{}) {
      summary.lease_holder_age = now - leader_seen_;
    }
    summary.lease_position = std::max(lease_position_, hub_lease_position_);
    if (Backed()) {
      summary.unloading.insert(summary.unloading.end(), hub_unloading_.begin(),
                               hub_unloading_.end());
      summary.loaded.insert(summary.loaded.end(), hub_loaded_.begin(),
                            hub_loaded_.end());
    }
    summary.store_response_age =
        now - std::max(upstreams_read_at_, news_current_at_);
  }
  if (holds_back_) summary.store_response_age = kNewsLifetime;
  summary.store_positions = link_->announced_positions();
  summary.changes = journal_.Since(report.upstream_position);
  if (context_.usage) summary.usage = context_.usage->MakeAnswer();
  return summary;
}

auto FleetNode::OnSummary(const fleet::FleetSummary& summary, Timestamp now)
    -> void {
  fleet_member_.OnSummary(summary, now);
  context_.UpdateBackpressure(now);
  PassGrants(now);
  if (!summary.grants_only) {
    context_.hub_answered_at = now;
    context_.work_factors.Merge(summary.work_factors,
                                serving::WorkFactorSource::kHub, now);
    if (summary.from != context_.settings.instance) {
      backed_at_ = now;
      const bool from_zone_hub = summary.level == fleet::HubLevel::kZone;
      zone_hub_seen_ = from_zone_hub ? now : Timestamp{};
      link_->catch_up(summary.store_positions);
      if (context_.usage) context_.usage->OnSummary(summary, now);
      OnNewsOf(summary, now);
    }
    OnAnnouncements(summary, now);
    OnLoads(summary);
  }
  if (!summary.grants.empty() || !summary.loaded.empty()) {
    context_.RetryParked(now);
  }
}

auto FleetNode::OnAnnouncements(const fleet::FleetSummary& summary,
                                Timestamp now) -> void {
  if (summary.lease_holder_age) {
    leader_seen_ =
        std::max<Timestamp>(leader_seen_, now - *summary.lease_holder_age);
  }
  if (summary.lease_position.revision > 0) {
    hub_lease_position_ = summary.lease_position;
    on_lease_announced_(summary.lease_position);
  }
  SetLeader(summary.leader, summary.leader_fence);
  hub_unloading_ = summary.unloading;
  hub_loaded_ = summary.loaded;
  context_.unloading.clear();
  for (const auto& model : summary.unloading) {
    context_.unloading.insert({model.upstream, model.model});
  }
  for (const auto& loaded : summary.loaded) RecordLoaded(loaded);
}

auto FleetNode::OnLoads(const fleet::FleetSummary& summary) -> void {
  for (const auto& [id, upstream] : context_.upstreams.All()) {
    upstream->other_daemons_load = {};
  }
  for (const auto& use : summary.other_daemons_loads) {
    const auto upstream = context_.upstreams.Find(use.upstream);
    if (!upstream) continue;
    upstream->other_daemons_load = {static_cast<double>(use.requests),
                                    static_cast<double>(use.tokens),
                                    static_cast<double>(use.prefill_tokens)};
  }
  for (const auto& id : summary.unreachable) {
    if (const auto upstream = context_.upstreams.Find(id)) {
      upstream->RecordReportedUnreachable(MonotonicNow());
    }
  }
}

// An engine's own entry shows a load only with its next sign of life.
auto FleetNode::RecordLoaded(const fleet::LoadedModel& loaded) -> void {
  const auto upstream = context_.upstreams.Find(loaded.upstream);
  if (!upstream) return;
  context_.unloading.erase({loaded.upstream, loaded.model});
  auto& models = upstream->record.models;
  auto held =
      std::find_if(models.begin(), models.end(),
                   [&](const auto& model) { return model.id == loaded.model; });
  if (held == models.end()) {
    models.push_back({loaded.model, 0, {}});
    held = std::prev(models.end());
  }
  if (!loaded.adapter.Empty()) held->adapters.insert(loaded.adapter);
}

auto FleetNode::PassGrants(Timestamp now) -> void {
  for (const auto& [daemon, summary] : fleet_member_.TakeAvailableGrants(now)) {
    if (daemon == context_.settings.instance) {
      OnSummary(summary, now);
    } else {
      SendTo(daemon, summary);
    }
  }
}

auto FleetNode::ScheduleReport(Duration delay) -> void {
  timer_.expires_after(delay);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Report();
  });
}

auto FleetNode::ReportNow() -> void {
  if (report_soon_) return;
  report_soon_ = true;
  const auto since = MonotonicNow() - reported_at_;
  ScheduleReport(since >= kLeastInterval ? Duration(0)
                                         : kLeastInterval - since);
}

auto FleetNode::MakeReport(bool urgent_only, Timestamp now)
    -> fleet::FleetReport {
  fleet::FleetReport report;
  report.from = context_.settings.instance;
  report.incarnation = incarnation_;
  report.sequence = ++sequence_;
  report.urgent_only = urgent_only;
  report.missing_adapters = std::exchange(context_.missing_adapters, {});
  for (const auto& exchange : context_.parked) exchange->StateNeed();
  if (urgent_only) return report;
  for (const auto& [id, upstream] : context_.upstreams.All()) {
    if (upstream->RecentlyUnreachable(now)) report.unreachable.push_back(id);
    if (upstream->requests == 0) continue;
    report.upstreams.push_back(
        {id, upstream->requests, upstream->tokens, upstream->prefill_tokens});
  }
  report.work_factors = context_.work_factors.ShareWithHub(sequence_, now);
  report.models = context_.demand.Rates(now);
  report.upstream_position = journal_.Position();
  report.store_positions = link_->announced_positions();
  if (context_.usage) report.usage = context_.usage->MakeNews(now);
  report.pools = PoolDemand(now);
  return report;
}

auto FleetNode::PoolDemand(Timestamp now)
    -> std::vector<fleet::ReportedPoolDemand> {
  std::map<PoolId, std::int64_t> waiting;
  for (const auto& exchange : context_.parked) {
    const auto* pool = exchange->AwaitedPool();
    if (pool != nullptr && pool->scaling) ++waiting[pool->id];
  }
  const auto slots = context_.pool_demand.Slots(now);
  for (const auto& [pool, count] : slots) waiting[pool] += 0;
  std::vector<fleet::ReportedPoolDemand> demand;
  for (const auto& [pool, count] : waiting) {
    const auto found = slots.find(pool);
    const auto used = found == slots.end() ? 0.0 : found->second;
    demand.push_back({pool, context_.settings.zone,
                      static_cast<std::int64_t>(used * 1000), count});
  }
  return demand;
}

auto FleetNode::Report() -> void {
  const auto now = MonotonicNow();
  report_soon_ = false;
  reported_at_ = now;
  const bool urgent_only =
      fleet_member_.HasZoneHubs() && now + kReportSlack < periodic_report_due_;
  const auto outgoing =
      fleet_member_.PrepareReport(MakeReport(urgent_only, now), now);
  if (!urgent_only) {
    periodic_report_due_ = now + fleet_member_.ReportInterval();
    LogHub(*outgoing, now);
    const bool is_fleet_hub = outgoing->hub == context_.settings.instance;
    context_.runs_trials =
        is_fleet_hub && (members_.size() <= 1 || FleetHubDaemonCount(now) > 0);
    LogRole(now);
    SendProbes(now);
  }
  if (outgoing) SendReport(*outgoing, now);
  context_.RetryParked(now);
  ScheduleNextReport(outgoing && !outgoing->report.token_requests.empty(), now);
}

auto FleetNode::LogHub(const fleet::FleetMember::OutgoingReport& outgoing,
                       Timestamp now) -> void {
  if (outgoing.hub == hub_chosen_) return;
  const bool zone = outgoing.report.level == fleet::HubLevel::kZone;
  context_.log.Write(EventRank::kState, "hub_chosen")
      .Add("hub", outgoing.hub.Value())
      .Add("level", zone ? "zone" : "fleet")
      .Add("before", hub_chosen_.Value())
      .Add("leader", leader_.Value())
      .AddMs("answer_age_ms", now - context_.hub_answered_at);
  hub_chosen_ = outgoing.hub;
}

auto FleetNode::FleetHubDaemonCount(Timestamp now) -> std::int64_t {
  fleet_member_.Hub().ExpireReports(now);
  const auto count = fleet_member_.Hub().ReportingDaemonCount();
  const bool own = fleet_member_.Hub().LastReport(context_.settings.instance) !=
                   std::nullopt;
  return std::max<std::int64_t>(count - (own ? 1 : 0), 0);
}

auto FleetNode::LogRole(Timestamp now) -> void {
  const auto in_zone = ZoneHubDaemonCount(now);
  const auto in_fleet = FleetHubDaemonCount(now);
  if ((in_zone > 0) == is_zone_hub_ && (in_fleet > 0) == is_fleet_hub_) return;
  is_zone_hub_ = in_zone > 0;
  is_fleet_hub_ = in_fleet > 0;
  context_.log.Write(EventRank::kState, "hub_role")
      .Add("zone_hub_daemons", in_zone)
      .Add("fleet_hub_daemons", in_fleet)
      .Add("leader", leader_.Value());
}

auto FleetNode::SendProbes(Timestamp now) -> void {
  for (const auto& [hub, level] : fleet_member_.TakeProbes(now)) {
    fleet::FleetReport probe;
    probe.from = context_.settings.instance;
    probe.incarnation = incarnation_;
    probe.sequence = ++sequence_;
    probe.level = level;
    probe.urgent_only = true;
    SendTo(hub, probe);
  }
}

auto FleetNode::SendReport(const fleet::FleetMember::OutgoingReport& outgoing,
                           Timestamp now) -> void {
  const bool own = outgoing.hub == context_.settings.instance;
  if (!own) SendTo(outgoing.hub, outgoing.report);
  // Without a hub that answers, this daemon serves itself from its own part of
  // the limits. The tokens it asked another hub for are lost if they come.
  if (!own && fleet_member_.Connected(now)) return;
  auto report = outgoing.report;
  report.level = fleet::HubLevel::kFleet;
  auto summary = Answer(report, now);
  ScheduleGrants();
  if (own) return OnSummary(summary, now);
  // A refusal from its own share is not the state of the account.
  for (const auto& grant : summary.grants) {
    if (grant.tokens > 0) context_.granted_tokens.OnGrant(grant, now);
  }
  PassGrants(now);
}

auto FleetNode::ScheduleNextReport(bool tokens_requested, Timestamp now)
    -> void {
  Duration delay =
      std::max<Duration>(periodic_report_due_ - now, Duration::zero());
  if (tokens_requested && fleet_member_.HasZoneHubs()) {
    delay = std::min<Duration>(delay, kTokenRepeatInterval);
  }
  // A grant in this daemon's own answer may already have asked for a report.
  if (!report_soon_) ScheduleReport(delay);
}

auto FleetNode::SendTo(const InstanceId& daemon,
                       const fleet::FleetMessage& message) -> void {
  const auto member = members_.find(daemon);
  if (member == members_.end()) return;
  const auto& address = member->second.peers;
  boost::system::error_code error;
  const auto host = boost::asio::ip::make_address(address.host, error);
  if (error) {
    context_.log.Write(EventRank::kFailure, "member_address_invalid")
        .Add("member", daemon.Value())
        .Add("address", address.Text());
    return;
  }
  Send({host, address.port}, message);
}

auto FleetNode::Send(const boost::asio::ip::udp::endpoint& to,
                     const fleet::FleetMessage& message) -> void {
  boost::system::error_code ignored;  // A lost report is made good by the next.
  socket_.send_to(boost::asio::buffer(fleet::EncodeFleetMessage(message)), to,
                  0, ignored);
}

}  // namespace dotterellug::gateway
