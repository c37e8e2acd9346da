#include "daemon/gateway/gateway.h"

#include <algorithm>
#include <array>
#include <utility>

#include "daemon/gateway/quarantine_page.h"
#include "daemon/gateway/request_exchange.h"
#include "daemon/gateway/usage_meter.h"

namespace dotterellug::gateway {
namespace {

// How often parked requests are tried again and connections are tidied up.
constexpr auto kTick = std::chrono::milliseconds(25);
constexpr auto kIdleTick = std::chrono::milliseconds(100);
constexpr auto kOrderInterval = std::chrono::milliseconds(90);
// How long zones stay taken out, and daemons stay members, when a restored
// store lacks them. The operator and the daemons write them again within this
// time. A member that is dropped too early raises the shares of the others.
constexpr auto kZoneRetention = std::chrono::seconds(3);
constexpr auto kMemberRetention = std::chrono::seconds(5);
constexpr auto kSweepInterval = std::chrono::seconds(1);
// A port for metrics or copies that is in use is tried again after this time.
constexpr auto kInternalServerRetry = std::chrono::seconds(1);
// A registration that failed is written again after this time.
constexpr auto kRegistrationRetry = std::chrono::milliseconds(300);
// One that was written is shown by the watch of members within this time, also
// if that is deaf for a moment.
constexpr auto kRegistrationShown = std::chrono::seconds(3);
// A stop has these steps: accepting ends, open requests get their final
// answers, the process ends.
//
// After the stop signal the balancer goes on sending new connections until it
// has seen two answers that this daemon is not ready, a second apart.
constexpr auto kStopAccepting = std::chrono::milliseconds(2600);
// Time kept at the end of the grace period for leaving in order.
constexpr auto kStopReserve = std::chrono::milliseconds(400);
// Time before that in which the final answers to open requests are sent.
constexpr auto kFinalAnswerTime = std::chrono::milliseconds(250);
// Time to release the order lease before the process ends; covers a slow write
// to the store.
constexpr auto kReleaseTime = std::chrono::milliseconds(800);
// A pause of the event loop, or a change of the time of day, that is worth a
// log line: longer than a few ticks.
constexpr auto kStall = std::chrono::milliseconds(400);
constexpr auto kClockJump = std::chrono::milliseconds(400);
// Logged as the remaining time of an upstream that may finish its requests.
constexpr Duration kNoTime = std::chrono::milliseconds(-1);

}  // namespace

Gateway::Gateway(boost::asio::io_context& loop, const GatewaySettings& settings,
                 Dialect dialect, const MakeLink& make_link,
                 Incarnation incarnation)
    : context_(loop, settings, std::move(dialect),
               Hash64(settings.instance.Value(),
                      static_cast<std::uint64_t>(incarnation.Value()))),
      fleet_(context_, incarnation),
      link_(make_link(Events())),
      copies_(context_, link_),
      orders_(context_, fleet_, link_),
      duties_(context_, fleet_, orders_, link_),
      callers_(loop,
               [this](std::shared_ptr<eventhttp::ServerSession> session,
                      eventhttp::ServerRequest request) {
                 std::make_shared<RequestExchange>(context_, std::move(session),
                                                   std::move(request))
                     ->Start();
               }),
      readiness_(
          loop,
          [this](const std::shared_ptr<eventhttp::ServerSession>& session,
                 const eventhttp::ServerRequest& request) {
            const auto& path = context_.settings.readiness_path;
            const bool asked = request.head.target == path;
            session->Respond(asked ? (Ready() ? 200 : 503) : 404, {}, "");
          }),
      metrics_(loop,
               [this](const std::shared_ptr<eventhttp::ServerSession>& session,
                      const eventhttp::ServerRequest& request) {
                 const auto now = MonotonicNow();
                 if (AnswerQuarantineRequest(context_, session, request, now)) {
                   return;
                 }
                 SetLevels();
                 session->Respond(200, {{"Content-Type", "text/plain"}},
                                  context_.metrics.Text());
               }),
      tick_(loop),
      lapsed_({settings.bounds.sign_of_life}),
      zones_out_(kZoneRetention),
      members_(kMemberRetention) {
  callers_.SetOverloadLimits(context_.memory, settings.client_overload);
  callers_.OnRefusal([this](auto refusal, const std::string& client) {
    context_.CountRefusal(refusal, client);
  });
  if (settings.duties && settings.duties->metering) {
    context_.usage = std::make_unique<UsageMeter>(
        Reporter{settings.instance, incarnation}, *settings.duties);
  }
  context_.report_now = [this] { fleet_.ReportNow(); };
  context_.catching_up = [this](Timestamp now) {
    return fleet_.CatchingUp(now);
  };
  fleet_.SetStoreLink(link_);
  fleet_.OnLeaseAnnounced(
      [this](StorePosition position) { orders_.OnLeaseAnnounced(position); });
  fleet_.OnStoreAnswered(
      [this](Timestamp at) { lapsed_.OnResponseToOtherDaemon(at); });
  fleet_.OnNews([this](const fleet::UpstreamChanges& news) { OnNews(news); });
}

Gateway::~Gateway() = default;

auto Gateway::Start() -> Result<SocketAddress> {
  auto other = readiness_.Listen(context_.settings.readiness);
  if (!other) return other;
  other = fleet_.Start();
  if (!other) return other;
  auto address = callers_.Listen(context_.settings.callers);
  if (!address) return address;
  context_.log.Write(EventRank::kState, "started")
      .Add("callers", address->Text())
      .Add("zone", context_.settings.zone.Value());
  link_->start();
  Tick();
  return address;
}

auto Gateway::OpenInternalServers(Timestamp now) -> void {
  if (internal_servers_open_ || now < internal_servers_due_) return;
  internal_servers_due_ = now + kInternalServerRetry;
  const auto metrics = metrics_.Listen(context_.settings.metrics);
  const auto copies = copies_.Start();
  internal_servers_open_ = metrics && copies;
  if (internal_servers_open_) return;
  const auto& error = metrics ? copies.error() : metrics.error();
  context_.log.Write(EventRank::kState, "internal_port_in_use")
      .Add("error", error.Text());
}

auto Gateway::Ready() const -> bool { return Missing().empty() && !draining_; }

auto Gateway::Missing() const -> std::string {
  // A registration that a restore of the store has lost is written again, and
  // the others keep this daemon as a member meanwhile.
  const bool member =
      registered_ || members_.Retained(context_.settings.instance);
  const std::array<std::pair<const char*, bool>, 5> parts{
      {{StoreListName(StoreList::kConfiguration), context_.catalog != nullptr},
       {StoreListName(StoreList::kUpstreams), upstreams_known_},
       {StoreListName(StoreList::kZonesOut), zones_known_},
       {StoreListName(StoreList::kMembers), members_known_},
       {"registration", member}}};
  std::string missing;
  for (const auto& [name, known] : parts) {
    if (known) continue;
    if (!missing.empty()) missing += ' ';
    missing += name;
  }
  return missing;
}

auto Gateway::LogReadiness() -> void {
  auto missing = Missing();
  if (logged_missing_ == missing) return;
  context_.log.Write(EventRank::kState, "readiness")
      .Add("ready", missing.empty() ? "yes" : "no")
      .Add("missing", missing);
  logged_missing_ = std::move(missing);
}

auto Gateway::Events() -> ControlEvents {
  ControlEvents events;
  events.on_catalog = [this](auto catalog) { OnCatalog(std::move(catalog)); };
  events.on_upstream = [this](const auto& record) {
    OnEntryRead(record, false);
  };
  events.on_restored_upstream = [this](const auto& record) {
    OnEntryRead(record, true);
  };
  events.on_list_restored = [this](StoreList list) { OnListRestored(list); };
  events.on_upstream_gone = [this](const auto& id) { OnUpstreamGone(id); };
  events.on_upstream_contact = [this](bool answered) {
    if (answered) fleet_.NoteUpstreamContact(MonotonicNow());
  };
  events.on_upstreams_listed = [this](const auto& listed) {
    OnUpstreamsListed(listed);
  };
  events.on_zones_out = [this](auto zones) { OnZonesOut(std::move(zones)); };
  events.on_members = [this](const auto& members) { OnMembers(members); };
  events.on_store_contact = [this](const Result<void>& result) {
    OnStoreContact(result);
  };
  events.on_list = [this](StoreList list, const Result<void>& result) {
    OnList(list, result);
  };
  events.on_store_call = [this](const std::string& call) {
    context_.metrics.Count(GatewayCounter::kStoreCalls, call);
  };
  events.on_store_epoch = [this](const auto& change) { OnStoreEpoch(change); };
  events.on_bad_entry = [this](const Error& error) {
    context_.metrics.Count(GatewayCounter::kBadEntries,
                           ErrorKindName(error.kind));
    context_.log.Write(EventRank::kFailure, "entry_skipped")
        .Add("error", error.Text());
  };
  return events;
}

auto Gateway::OnCatalog(std::shared_ptr<const serving::ServingCatalog> catalog)
    -> void {
  const auto current = context_.catalog ? context_.catalog->version : -1;
  if (catalog->version <= current) return;
  LogAccountChanges(*catalog);
  const auto keys_before =
      context_.catalog ? static_cast<std::int64_t>(context_.catalog->KeyCount())
                       : 0;
  context_.catalog = std::move(catalog);
  const auto& limits = context_.catalog->limits;
  callers_.SetLimits({limits.header_bytes, limits.body_bytes,
                      limits.header_timeout, limits.idle_timeout});
  const auto now = MonotonicNow();
  const auto behind_since = link_->behind_since(StoreList::kConfiguration);
  for (const auto& [id, account] : context_.catalog->Accounts()) {
    fleet_.Hub().EnsureBucket(id, now);
  }
  context_.metrics.Set(GatewayLevel::kConfigVersion,
                       static_cast<double>(context_.catalog->version));
  context_.log.Write(EventRank::kState, "config_in_force")
      .Add("config", context_.catalog->version)
      .Add("before", current)
      .Add("source", copies_.Source())
      .AddMs("behind_ms", behind_since ? now - *behind_since : Duration(0))
      .Add("accounts",
           static_cast<std::int64_t>(context_.catalog->Accounts().size()))
      .Add("keys", static_cast<std::int64_t>(context_.catalog->KeyCount()))
      .Add("keys_before", keys_before);
}

// Limits decide refusals, so each change of one has a line.
auto Gateway::LogAccountChanges(const serving::ServingCatalog& catalog)
    -> void {
  for (const auto& [id, account] : catalog.Accounts()) {
    const auto* before =
        context_.catalog ? context_.catalog->FindAccount(id) : nullptr;
    const auto& limit = account.limit;
    if (before != nullptr && before->limit.per_second == limit.per_second &&
        before->limit.burst == limit.burst) {
      continue;
    }
    context_.log.Write(EventRank::kState, "account_limit")
        .Add("account", id.Value())
        .Add("per_second", limit.per_second)
        .Add("burst", limit.burst)
        .Add("config", catalog.version);
  }
}

auto Gateway::OnEntryRead(const serving::UpstreamRecord& record,
                          bool maybe_restored) -> void {
  const auto usable =
      restored_upstreams_.OnEntry(record, maybe_restored, MonotonicNow());
  if (!usable) {
    context_.log.Write(EventRank::kState, "upstream")
        .Add("upstream", record.id.Value())
        .Add("state", "held")
        .Add("cause", "removed_before_restore");
    return;
  }
  fleet_.Journal().OnChanged(*usable, link_->positions()[1]);
  OnUpstream(*usable);
}

auto Gateway::OnUpstream(const serving::UpstreamRecord& record) -> void {
  lapsed_.Forget(record.id);
  const auto known = context_.upstreams.Find(record.id);
  const bool news = !known || known->record.leaving != record.leaving ||
                    known->record.started_ms != record.started_ms;
  const auto now = MonotonicNow();
  context_.upstreams.Upsert(record, now);
  if (record.remaining_time) {
    context_.gone_at[record.id] = now + *record.remaining_time;
  }
  if (!news) return;
  context_.log.Write(EventRank::kState, "upstream")
      .Add("upstream", record.id.Value())
      .Add("pool", record.pool.Value())
      .Add("address", record.address.Text())
      .Add("state", record.leaving ? "leaving" : "live")
      .AddMs("cold_ms", record.remaining_cold_duration)
      .AddMs("remaining_ms", record.remaining_time.value_or(kNoTime));
}

auto Gateway::RemoveUpstream(const UpstreamId& id, const char* cause,
                             StorePosition position) -> void {
  fleet_.Journal().OnRemoved(id, position);
  const auto known = context_.upstreams.Find(id);
  if (!known) return;
  context_.log.Write(EventRank::kState, "upstream")
      .Add("upstream", id.Value())
      .Add("state", "gone")
      .Add("cause", cause);
  restored_upstreams_.OnRemoved(known->record, MonotonicNow());
  context_.connections.Drop(known->record.address);
  context_.upstreams.Remove(id);
}

// Changes that another daemon has read from the store.
auto Gateway::OnNews(const fleet::UpstreamChanges& news) -> void {
  // While this daemon reads the store itself, that is at least as new.
  if (following_) return;
  for (const auto& record : news.changed) {
    // The reader of the store has judged it, but may not know that it leaves.
    const auto usable =
        restored_upstreams_.OnEntry(record, false, MonotonicNow());
    fleet_.Journal().OnChanged(*usable, news.position);
    OnUpstream(*usable);
  }
  for (const auto& id : news.removed) {
    lapsed_.Forget(id);
    RemoveUpstream(id, "removed_by_hub", news.position);
  }
  fleet_.Journal().OnFullListRead(news.position);
}

auto Gateway::OnUpstreamGone(const UpstreamId& id) -> void {
  if (restored_upstreams_.OnEntryMissing(id, MonotonicNow())) {
    return fleet_.SetHoldsBack(true);
  }
  if (!lapsed_.OnEntryMissing(id, MonotonicNow())) {
    return fleet_.SetHoldsBack(true);
  }
  RemoveUpstream(id, "entry_removed", link_->positions()[1]);
}

auto Gateway::OnUpstreamsListed(const std::set<UpstreamId>& listed) -> void {
  upstreams_known_ = true;
  fleet_.Journal().OnFullListRead(link_->positions()[1]);
  restored_upstreams_.OnListed(listed);
  std::vector<UpstreamId> missing;
  for (const auto& [id, upstream] : context_.upstreams.All()) {
    if (listed.count(id) == 0) missing.push_back(id);
  }
  for (const auto& id : missing) OnUpstreamGone(id);
}

auto Gateway::OnZonesOut(std::set<AvailabilityZoneId> zones) -> void {
  zones_known_ = true;
  std::map<AvailabilityZoneId, std::monostate> listed;
  for (const auto& zone : zones) listed[zone] = {};
  zones_out_.Update(std::move(listed), MonotonicNow());
  ApplyZonesOut();
}

auto Gateway::ApplyZonesOut() -> void {
  std::set<AvailabilityZoneId> zones;
  std::string names;
  std::string retained;
  for (const auto& [zone, none] : zones_out_.Current()) {
    zones.insert(zone);
    names += zone.Value() + " ";
    if (zones_out_.Retained(zone)) retained += zone.Value() + " ";
  }
  context_.log.Write(EventRank::kState, "zones_out")
      .Add("zones", names)
      .Add("retained", retained)
      .Add("source", copies_.Source());
  context_.upstreams.SetDisabledZones(std::move(zones));
}

auto Gateway::OnMembers(const std::vector<Member>& members) -> void {
  members_known_ = true;
  registered_ = false;
  for (const auto& member : members) {
    if (member.id == context_.settings.instance &&
        member.peers == context_.settings.peers) {
      registered_ = true;
    }
  }
  std::map<InstanceId, Member> listed;
  for (const auto& member : members) listed.insert_or_assign(member.id, member);
  members_.Update(std::move(listed), MonotonicNow());
  ApplyMembers();
  RegisterSelf();
}

auto Gateway::ApplyMembers() -> void {
  std::vector<Member> members;
  std::int64_t retained = 0;
  for (const auto& [id, member] : members_.Current()) {
    members.push_back(member);
    if (!members_.Retained(id)) continue;
    ++retained;
    // The revision is of another epoch; it must not remove a new registration.
    members.back().revision = 0;
  }
  context_.log.Write(EventRank::kState, "members")
      .Add("count", static_cast<std::int64_t>(members.size()))
      .Add("retained", retained);
  fleet_.SetMembers(members);
  copies_.SetMembers(members);
}

auto Gateway::OnListRestored(StoreList list) -> void {
  const auto now = MonotonicNow();
  switch (list) {
    case StoreList::kConfiguration:
      // A version in force is never replaced by a lower one.
      return;
    case StoreList::kUpstreams:
      return restored_upstreams_.OnRestored(now);
    case StoreList::kZonesOut:
      return zones_out_.OnRestored(now);
    case StoreList::kMembers:
      // A registration that was written a moment ago may be lost as well.
      registration_due_ = {};
      return members_.OnRestored(now);
  }
}

auto Gateway::EndRetention(Timestamp now) -> void {
  for (const auto& id : lapsed_.TakeExpired(now)) {
    RemoveUpstream(id, "lapsed", link_->positions()[1]);
  }
  // While the store does not answer, nothing shows which entries it has.
  if (!lapsed_.FailingSince()) {
    for (const auto& id : restored_upstreams_.TakeExpired(now)) {
      RemoveUpstream(id, "not_written_since_restore", link_->positions()[1]);
    }
    for (const auto& record : restored_upstreams_.TakeConfirmed(now)) {
      fleet_.Journal().OnChanged(record, link_->positions()[1]);
      OnUpstream(record);
    }
  }
  if (zones_out_.TakeExpired(now)) ApplyZonesOut();
  if (members_.TakeExpired(now)) ApplyMembers();
}

auto Gateway::RegisterSelf() -> void {
  const auto now = MonotonicNow();
  if (draining_ || registered_ || now < registration_due_) return;
  registration_due_ = now + kRegistrationShown;
  const Member self{context_.settings.instance, context_.settings.peers,
                    context_.settings.capacity, 0, context_.settings.zone};
  link_->register_member(self, [this](const Result<void>& result) {
    if (result) {
      registered_ = true;
      return;
    }
    registration_due_ = MonotonicNow() + kRegistrationRetry;
    context_.log.Write(EventRank::kState, "registration_failed")
        .Add("error", result.error().Text());
  });
}

auto Gateway::OnStoreContact(const Result<void>& result) -> void {
  const auto now = MonotonicNow();
  const auto silent_since = lapsed_.FailingSince();
  if (result) {
    if (silent_since) {
      context_.log.Write(EventRank::kState, "store_regained")
          .AddMs("silent_ms", now - *silent_since);
    }
    return lapsed_.OnStoreResponse(now);
  }
  if (silent_since) return;
  lapsed_.OnStoreFailure(now);
  context_.log.Write(EventRank::kState, "store_lost")
      .Add("error", result.error().Text())
      .AddMs("since_answer_ms", now - lapsed_.LastResponseAt());
}

auto Gateway::OnList(StoreList list, const Result<void>& result) -> void {
  const auto now = MonotonicNow();
  if (result) {
    context_.log.Write(EventRank::kState, "list_stall_ended")
        .Add("list", StoreListName(list))
        .AddMs("stalled_ms", now - stalled_lists_[list]);
    stalled_lists_.erase(list);
  } else if (stalled_lists_.emplace(list, now).second) {
    context_.log.Write(EventRank::kState, "list_stalled")
        .Add("list", StoreListName(list))
        .Add("error", result.error().Text());
  }
}

auto Gateway::OnStoreEpoch(const StoreEpochChange& change) -> void {
  orders_.OnStoreEpoch(change.after);
  context_.metrics.Set(GatewayLevel::kStoreEpoch,
                       static_cast<double>(change.after.Value()));
  if (change.before) {
    context_.metrics.Count(GatewayCounter::kStoreRestores, change.source);
  }
  context_.log.Write(EventRank::kState, "store_epoch")
      .Add("before", change.before.value_or(StoreEpoch()).Value())
      .Add("after", change.after.Value())
      .Add("restored", change.before.has_value())
      .Add("source", change.source);
}

// The state that is read off when metrics are asked for.
auto Gateway::SetLevels() -> void {
  const auto now = MonotonicNow();
  auto& metrics = context_.metrics;
  const auto age = [&](Timestamp last) {
    return last == Timestamp{} ? -1 : ToSeconds(now - last);
  };
  metrics.Set(GatewayLevel::kOpenRequests,
              static_cast<double>(context_.open_requests->size()));
  metrics.Set(GatewayLevel::kWaitingRequests,
              static_cast<double>(context_.parked.size()));
  metrics.Set(GatewayLevel::kUpstreams,
              static_cast<double>(context_.upstreams.All().size()));
  metrics.Set(GatewayLevel::kMembers,
              static_cast<double>(fleet_.Members().size()));
  metrics.Set(GatewayLevel::kQuarantinedParts,
              static_cast<double>(context_.quarantine.Quarantined().size()));
  metrics.Set(GatewayLevel::kRestrictedUpstreams,
              static_cast<double>(
                  context_.upstreams.Backpressure().RestrictedCount(now)));
  const auto factors = context_.upstreams.CountWorkFactors(now);
  metrics.Set(GatewayLevel::kKnownWorkFactors,
              static_cast<double>(factors.known));
  metrics.Set(GatewayLevel::kSlowUpstreams, static_cast<double>(factors.slow));
  for (std::size_t i = 0; i < eventhttp::kMemoryUses; ++i) {
    const auto use = static_cast<eventhttp::MemoryUse>(i);
    metrics.SetMemory(eventhttp::MemoryUseName(use),
                      static_cast<double>(context_.memory->Used(use)));
  }
  metrics.Set(GatewayLevel::kMemoryLimit,
              static_cast<double>(context_.memory->Limits().total));
  metrics.Set(GatewayLevel::kClientConnections,
              static_cast<double>(callers_.OpenSessions()));
  const auto& upstreams = context_.upstreams.All();
  metrics.Set(GatewayLevel::kAvoidedUpstreams,
              static_cast<double>(std::count_if(
                  upstreams.begin(), upstreams.end(), [&](const auto& item) {
                    return item.second->Misdirected(now);
                  })));
  metrics.Set(GatewayLevel::kOrderLeaseHeld, orders_.Leading() ? 1 : 0);
  duties_.SetLevels();
  metrics.Set(GatewayLevel::kStalledLists,
              static_cast<double>(stalled_lists_.size()));
  metrics.Set(GatewayLevel::kStoreAnswerAge, age(lapsed_.LastResponseAt()));
  metrics.Set(GatewayLevel::kHubAnswerAge, age(context_.hub_answered_at));
  metrics.Set(GatewayLevel::kZoneHubDaemons,
              static_cast<double>(fleet_.ZoneHubDaemonCount(now)));
  metrics.Set(GatewayLevel::kFleetHubDaemons,
              static_cast<double>(fleet_.FleetHubDaemonCount(now)));
}

auto Gateway::Reload() -> void {
  context_.log.Write(EventRank::kState, "reloaded")
      .Add("changes", "none: addresses are fixed while the process runs")
      .Add("config", context_.catalog ? context_.catalog->version : -1);
}

// Notes when the loop has not run for a while, as after a freeze of the
// process, and when the time of day has been changed.
auto Gateway::NoteClocks(Timestamp now) -> void {
  const auto wall = WallNow();
  if (ticked_at_ != Timestamp{}) {
    const Duration passed = now - ticked_at_;
    const Duration jump = (wall - ticked_wall_) - passed;
    if (passed > kStall) {
      context_.log.Write(EventRank::kState, "loop_stalled")
          .AddMs("stalled_ms", passed);
    }
    if (std::chrono::abs(jump) > kClockJump) {
      context_.log.Write(EventRank::kState, "clock_changed")
          .AddMs("by_ms", jump);
    }
  }
  ticked_at_ = now;
  ticked_wall_ = wall;
}

auto Gateway::Tick() -> void {
  const auto now = MonotonicNow();
  NoteClocks(now);
  if (context_.usage) context_.usage->Tick(WallNow());
  context_.UpdateQuarantine(now);
  context_.RetryParked(now);
  context_.MoveStreams(now);
  context_.log.Flush(now);
  EndRetention(now);
  if (now - swept_at_ > kSweepInterval) {
    swept_at_ = now;
    context_.connections.Sweep(now);
    context_.cold_gate.Sweep(now);
    context_.upstreams.Backpressure().Expire(now);
  }
  if (members_known_) RegisterSelf();
  LogReadiness();
  OpenInternalServers(now);
  if (now - ordered_at_ >= kOrderInterval) {
    ordered_at_ = now;
    orders_.Tick();
    duties_.Tick();
  }
  fleet_.SetHoldsBack(lapsed_.IsRetaining() ||
                      restored_upstreams_.DiffersFromList());
  link_->set_backed(fleet_.Backed());
  // A hub that has lost the store itself tells of no changes.
  link_->set_on_demand(fleet_.HasZoneHub() && fleet_.HasNews());
  copies_.Tick(now);
  const bool follow = !fleet_.HasNews();
  if (follow != following_) {
    following_ = follow;
    link_->follow_upstreams(follow);
    context_.log.Write(EventRank::kState, "upstream_source")
        .Add("source", follow ? "store" : "hub");
  }
  if (draining_) FinishDrain();
  const bool busy = !context_.parked.empty() || final_answers_given_;
  tick_.expires_after(busy ? Duration(kTick) : Duration(kIdleTick));
  tick_.async_wait([this](boost::system::error_code error) {
    if (!error) Tick();
  });
}

auto Gateway::Drain() -> void {
  if (draining_) return;
  draining_ = true;
  drain_started_ = MonotonicNow();
  context_.final_answers_at =
      drain_started_ + LongestDrain() - kFinalAnswerTime;
  callers_.BeginDrain();
  orders_.Stop(LongestDrain() - kReleaseTime);
  context_.log.Write(EventRank::kState, "stopping")
      .Add("open_requests",
           static_cast<std::int64_t>(context_.open_requests->size()));
}

auto Gateway::LongestDrain() const -> Duration {
  return context_.settings.bounds.stop_grace - kStopReserve;
}

auto Gateway::FinishDrain() -> void {
  const auto now = MonotonicNow();
  const auto age = now - drain_started_;
  const bool answer_now = now >= *context_.final_answers_at;
  if (age < kStopAccepting && !answer_now) return;
  context_.refuses_requests = true;
  callers_.StopAccepting();
  if (answer_now) {
    // Repeated until the end, for requests that are read meanwhile.
    context_.AnswerOpenRequests();
    callers_.RefusePartialRequests();
    // Requests that wait in sockets are read before the next call.
    if (!std::exchange(final_answers_given_, true)) return;
  }
  if (callers_.BusySessions() > 0 && age < LongestDrain()) return;
  if (!OrdersStopped(now) && age < LongestDrain()) return;
  context_.LogBrokenRequests();
  context_.log.Write(EventRank::kState, "stopped")
      .Add("open_requests",
           static_cast<std::int64_t>(context_.open_requests->size()))
      .AddMs("took_ms", age);
  context_.log.Flush(MonotonicNow());
  context_.loop.stop();
}

auto Gateway::OrdersStopped(Timestamp now) -> bool {
  if (!orders_stopped_at_) {
    orders_stopped_at_ = now;
    orders_.Stop(Duration::zero());
    orders_.Tick();
  }
  return orders_.Stopped() || now - *orders_stopped_at_ >= kReleaseTime;
}

}  // namespace dotterellug::gateway
