#include "daemon/gateway/fleet_node.h"

#include <algorithm>
#include <utility>

#include "core/variant/overloaded.h"
#include "daemon/gateway/request_exchange.h"

namespace dotterellug::gateway {
namespace {

// How often a daemon reports to its hub.
constexpr auto kReportInterval = std::chrono::milliseconds(150);
// A hub that answered within this time backs the own watches.
constexpr auto kBackedTime = std::chrono::milliseconds(1000);
// A hub's news of upstreams count as current while the store has answered it
// within this time: leaving upstreams are to be known within two seconds.
constexpr auto kFreshStore = std::chrono::milliseconds(1300);
constexpr auto kNewsLifetime = std::chrono::milliseconds(1600);
// Shortest time between two reports, when a request waits for one.
constexpr auto kLeastInterval = std::chrono::milliseconds(8);

}  // namespace

FleetNode::FleetNode(GatewayContext& context, Incarnation incarnation)
    : context_(context),
      incarnation_(incarnation),
      socket_(context.loop),
      timer_(context.loop),
      hub_({},
           [this](const ClientAccountId& id) -> std::optional<RateLimit> {
             if (!context_.catalog) return std::nullopt;
             const auto* account = context_.catalog->FindAccount(id);
             if (account == nullptr || account->limit.per_second <= 0) {
               return std::nullopt;
             }
             return RateLimit{Tokens(account->limit.per_second),
                              Tokens(account->limit.burst)};
           }),
      selector_(context.settings.instance, {}) {}

auto FleetNode::Start() -> Result<SocketAddress> {
  namespace ip = boost::asio::ip;
  const auto& address = context_.settings.peers;
  boost::system::error_code error;
  const ip::udp::endpoint endpoint(ip::make_address(address.host, error),
                                   address.port);
  if (!error) socket_.open(endpoint.protocol(), error);
  if (!error) socket_.bind(endpoint, error);
  if (!error) socket_.non_blocking(true, error);
  if (error) {
    return Fail(ErrorKind::kUnavailable,
                "cannot receive datagrams on " + address.Text() + ": " +
                    error.message(),
                "use an address of this machine and a free port");
  }
  Receive();
  ScheduleReport(kReportInterval);
  return SocketAddress{address.host, socket_.local_endpoint().port()};
}

auto FleetNode::SetMembers(const std::vector<Member>& members) -> void {
  members_.clear();
  std::vector<InstanceId> ids;
  for (const auto& member : members) {
    members_[member.id] = member;
    ids.push_back(member.id);
  }
  // Larger instances come first as hubs and as holders of orders.
  std::map<InstanceId, double> capacities;
  for (const auto& member : members) capacities[member.id] = member.capacity;
  const auto count = std::max<std::size_t>(ids.size(), 1);
  hub_.SetRegisteredDaemons(static_cast<std::int64_t>(count));
  context_.repeats.SetDaemonCount(static_cast<std::int64_t>(count));
  context_.cold_gate.SetMembers(ids);
  selector_.SetMembers(ids, capacities);
}

auto FleetNode::Backed() const -> bool {
  return MonotonicNow() - backed_at_ < kBackedTime;
}

auto FleetNode::HasNews() const -> bool {
  return MonotonicNow() - news_current_at_ < kNewsLifetime;
}

auto FleetNode::OnNewsOf(const fleet::FleetSummary& summary, Timestamp now)
    -> void {
  const auto& changes = summary.changes;
  // Only a hub that reads the store itself keeps others from doing so.
  if (changes.relist_required || changes.position == 0) return;
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
  std::visit(Overloaded{[&](const fleet::FleetReport& report) {
                          Send(sender_, Answer(report, now));
                        },
                        [&](const fleet::FleetSummary& summary) {
                          OnSummary(summary, now);
                        }},
             *message);
}

auto FleetNode::Answer(const fleet::FleetReport& report, Timestamp now)
    -> fleet::FleetSummary {
  auto summary = hub_.OnReport(report, now);
  summary.from = context_.settings.instance;
  summary.leader = leader_;
  summary.leader_fence = leader_fence_;
  summary.holds_order_lease = leading_;
  summary.lease_revision = lease_revision_;
  summary.unloading = unloading_;
  summary.loaded = loaded_;
  summary.store_positions = link_->positions();
  summary.store_response_age = now - upstreams_read_at_;
  if (holds_back_) summary.store_response_age = kNewsLifetime;
  summary.changes = journal_.Since(report.upstream_position);
  return summary;
}

auto FleetNode::OnSummary(const fleet::FleetSummary& summary, Timestamp now)
    -> void {
  selector_.OnAnswer(summary.from, now);
  context_.hub_answered_at = now;
  TakeGrants(summary, now);
  if (summary.from != context_.settings.instance) {
    backed_at_ = now;
    link_->catch_up(summary.store_positions);
    OnNewsOf(summary, now);
  }
  if (summary.holds_order_lease) leader_seen_ = now;
  if (summary.lease_revision > 0) on_lease_announced_(summary.lease_revision);
  SetLeader(summary.leader, summary.leader_fence);
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
  context_.unloading.clear();
  for (const auto& model : summary.unloading) {
    context_.unloading.insert({model.upstream, model.model});
  }
  for (const auto& loaded : summary.loaded) RecordLoaded(loaded);
  for (const auto& id : summary.unreachable) {
    if (const auto upstream = context_.upstreams.Find(id)) {
      upstream->RecordReportedUnreachable(now);
    }
  }
  if (!summary.grants.empty() || !summary.loaded.empty()) {
    context_.RetryParked(now);
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

auto FleetNode::TakeGrants(const fleet::FleetSummary& summary, Timestamp now)
    -> void {
  for (const auto& grant : summary.grants) {
    context_.granted_tokens.OnGrant(grant, now);
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

auto FleetNode::MakeReport(Timestamp now) -> fleet::FleetReport {
  fleet::FleetReport report;
  report.from = context_.settings.instance;
  report.incarnation = incarnation_;
  report.sequence = ++sequence_;
  for (const auto& [id, upstream] : context_.upstreams.All()) {
    if (upstream->RecentlyUnreachable(now)) report.unreachable.push_back(id);
    if (upstream->requests == 0) continue;
    report.upstreams.push_back(
        {id, upstream->requests, upstream->tokens, upstream->prefill_tokens});
  }
  report.models = context_.demand.Rates(now);
  report.missing_adapters = std::exchange(context_.missing_adapters, {});
  for (const auto& exchange : context_.parked) exchange->StateNeed();
  report.upstream_position = journal_.Position();
  report.token_requests = context_.granted_tokens.TakeTokenRequests(now);
  return report;
}

auto FleetNode::Report() -> void {
  const auto now = MonotonicNow();
  report_soon_ = false;
  reported_at_ = now;
  const auto report = MakeReport(now);
  const auto hub = selector_.Choose(now);
  if (hub != hub_chosen_) {
    context_.log.Write(EventRank::kState, "hub_chosen")
        .Add("hub", hub.Value())
        .Add("before", hub_chosen_.Value())
        .Add("leader", leader_.Value())
        .AddMs("answer_age_ms", now - context_.hub_answered_at);
    hub_chosen_ = hub;
  }
  const auto member = members_.find(hub);
  const bool own = hub == context_.settings.instance;
  if (!own && member != members_.end()) {
    const auto& address = member->second.peers;
    Send({boost::asio::ip::make_address(address.host), address.port}, report);
  }
  // Without a hub that answers, this daemon serves itself from its own part of
  // the limits. The tokens it asked another hub for are lost if they come.
  if (own || !selector_.Connected(now)) {
    const auto summary = Answer(report, now);
    if (own) {
      OnSummary(summary, now);
    } else {
      TakeGrants(summary, now);
    }
  }
  context_.RetryParked(now);
  ScheduleReport(kReportInterval);
}

auto FleetNode::Send(const boost::asio::ip::udp::endpoint& to,
                     const fleet::FleetMessage& message) -> void {
  boost::system::error_code ignored;  // A lost report is made good by the next.
  socket_.send_to(boost::asio::buffer(fleet::EncodeFleetMessage(message)), to,
                  0, ignored);
}

}  // namespace dotterellug::gateway
