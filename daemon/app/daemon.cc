#include "daemon/app/daemon.h"

#include <atomic>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "daemon/control/budget_service.h"
#include "daemon/control/claim_service.h"
#include "daemon/control/control_loop.h"
#include "daemon/control/instance_list_reader.h"
#include "daemon/control/peer_hub.h"
#include "daemon/control/placement_service.h"
#include "daemon/control/store_reader.h"
#include "daemon/state/shared_state.h"
#include "daemon/traffic/request_handler.h"

namespace dotterellug {
namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(250);
constexpr Duration kStatusInterval = std::chrono::milliseconds(200);
constexpr Duration kDemandInterval = std::chrono::seconds(1);
constexpr Duration kDrainPoll = std::chrono::milliseconds(20);
// Before the end of stop_grace: for the last answers to reach their callers.
constexpr Duration kFinalAnswerTime = std::chrono::seconds(2);
// Of that, for the process to end after its last answer.
constexpr Duration kStopReserve = std::chrono::seconds(1);

auto ReadSecretFile(const std::string& path) -> Result<std::string> {
  std::ifstream file(path);
  std::string line;
  if (!file || !std::getline(file, line) || line.empty()) {
    return Fail(ErrorKind::kInvalidArgument,
                "key file '" + path + "' cannot be read or is empty",
                "check the path and the permissions of the file");
  }
  return line;
}

auto PlainResponse(int status, std::string body, const char* type)
    -> HttpResponse {
  return {status, {{"Content-Type", type}}, std::move(body), false};
}

auto MemberStateName(MemberState state) -> const char* {
  switch (state) {
    case MemberState::kLive:
      return "live";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kSuspected:
      return "suspected";
    case MemberState::kDead:
      return "gone";
  }
  return "gone";
}

auto TargetOf(const SocketAddress& address) -> UpstreamTarget {
  return {address.host, address.port};
}

}  // namespace

class Daemon::Implementation {
 public:
  Implementation(const DaemonSettings& settings, Incarnation incarnation)
      : settings_(settings),
        incarnation_(incarnation),
        self_{settings.instance, incarnation},
        state_(settings.instance, incarnation, AdmissionOptions{}) {}

  ~Implementation() {
    stopping_ = true;
    if (reporter_.joinable()) reporter_.join();
    // Callers first, so that no request uses what is destroyed after.
    callers_.reset();
    admin_.reset();
    instance_list_.reset();
    store_reader_.reset();
    monitor_.reset();
    hub_.reset();
    claims_.reset();
    budget_.reset();
  }

  auto Start() -> Result<void> {
    const auto digest_key = DigestKey::FromFile(settings_.key_files.digest);
    if (!digest_key) return tl::unexpected(digest_key.error());
    if (!settings_.key_files.upstream_credential.empty()) {
      auto credential = ReadSecretFile(settings_.key_files.upstream_credential);
      if (!credential) return tl::unexpected(credential.error());
      state_.upstream_credential = std::move(*credential);
    }
    const auto fleet_text = ReadSecretFile(settings_.key_files.fleet);
    if (!fleet_text) return tl::unexpected(fleet_text.error());
    const auto fleet_key = FleetKey::Parse(*fleet_text);
    if (!fleet_key) return tl::unexpected(fleet_key.error());
    state_.json_limits.max_depth =
        static_cast<int>(settings_.limits.json_depth);
    if (auto started = StartPeers(*fleet_key); !started) return started;
    if (auto started = StartListeners(); !started) return started;
    StartControl(*digest_key);
    return {};
  }

  auto Drain() -> void {
    const auto begin = MonotonicNow();
    const auto end = begin + settings_.stop_grace - kStopReserve;
    state_.final_answers_at = begin + settings_.stop_grace - kFinalAnswerTime;
    draining_ = true;
    LogState(LogSeverity::kInfo, "draining");
    callers_->BeginDrain();
    hub_->Leave();
    std::this_thread::sleep_until(std::min<Timestamp>(
        begin + settings_.drain, state_.final_answers_at.load()));
    state_.refuses_requests = true;
    if (const auto lost = callers_->StopAccepting(); lost > 0) {
      LogState(LogSeverity::kWarning,
               "callers' connections closed at the stop: " +
                   std::to_string(lost) + "; raise limits.connections");
    }
    while (callers_->OpenConnections() > 0 && MonotonicNow() < end) {
      if (callers_->ActiveRequests() == 0) callers_->CloseIdleConnections();
      std::this_thread::sleep_for(kDrainPoll);
    }
    if (const auto open = callers_->ActiveRequests(); open > 0) {
      LogState(LogSeverity::kWarning,
               "requests open at the end of stop_grace: " +
                   std::to_string(open) + "; raise stop_grace");
    }
    LogState(LogSeverity::kInfo, "drained");
  }

