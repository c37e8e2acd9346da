#include "daemon/app/daemon.h"

#include <atomic>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "daemon/control/control_loop.h"
#include "daemon/control/instance_list_reader.h"
#include "daemon/control/placement_service.h"
#include "daemon/control/store_reader.h"
#include "daemon/state/shared_state.h"
#include "daemon/traffic/request_handler.h"

namespace dotterellug {
namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(250);
constexpr Duration kDrainPoll = std::chrono::milliseconds(20);

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

auto TargetOf(const SocketAddress& address) -> UpstreamTarget {
  return {address.host, address.port};
}

}  // namespace

class Daemon::Implementation {
 public:
  Implementation(const DaemonSettings& settings, Incarnation incarnation)
      : settings_(settings),
        incarnation_(incarnation),
        state_(settings.instance, incarnation, AdmissionOptions{}) {}

  auto Start() -> Result<void> {
    const auto digest_key = DigestKey::FromFile(settings_.key_files.digest);
    if (!digest_key) return tl::unexpected(digest_key.error());
    if (!settings_.key_files.upstream_credential.empty()) {
      auto credential = ReadSecretFile(settings_.key_files.upstream_credential);
      if (!credential) return tl::unexpected(credential.error());
      state_.upstream_credential = std::move(*credential);
    }
    state_.json_limits.max_depth =
        static_cast<int>(settings_.limits.json_depth);
    if (auto started = StartListeners(); !started) return started;
    StartControl(*digest_key);
    return {};
  }

  auto Drain() -> void {
    draining_ = true;
    LogState(LogSeverity::kInfo, "draining");
    std::this_thread::sleep_for(settings_.drain);
    callers_->StopAccepting();
    while (callers_->ActiveRequests() > 0) {
      std::this_thread::sleep_for(kDrainPoll);
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
        state_, [](const ClientAccountId&, Tokens, Duration&) {
          return std::optional(BudgetCharge{[](std::int64_t) {}});
        });
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

  auto StartControl(const DigestKey& digest_key) -> void {
    control_ = std::make_unique<ControlLoop>(state_, digest_key, settings_);
    const auto send = [this](ControlEvent event) {
      control_->Send(std::move(event));
    };
    const MemberId self{settings_.instance, incarnation_};
    placement_ = std::make_unique<PlacementService>(
        self, std::make_unique<ObjectStore>(OpenStore()), state_.metrics);
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
        },
        [this](const std::set<UpstreamId>& leaving) {
          placement_->SetLeaving(leaving);
        });
    store_reader_ =
        std::make_unique<StoreReader>([this] { return OpenStore(); }, send);
    instance_list_ = std::make_unique<InstanceListReader>(
        TargetOf(settings_.platform.instance_list), send);
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
            {"currency_age_ms",
             std::chrono::duration_cast<std::chrono::milliseconds>(
                 control_->CurrencyAge())
                 .count()},
            {"open_requests", callers_->ActiveRequests()}};
  }

  DaemonSettings settings_;
  Incarnation incarnation_;
  SharedState state_;
  std::atomic<bool> draining_{false};
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