 private:
  auto StartListeners() -> Result<void> {
    HttpServerOptions callers;
    callers.address = settings_.listen.callers.host;
    callers.port = settings_.listen.callers.port;
    callers.max_header_bytes =
        static_cast<std::size_t>(settings_.limits.header.Value());
    callers.max_body_bytes =
        static_cast<std::size_t>(settings_.limits.body.Value());
    callers.request_timeout = settings_.limits.header_timeout;
    callers.max_connections =
        static_cast<unsigned>(settings_.limits.connections);
    handler_ = std::make_unique<RequestHandler>(
        state_, [this](const ClientAccountId& account, Tokens amount,
                       Duration& retry_after) {
          return budget_->Charge(account, amount, retry_after);
        });
    handler_->SetClaims(claims_.get());
    auto server = HttpServer::Start(
        callers, [this](const auto& request, const auto& caller) {
          return handler_->Handle(request, caller);
        });
    if (!server) return tl::unexpected(server.error());
    callers_ = std::move(*server);
    HttpServerOptions admin;
    admin.address = settings_.listen.admin.host;
    admin.port = settings_.listen.admin.port;
    auto admin_server =
        HttpServer::Start(admin, [this](const auto& request, const auto&) {
          return HandleAdmin(request);
        });
    if (!admin_server) return tl::unexpected(admin_server.error());
    admin_ = std::move(*admin_server);
    return {};
  }

  auto StartPeers(const FleetKey& key) -> Result<void> {
    budget_ = std::make_unique<BudgetService>(
        self_, std::make_unique<ObjectStore>(OpenStore()),
        [this](const MemberId& to, const BudgetMessage& message) {
          if (hub_ready_) hub_->SendBudget(to, message);
        },
        state_.metrics);
    claims_ = std::make_unique<ClaimService>(
        self_, std::make_unique<ObjectStore>(OpenStore()),
        [this](const MemberId& to, const ClaimMessage& message) {
          if (hub_ready_) hub_->SendClaim(to, message);
        },
        state_.metrics);
    PeerEvents events;
    events.on_claim = [this](const ClaimMessage& message) {
      claims_->OnMessage(message);
    };
    events.on_budget = [this](const BudgetMessage& message) {
      budget_->OnMessage(message);
    };
    events.on_demand = [this](const ModelDemandReport& report) {
      if (started_) placement_->OnDemand(report);
    };
    events.on_gone = [this](const MemberId& member) {
      budget_->OnMemberTerminated(member);
      claims_->OnMemberTerminated(member);
    };
    events.on_live = [this](std::set<MemberId> live) {
      claims_->SetLiveMembers(live);
      budget_->SetLiveMembers(std::move(live));
    };
    events.on_proof = [this](RevisionNumber revision, Timestamp proved_at) {
      if (started_) control_->Send(PeerProof{revision, proved_at});
    };
    auto hub = PeerHub::Start(settings_, self_, key, std::move(events),
                              state_.metrics);
    if (!hub) return tl::unexpected(hub.error());
    hub_ = std::move(*hub);
    hub_ready_ = true;
    return {};
  }

  // Tells other daemons about this one's revision and demand.
  auto ReportToPeers() -> void {
    auto next_demand = MonotonicNow();
    while (!stopping_) {
      std::this_thread::sleep_for(kStatusInterval);
      const auto snapshot = state_.snapshot.Load();
      if (snapshot) {
        hub_->SetConfigRevision(snapshot->revision, control_->CurrencyAge());
      }
      if (MonotonicNow() < next_demand) continue;
      next_demand = MonotonicNow() + kDemandInterval;
      LiveDaemons live;
      for (const auto& peer : hub_->Status()) {
        const bool serves = peer.state == MemberState::kLive ||
                            peer.state == MemberState::kSuspected;
        if (serves) live.daemons.insert(peer.instance);
      }
      control_->Send(std::move(live));
      SendDemand();
    }
  }

  auto SendDemand() -> void {
    const auto owner = placement_->Owner();
    if (!owner) return;
    ModelDemandReport report;
    {
      const std::lock_guard lock(state_.demand_mutex);
      report = state_.demand.TakeReport();
    }
    if (*owner == self_) {
      placement_->OnDemand(report);
    } else {
      hub_->SendDemand(*owner, report);
    }
  }

  auto StartControl(const DigestKey& digest_key) -> void {
    control_ = std::make_unique<ControlLoop>(state_, digest_key, settings_);
    const auto send = [this](ControlEvent event) {
      control_->Send(std::move(event));
    };
    placement_ = std::make_unique<PlacementService>(
        self_, std::make_unique<ObjectStore>(OpenStore()), state_.metrics);
    monitor_ = std::make_unique<UpstreamMonitor>(
        [this, send](const UpstreamObservation& observation) {
          placement_->OnObservation(observation);
          send(observation);
        },
        kPollInterval);
    control_->SetListeners(
        [this](const SharedSnapshot& snapshot) {
          monitor_->SetDocument(snapshot);
          placement_->SetDocument(snapshot);
          budget_->SetDocument(*snapshot);
        },
        [this](const std::set<UpstreamId>& leaving) {
          placement_->SetLeaving(leaving);
        },
        [this](Timestamp since) { return hub_->ZonesHeardSince(since); });
    store_reader_ =
        std::make_unique<StoreReader>([this] { return OpenStore(); }, send);
    instance_list_ = std::make_unique<InstanceListReader>(
        TargetOf(settings_.platform.instance_list),
        [this, send](ControlEvent event) {
          if (const auto* list = std::get_if<InstanceListRead>(&event)) {
            hub_->SetInstanceList(*list);
          }
          send(std::move(event));
        });
    started_ = true;
    reporter_ = std::thread([this] { ReportToPeers(); });
  }

  auto OpenStore() const -> ObjectStore {
    HttpObjectStoreSettings store;
    store.host = settings_.platform.object_api.host;
    store.port = settings_.platform.object_api.port;
    return ObjectStore(HttpObjectStore(store));
  }

  auto IsReady() const -> bool {
    return control_ && control_->IsReady() && !draining_ && !state_.isolated;
  }

  auto HandleAdmin(const HttpRequest& request) -> HttpResponse {
    if (request.path == "/live") {
      return PlainResponse(200, "ok\n", "text/plain");
    }
    if (request.path == "/ready") {
      return IsReady() ? PlainResponse(200, "ok\n", "text/plain")
                       : PlainResponse(503, "not ready\n", "text/plain");
    }
    if (request.path == "/metrics") {
      state_.metrics.Set(Level::kOpenRequests,
                         static_cast<double>(callers_->ActiveRequests()));
      return PlainResponse(200, state_.metrics.Text(),
                           "text/plain; version=0.0.4");
    }
    if (request.path == "/status") {
      return PlainResponse(200, Status().dump(), "application/json");
    }
    return PlainResponse(404, "not found\n", "text/plain");
  }

  auto BudgetsStatus() const -> nlohmann::json {
    auto budgets = nlohmann::json::object();
    for (const auto& status : budget_->Status()) {
      budgets[status.budget.Value()] = {
          {"share_ppm", status.share.Value()},
          {"available", status.available.Value()}};
    }
    return budgets;
  }

  auto MembersStatus() const -> nlohmann::json {
    auto members = nlohmann::json::object();
    for (const auto& status : hub_->Status()) {
      members[status.instance.Value()] = MemberStateName(status.state);
    }
    return members;
  }

  auto Status() const -> nlohmann::json {
    const auto snapshot = state_.snapshot.Load();
    return {{"instance", settings_.instance.Value()},
            {"availability_zone", settings_.availability_zone.Value()},
            {"incarnation", incarnation_.Value()},
            {"revision", snapshot ? snapshot->revision.Value() : 0},
            {"ready", IsReady()},
            {"draining", draining_.load()},
            {"isolated", state_.isolated.load()},
            {"placement_owner", placement_->IsOwner()},
            {"budget_owner", budget_->IsOwner()},
            {"claim_shards_owned", claims_->OwnedShards()},
            {"budgets", BudgetsStatus()},
            {"members", MembersStatus()},
            {"currency_age_ms",
             std::chrono::duration_cast<std::chrono::milliseconds>(
                 control_->CurrencyAge())
                 .count()},
            {"open_requests", callers_->ActiveRequests()}};
  }

  DaemonSettings settings_;
  Incarnation incarnation_;
  MemberId self_;
  SharedState state_;
  std::atomic<bool> draining_{false};
  std::atomic<bool> hub_ready_{false};
  // Set when control and placement exist; messages before are dropped.
  std::atomic<bool> started_{false};
  std::atomic<bool> stopping_{false};
  std::unique_ptr<BudgetService> budget_;
  std::unique_ptr<ClaimService> claims_;
  std::unique_ptr<PeerHub> hub_;
  std::thread reporter_;
  std::unique_ptr<RequestHandler> handler_;
  std::unique_ptr<ControlLoop> control_;
  std::unique_ptr<PlacementService> placement_;
  std::unique_ptr<UpstreamMonitor> monitor_;
  std::unique_ptr<StoreReader> store_reader_;
  std::unique_ptr<InstanceListReader> instance_list_;
  // Last, so that no request runs while the rest is destroyed.
  std::unique_ptr<HttpServer> admin_;
  std::unique_ptr<HttpServer> callers_;
};

Daemon::Daemon(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

Daemon::~Daemon() = default;

auto Daemon::Start(const DaemonSettings& settings, Incarnation incarnation)
    -> Result<std::unique_ptr<Daemon>> {
  auto implementation = std::make_unique<Implementation>(settings, incarnation);
  if (auto started = implementation->Start(); !started) {
    return tl::unexpected(started.error());
  }
  return std::unique_ptr<Daemon>(new Daemon(std::move(implementation)));
}

auto Daemon::Drain() -> void { implementation_->Drain(); }

}  // namespace dotterellug
