#include "soak/world.h"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>
#include <utility>

#include "platform/standins/platform_documents.h"
#include "platform/standins/upstream_standin.h"
#include "platform/wire/names.h"
#include "soak/status_request.h"

namespace dotterellug::soak {
namespace {

constexpr Seconds kCalmBegin = 3;
// Longer than the grace period.
constexpr Seconds kCalmEnd = 10;
constexpr Seconds kReadyTimeout = 15;
// Between two questions whether a daemon is ready.
constexpr Seconds kReadyPause = 0.1;
// Mean time between two faults; several last at the same time.
constexpr Seconds kFaultPause = 0.9;
constexpr std::int64_t kLimitedRate = 20;
constexpr std::int64_t kLimitedBurst = 30;
const std::vector<std::string> kModels{"m1", "m2", "m3", "m4"};
constexpr const char* kPatientModel = "m5";
constexpr Seconds kShortestLoad = 2;
constexpr Seconds kLongestLoad = 20;
// Pauses between two signals of a series.
constexpr Seconds kShortestRollPause = 0.05;
constexpr Seconds kLongestRollPause = 0.4;
// A series ends within this part of the run.
constexpr double kLongestRollPart = 0.4;
constexpr Seconds kLagInterval = 0.02;
// The system has linked a process by then.
constexpr Seconds kLinkTime = 0.2;
constexpr std::uint64_t kPlannedWorkSeeds = 3;
constexpr Seconds kBackupPause = 0.5;
constexpr Seconds kOldestBackup = 6;
constexpr Seconds kRestorePause = 6;
constexpr Seconds kBreakPause = 3;
constexpr Seconds kForeignPause = 1.5;
// Objects of another writer come within the first time, stay longer than a
// daemon may take to become ready, and go within the same time again.
constexpr Seconds kForeignChange = 2;
constexpr Seconds kForeignStay = 10;
constexpr double kForeignPart = 0.75;
constexpr std::size_t kMostPageSize = 4;
constexpr double kBrokenPart = 0.3;
constexpr double kUploadPart = 0.2;
// Until the operator writes the configuration again.
constexpr Seconds kOperatorTime = 1.5;
// The store drops the entry of an upstream that has ended: three heartbeats.
constexpr Seconds kEntryLifetime = 3.6;
// Within this time after a restore, what daemons know may be old.
constexpr Seconds kRestoreEffect = 7;
// Seeds that are not multiples have a prompt part that ends engines.
constexpr std::uint64_t kSeedsWithoutBadPart = 2;
constexpr const char* kBadPart = "badbad01";
constexpr Seconds kBadPartBegin = 4;
constexpr Seconds kShortestRestart = 0.5;
constexpr Seconds kLongestRestart = 3;
constexpr Seconds kShortestTerms = 5;
constexpr Seconds kLongestTerms = 12;
constexpr double kHighestStatedRate = 5;
constexpr Seconds kShortestPause = 1;
const std::vector<int> kFailureStatuses{500, 503, 429};
constexpr Duration kProbePause = std::chrono::milliseconds(10);
// When the store turns away many daemons at once.
constexpr double kTurnedAwayPart = 0.35;
constexpr Seconds kShortestTurnAway = 3;
constexpr Seconds kLongestTurnAway = 9;
const std::vector<std::string> kZones{"a", "b"};
constexpr const char* kPlainPool = "plain";
// Routes move there and back.
constexpr const char* kOtherPlainPool = "plain-b";
constexpr Duration kHostilePause = std::chrono::milliseconds(40);
constexpr Seconds kProcessWatchInterval = 0.05;
constexpr int kStormChanges = 12;
constexpr Seconds kStormPause = 0.2;
constexpr std::size_t kMostSpareRoutes = 60;
constexpr std::size_t kOddEntryNames = 4;
constexpr const char* kEnginePool = "engines";

// The extended faults.
constexpr Seconds kExtendedFaultPause = 1.2;
constexpr double kRefusedPart = 0.3;
constexpr double kRepeatedPart = 0.7;
const std::vector<int> kRefusalStatuses{503, 429};
// At a time; new ones take their place after a pause.
constexpr int kFormerEntries = 3;
constexpr Seconds kFormerPause = 0.25;

}  // namespace

struct World::Daemon {
  Daemon(boost::asio::io_context& loop, const SocketAddress& store,
         DaemonPlan process_plan)
      : store_link(loop, store), process(std::move(process_plan)) {}

  FaultProxy store_link;
  DaemonProcess process;
  SocketAddress readiness;
  // From which its settings file is made, and the path of that.
  platform::DaemonPlace place;
  std::string settings;
  // A fault of the process is under way.
  bool busy = false;
  // It was told or made to end.
  bool ending = false;
  Seconds started_at = 0;
  // Index of the planned stop that is under way.
  std::optional<std::size_t> stop;
};

struct World::Upstream {
  Upstream(boost::asio::io_context& loop, platform::StoreStandin& store,
           platform::UpstreamObserver observer, platform::UpstreamPlan plan,
           std::uint64_t seed)
      : backend(loop, store, std::move(observer), std::move(plan), seed),
        link(loop, backend.Address()) {}

  platform::UpstreamStandin backend;
  FaultProxy link;
  bool gone = false;
  // It has stated terms, or still does.
  bool states_terms = false;
};

World::World(WorldPlan plan)
    : plan_(std::move(plan)),
      began_(MonotonicNow()),
      random_(plan_.seed),
      store_(loop_, plan_.seed + 1),
      callers_(
          loop_, ledger_, [this] { return Now(); }, plan_.seed),
      probes_(
          loop_, ledger_, [this] { return Now(); }, plan_.seed + 3),
      later_random_(plan_.seed + 4),
      extended_random_(plan_.seed + 5),
      settings_random_(plan_.seed + 8),
      restore_random_(plan_.seed + 6),
      break_random_(plan_.seed + 7),
      foreign_random_(plan_.seed + 9),
      hostile_(loop_, plan_.seed + 2) {
  if (plan_.restores) store_.StateEpoch(1);
  if (plan_.foreign_names) {
    page_size_ = 1 + foreign_random_.Below(kMostPageSize);
    store_.SetPageSize(page_size_);
  }
  callers_.models = kModels;
  callers_.patient_model = kPatientModel;
  callers_.keys = {{"open", "key-open"}, {"limited", "key-limited"}};
  ledger_.accounts["limited"] = {static_cast<double>(kLimitedRate),
                                 static_cast<double>(kLimitedBurst)};
  ChangeKeys();
  for (const auto& zone : kZones) {
    AddUpstream(kPlainPool, zone, {});
    AddUpstream(kPlainPool, zone, {});
    AddUpstream(kOtherPlainPool, zone, {});
    AddUpstream(kEnginePool, zone, {"m1", "m2"});
    AddUpstream(kEnginePool, zone, {"m3", "m4"});
  }
  for (std::size_t i = 0; i < plan_.daemons; ++i) AddDaemon(i);
}

World::~World() = default;

auto World::Now() const -> Seconds {
  return ToSeconds(MonotonicNow() - began_);
}

auto World::After(Seconds delay, std::function<void()> then) -> void {
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      loop_, FromSeconds(std::max(delay, 0.0)));
  timer->async_wait(
      [timer, then = std::move(then)](boost::system::error_code error) {
        if (!error) then();
      });
}

auto World::AddDaemon(std::size_t index) -> void {
  // Addresses of its own for each run, so that runs can go on side by side.
  const auto process = static_cast<unsigned>(::getpid());
  const auto ip = "127." + std::to_string(20 + process % 200) + "." +
                  std::to_string(process / 200 % 250) + "." +
                  std::to_string(index + 1);
  const auto name = "d" + std::to_string(index + 1);
  const auto file = plan_.work + "/" + name + ".json";
  const DaemonPlan process_plan{plan_.program,
                                platform::SettingsEnvironment(file),
                                plan_.work + "/" + name + ".log"};
  auto daemon = std::make_unique<Daemon>(loop_, store_.Address(), process_plan);
  const platform::DaemonPlace place{name, ip, kZones[index % kZones.size()],
                                    daemon->store_link.Address()};
  std::ofstream(file) << platform::MakeSettingsFile(place);
  daemon->place = place;
  daemon->settings = file;
  daemon->readiness = place.Readiness();
  callers_.targets.push_back({place.Callers(), true});
  hostile_.targets.push_back(place.Callers());
  daemons_.push_back(std::move(daemon));
}

auto World::AddUpstream(const std::string& pool, const std::string& zone,
                        std::vector<std::string> models) -> void {
  platform::UpstreamPlan plan;
  plan.id = pool + "-" + std::to_string(++upstream_number_);
  plan.pool = pool;
  plan.zone = zone;
  plan.slots = 16;
  plan.models = std::move(models);
  const auto seed = plan_.seed + static_cast<std::uint64_t>(upstream_number_);
  platform::UpstreamObserver observer;
  observer.on_run = [this, id = plan.id](const auto& request,
                                         const auto& account) {
    ledger_.runs.push_back({request, account, id, Now()});
  };
  observer.on_arrival = [this, id = plan.id](const auto& request) {
    ledger_.arrivals.push_back({request, id, Now()});
  };
  observer.on_statement = [this, id = plan.id](const auto& request,
                                               const auto& terms,
                                               bool rejected) {
    ledger_.statements.push_back(
        {request, id, Now(), terms.requests_per_second.value_or(-1),
         rejected ? ToSeconds(terms.pause) : -1, terms.leaving});
  };
  observer.on_crash = [this, id = plan.id] {
    ledger_.crashes.push_back({kBadPart, Now()});
    NoteUpstream(id, "ends under a prompt", kLongestRestart);
  };
  observer.on_order = [this, id = plan.id](const auto& holder, auto fence) {
    ledger_.orders.push_back({id, holder, fence, Now()});
  };
  upstreams_.push_back(std::make_unique<Upstream>(
      loop_, store_, std::move(observer), std::move(plan), seed));
  auto& upstream = *upstreams_.back();
  upstream.link.on_broken_head =
      [this, id = upstream.backend.Plan().id](const auto& request) {
        ForgetStatement(id, request);
      };
  DrawLoadTime(upstream);
  if (!callers_.bad_part.empty()) SetCrashPlan(upstream);
  upstream.backend.Register(upstream.link.Address());
}

auto World::WriteConfiguration() -> void {
  platform::ConfigurationPlan plan;
  plan.version = ++version_;
  const auto* plain = plain_moved_ ? kOtherPlainPool : kPlainPool;
  plan.routes = {{"once", "non_idempotent", plain, plain_timeout_},
                 {"read", "idempotent", plain, plain_timeout_},
                 {"stream", "stream", kEnginePool, std::chrono::seconds(5)},
                 {"single", "stream", kEnginePool, std::chrono::seconds(5),
                  std::chrono::milliseconds(400), false},
                 {"draft", "stream", kEnginePool, std::chrono::seconds(15),
                  std::chrono::seconds(3)}};
  for (std::size_t i = 0; i < spare_routes_; ++i) {
    plan.routes.push_back({"spare-" + std::to_string(i), "idempotent", plain,
                           std::chrono::seconds(2)});
  }
  for (const auto& route : ConfigProbes::RoutesOf(version_)) {
    plan.routes.push_back(
        {route, "idempotent", plain, std::chrono::seconds(2)});
  }
  plan.plain_pools = {kPlainPool, kOtherPlainPool};
  plan.engine_pool = kEnginePool;
  plan.models = kModels;
  plan.models.emplace_back(kPatientModel);
  plan.accounts = {{"open", {"key-open", "key-" + std::to_string(key_number_)}},
                   {"limited", {"key-limited"}, kLimitedRate, kLimitedBurst}};
  platform::PutConfiguration(store_, plan);
  probes_.NoteWritten(version_);
}

// Removes the key that changes and adds another one. Callers go on using the
// removed key for a while.
auto World::ChangeKeys() -> void {
  if (key_number_ > 0) {
    Note("configuration", FaultScope::kPlannedWork, -1, 0);
  }
  const auto removed = "key-" + std::to_string(key_number_);
  ++key_number_;
  WriteConfiguration();
  if (key_number_ > 1) ledger_.key_removals.push_back({removed, Now()});
  callers_.keys.resize(2);
  if (key_number_ > 1) callers_.keys.push_back({"open", removed});
  callers_.keys.push_back({"open", "key-" + std::to_string(key_number_)});
}

auto World::ChangeConfiguration() -> void {
  switch (random_.Below(4)) {
    case 0:
      return ChangeKeys();
    case 1:
      plain_moved_ = !plain_moved_;
      break;
    case 2:
      spare_routes_ = random_.Below(kMostSpareRoutes);
      break;
    default:
      // Never below the callers' own limit.
      plain_timeout_ = std::chrono::seconds(2 + random_.Below(3));
      break;
  }
  Note("configuration", FaultScope::kPlannedWork, -1, 0);
  WriteConfiguration();
}

auto World::BeginConfigurationStorm() -> void {
  for (int i = 0; i < kStormChanges; ++i) {
    After(kStormPause * i, [this] { ChangeConfiguration(); });
  }
}

auto World::WriteOddEntry() -> void {
  Note("odd entry", FaultScope::kPlannedWork, -1, 0);
  platform::PutOddEntry(store_,
                        "odd-" + std::to_string(random_.Below(kOddEntryNames)),
                        static_cast<int>(random_.Below(platform::kOddEntries)));
}

auto World::DrawForeignNames() -> void {
  const auto kinds = platform::ListedKinds();
  const auto kind = kinds[foreign_random_.Below(kinds.size())];
  Note("foreign names in " + kind, FaultScope::kPlannedWork, -1,
       kForeignStay + kForeignChange);
  for (const auto& name : platform::ForeignNames()) {
    if (foreign_random_.Uniform() > kForeignPart) continue;
    const auto form = foreign_random_.Below(platform::kForeignForms);
    After(kForeignChange * foreign_random_.Uniform(), [this, kind, name, form] {
      platform::PutForeignObject(store_, kind, name, static_cast<int>(form));
    });
    After(kForeignStay + kForeignChange * foreign_random_.Uniform(),
          [this, kind, name] { store_.Remove(kind, name); });
  }
  // Planned work alone must go unnoticed, which a kill does not.
  const auto index = foreign_random_.Below(daemons_.size());
  if (plan_.seed % kPlannedWorkSeeds == 0) return;
  After(kForeignChange * (1 + foreign_random_.Uniform()),
        [this, index] { KillDaemon(index); });
}

auto World::WatchStart(std::size_t index, std::size_t start) -> void {
  if (daemons_[index]->started_at != ledger_.starts[start].at) return;
  RequestStatus(loop_, daemons_[index]->readiness, platform::ReadinessRequest(),
                [this, index, start](int status) {
                  if (status == 200) {
                    ledger_.starts[start].ready_at = Now();
                    return;
                  }
                  After(kReadyPause,
                        [this, index, start] { WatchStart(index, start); });
                });
}

auto World::WatchProcesses() -> void {
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    auto& daemon = *daemons_[i];
    if (daemon.ending || daemon.process.Running()) continue;
    daemon.ending = true;
    daemon.busy = true;
    ledger_.own_ends.push_back({i, Now(), daemon.process.EndStatus()});
    RestartWhenGone(i);
  }
  After(kProcessWatchInterval, [this] { WatchProcesses(); });
}

auto World::WaitUntilReady() -> Result<void> {
  std::size_t ready = 0;
  std::function<void(std::size_t)> ask = [&](std::size_t index) {
    RequestStatus(loop_, daemons_[index]->readiness,
                  platform::ReadinessRequest(), [&, index](int status) {
                    if (status == 200) {
                      ++ready;
                    } else {
                      After(kReadyPause, [&, index] { ask(index); });
                    }
                  });
  };
  for (std::size_t i = 0; i < daemons_.size(); ++i) ask(i);
  const auto end = Now() + kReadyTimeout;
  while (ready < daemons_.size() && Now() < end) {
    loop_.run_one_for(std::chrono::milliseconds(50));
  }
  if (ready == daemons_.size()) return {};
  return Fail(
      ErrorKind::kUnavailable,
      std::to_string(daemons_.size() - ready) + " daemons did not become ready",
      "read their logs in " + plan_.work);
}

auto World::Run() -> Result<void> {
  for (auto& daemon : daemons_) {
    const auto started = daemon->process.Start();
    if (!started) return started;
  }
  const auto ready = WaitUntilReady();
  if (!ready) return ready;
  const auto begin = Now();
  callers_.Start(FromSeconds(1 / plan_.rate));
  probes_.Start(kProbePause, callers_.targets);
  hostile_.key = "key-open";
  hostile_.Start(kHostilePause);
  WatchLag();
  WatchProcesses();
  const auto faults_end = begin + plan_.seconds - kCalmEnd;
  std::function<void()> next = [&] {
    if (Now() > faults_end) return;
    if (plan_.seed % kPlannedWorkSeeds == 0) {
      DrawPlannedWork();
    } else {
      DrawFault();
    }
    After(kFaultPause * 2 * random_.Uniform(), next);
  };
  After(kCalmBegin, next);
  std::function<void()> next_extended = [&] {
    if (Now() > faults_end) return;
    DrawExtendedFault();
    After(kExtendedFaultPause * 2 * extended_random_.Uniform(), next_extended);
  };
  if (plan_.extended_faults) After(kCalmBegin, next_extended);
  std::function<void()> next_restore = [&] {
    if (Now() > faults_end) return;
    DrawRestore();
    After(kRestorePause * 2 * restore_random_.Uniform(), next_restore);
  };
  // Planned work alone must go unnoticed, which a restore does not.
  if (plan_.restores && plan_.seed % kPlannedWorkSeeds != 0) {
    BackUpStore();
    After(kCalmBegin, next_restore);
  }
  std::function<void()> next_break = [&] {
    if (Now() > faults_end) return;
    DrawBrokenAnswers();
    After(kBreakPause * 2 * break_random_.Uniform(), next_break);
  };
  if (plan_.broken_answers) {
    callers_.upload_part = kUploadPart;
    After(kCalmBegin, next_break);
  }
  std::function<void()> next_foreign = [&] {
    if (Now() > faults_end) return;
    DrawForeignNames();
    After(kForeignPause * 2 * foreign_random_.Uniform(), next_foreign);
  };
  if (plan_.foreign_names) After(kCalmBegin, next_foreign);
  if (plan_.seed % kSeedsWithoutBadPart != 0) {
    After(kBadPartBegin, [this] { BeginBadPart(); });
  }
  loop_.run_for(std::chrono::duration_cast<std::chrono::nanoseconds>(
      FromSeconds(begin + plan_.seconds - Now())));
  callers_.Stop();
  hostile_.Stop();
  return {};
}

auto World::Note(const std::string& name, FaultScope scope, int daemon,
                 Seconds duration) -> void {
  ledger_.faults.push_back({name, scope, daemon, Now(), Now() + duration});
}

auto World::NoteUpstream(const std::string& id, const std::string& name,
                         Seconds duration) -> void {
  Note(id + " " + name, FaultScope::kUpstream, -1, duration);
  ledger_.faults.back().upstream = id;
}

auto World::DrawFault() -> void {
  const auto daemon = random_.Below(daemons_.size());
  const auto upstream = random_.Below(upstreams_.size());
  const auto duration = 0.5 + 3 * random_.Uniform();
  switch (random_.Below(16)) {
    case 14:
      return KillAll();
    case 15:
      return WriteOddEntry();
    case 0:
      return KillDaemon(daemon);
    case 1:
      return PauseDaemon(daemon, duration);
    case 2:
      return StopDaemon(daemon);
    case 3:
      return HarmStore(duration);
    case 4:
      return HarmStoreLinks(daemon, duration);
    case 5:
    case 6:
      return HarmUpstream(upstream, duration);
    case 7:
      return ReplaceUpstream(upstream);
    case 8:
      return ChangeKeys();
    case 9:
      return ReloadDaemon(daemon);
    case 10:
    case 11:
      return StateTerms(upstream);
    default:
      return DrawPlannedWork();
  }
}

auto World::DrawPlannedWork() -> void {
  switch (random_.Below(9)) {
    case 6:
    case 7:
      return BeginConfigurationStorm();
    case 8:
      return WriteOddEntry();
    case 0:
    case 1:
      return RollSignal(SIGTERM);
    case 2:
      return RollSignal(SIGHUP);
    case 3:
      return StopDaemon(random_.Below(daemons_.size()));
    case 4:
      return ChangeKeys();
    default:
      return EvictPatientModel();
  }
}

auto World::DrawExtendedFault() -> void {
  auto upstream = extended_random_.Below(upstreams_.size());
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    if (!upstreams_[upstream]->gone) break;
    upstream = (upstream + 1) % upstreams_.size();
  }
  const auto duration = 1 + 3 * extended_random_.Uniform();
  const bool planned = plan_.seed % kPlannedWorkSeeds == 0;
  switch (extended_random_.Below(planned ? 6 : 7)) {
    case 0:
      return RepeatAnswers(upstream, duration);
    case 1:
      for (std::size_t i = 0; i < upstreams_.size(); ++i) {
        RepeatAnswers(i, duration);
      }
      return StopTwoDaemons();
    case 2:
    case 3:
      return AddFormerEntries(upstream, duration);
    case 4:
      return StopTwoDaemons();
    case 5:
      ReplaceAsPlanned(upstream);
      return StopDaemon(extended_random_.Below(daemons_.size()));
    default:
      return PauseAroundStop(extended_random_.Below(daemons_.size()));
  }
}

auto World::RepeatAnswers(std::size_t index, Seconds duration) -> void {
  auto& upstream = *upstreams_[index];
  if (upstream.gone) return;
  // Callers must notice nothing, as with planned work.
  Note(upstream.backend.Plan().id + " answers twice", FaultScope::kPlannedWork,
       -1, duration);
  const auto status =
      kRefusalStatuses[extended_random_.Below(kRefusalStatuses.size())];
  const bool names_itself = extended_random_.Below(2) == 0;
  upstream.backend.SetRefusals({kRefusedPart, status, names_itself});
  upstream.link.RepeatAnswers(kRepeatedPart, extended_random_.Next());
  After(duration, [&upstream] {
    upstream.backend.SetRefusals({});
    upstream.link.RepeatAnswers(0, 0);
  });
}

auto World::AddFormerEntries(std::size_t index, Seconds duration) -> void {
  auto& upstream = *upstreams_[index];
  if (upstream.gone) return;
  RepeatAnswers(index, duration);
  Note(upstream.backend.Plan().id + " has the address of former instances",
       FaultScope::kPlannedWork, -1, duration);
  ReplaceFormerEntries(upstream, {}, Now() + duration);
}

// Daemons stop trying an entry that was answered for another instance, so new
// ones follow.
auto World::ReplaceFormerEntries(Upstream& upstream,
                                 const std::vector<std::string>& entries,
                                 Seconds end) -> void {
  for (const auto& id : entries) upstream.backend.RemoveFormerEntry(id);
  if (upstream.gone || Now() >= end) return;
  std::vector<std::string> added;
  for (int i = 0; i < kFormerEntries; ++i) {
    added.push_back("former-" + std::to_string(++former_number_));
    upstream.backend.WriteFormerEntry(added.back());
  }
  After(kFormerPause, [this, &upstream, added, end] {
    ReplaceFormerEntries(upstream, added, end);
  });
}

auto World::StopTwoDaemons() -> void {
  const auto first = extended_random_.Below(daemons_.size());
  StopDaemon(first);
  StopDaemon((first + 1) % daemons_.size());
}

auto World::PauseAroundStop(std::size_t index) -> void {
  constexpr Seconds kLongestLead = 0.3;
  constexpr Seconds kLongestPause = 0.8;
  if (daemons_[index]->busy) return;
  const bool before = extended_random_.Below(2) == 0;
  const auto lead = kLongestLead * extended_random_.Uniform();
  const auto pause = lead + kLongestPause * extended_random_.Uniform();
  Note("pause around a stop", FaultScope::kProcess, static_cast<int>(index),
       lead + pause);
  const auto pause_now = [this, index, pause] {
    daemons_[index]->process.Signal(SIGSTOP);
    After(pause, [this, index] { daemons_[index]->process.Signal(SIGCONT); });
  };
  if (before) {
    pause_now();
    After(lead, [this, index] { StopDaemon(index); });
  } else {
    StopDaemon(index);
    After(lead, pause_now);
  }
}

auto World::SignalEarly(std::size_t index) -> void {
  constexpr Seconds kTime = 0.02;
  constexpr std::size_t kMostSignals = 3;
  constexpr std::size_t kReloadsPerStop = 3;
  const auto count = 1 + extended_random_.Below(kMostSignals);
  for (std::size_t i = 0; i < count; ++i) {
    const bool stops = extended_random_.Below(kReloadsPerStop + 1) == 0;
    After(kTime * extended_random_.Uniform(), [this, index, stops] {
      if (stops) return StopEarly(index);
      Note("early reload", FaultScope::kPlannedWork, static_cast<int>(index),
           0);
      daemons_[index]->process.Signal(SIGHUP);
    });
  }
}

auto World::StopEarly(std::size_t index) -> void {
  auto& daemon = *daemons_[index];
  if (daemon.stop) return daemon.process.Signal(SIGTERM);
  daemon.ending = true;
  BeginStop(index, "early stop");
  ledger_.faults.back().early = true;
  daemon.process.Signal(SIGTERM);
  After(0.1, [this, index] { RestartWhenGone(index); });
}

auto World::RollSignal(int number) -> void {
  const auto drawn =
      kShortestRollPause +
      (kLongestRollPause - kShortestRollPause) * random_.Uniform();
  const auto pause = std::min(drawn, plan_.seconds * kLongestRollPart /
                                         static_cast<double>(daemons_.size()));
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    After(static_cast<double>(i) * pause, [this, i, number] {
      if (number == SIGTERM) {
        StopDaemon(i);
      } else {
        ReloadDaemon(i);
      }
    });
  }
}

auto World::BeginBadPart() -> void {
  callers_.bad_part = kBadPart;
  for (auto& upstream : upstreams_) SetCrashPlan(*upstream);
}

auto World::SetCrashPlan(Upstream& upstream) -> void {
  const auto restart = kShortestRestart +
                       (kLongestRestart - kShortestRestart) * random_.Uniform();
  upstream.backend.SetCrashPlan({kBadPart, FromSeconds(restart)});
}

auto World::ReloadDaemon(std::size_t index) -> void {
  const auto reload = [this, index] {
    const auto age = Now() - daemons_[index]->started_at;
    if (!plan_.early_reloads && age < kLinkTime) return;
    Note("reload", FaultScope::kPlannedWork, static_cast<int>(index), 0);
    daemons_[index]->process.Signal(SIGHUP);
  };
  if (!plan_.changing_settings) return reload();
  WriteSettings(index, reload);
}

auto World::WriteSettings(std::size_t index, std::function<void()> done)
    -> void {
  constexpr Seconds kLongestWrite = 0.08;
  const auto& daemon = *daemons_[index];
  const auto text = platform::MakeSettingsFile(daemon.place);
  std::ofstream(daemon.settings)
      << text.substr(0, settings_random_.Below(text.size()));
  After(kLongestWrite * settings_random_.Uniform(),
        [this, index, text, done = std::move(done)] {
          std::ofstream(daemons_[index]->settings) << text;
          done();
        });
}

auto World::ReloadUntilGone(std::size_t index, std::size_t stop) -> void {
  constexpr Seconds kPause = 0.002;
  auto& daemon = *daemons_[index];
  if (daemon.stop != stop || !daemon.process.Running()) return;
  daemon.process.Signal(SIGHUP);
  After(kPause, [this, index, stop] { ReloadUntilGone(index, stop); });
}

auto World::DrawLoadTime(Upstream& upstream) -> void {
  upstream.backend.SetLoadTime(FromSeconds(
      kShortestLoad + (kLongestLoad - kShortestLoad) * random_.Uniform()));
}

auto World::EvictPatientModel() -> void {
  Note("patient model is evicted", FaultScope::kPlannedWork, -1, 0);
  for (auto& upstream : upstreams_) {
    upstream->backend.Evict(kPatientModel);
    DrawLoadTime(*upstream);
  }
}

auto World::KillDaemon(std::size_t index) -> void {
  auto& daemon = *daemons_[index];
  if (std::exchange(daemon.busy, true)) return;
  daemon.ending = true;
  Note("kill", FaultScope::kProcess, static_cast<int>(index), 3);
  callers_.targets[index].takes_connections = false;
  daemon.process.Signal(SIGKILL);
  After(0.5 + random_.Uniform(), [this, index] { RestartWhenGone(index); });
}

auto World::KillAll() -> void {
  for (std::size_t i = 0; i < daemons_.size(); ++i) KillDaemon(i);
}

auto World::PauseDaemon(std::size_t index, Seconds duration) -> void {
  auto& daemon = *daemons_[index];
  if (std::exchange(daemon.busy, true)) return;
  Note("pause", FaultScope::kProcess, static_cast<int>(index), duration);
  daemon.process.Signal(SIGSTOP);
  After(duration, [this, index] {
    daemons_[index]->process.Signal(SIGCONT);
    daemons_[index]->busy = false;
  });
}

auto World::StopDaemon(std::size_t index) -> void {
  auto& daemon = *daemons_[index];
  // A second signal must change nothing.
  if (daemon.stop) return daemon.process.Signal(SIGTERM);
  if (std::exchange(daemon.busy, true)) return;
  daemon.ending = true;
  BeginStop(index, "stop");
  daemon.process.Signal(SIGTERM);
  // As a balancer does after two answers that it is not ready.
  After(2,
        [this, index] { callers_.targets[index].takes_connections = false; });
  After(0.5, [this, index] { RestartWhenGone(index); });
}

auto World::BeginStop(std::size_t index, const std::string& name) -> void {
  const auto stop = ledger_.faults.size();
  daemons_[index]->stop = stop;
  const auto grace = ledger_.bounds.grace;
  Note(name, FaultScope::kPlannedStop, static_cast<int>(index), grace);
  After(grace, [this, index, stop] { KillAfterGrace(index, stop); });
  if (!plan_.changing_settings) return;
  // Shortly before a daemon without open requests ends.
  constexpr Seconds kReloadsBegin = 2.5;
  After(kReloadsBegin, [this, index, stop] { ReloadUntilGone(index, stop); });
}

auto World::KillAfterGrace(std::size_t index, std::size_t stop) -> void {
  auto& daemon = *daemons_[index];
  if (daemon.stop != stop || !daemon.process.Running()) return;
  ledger_.faults[stop].needed_kill = true;
  daemon.process.Signal(SIGKILL);
}

auto World::RestartWhenGone(std::size_t index) -> void {
  auto& daemon = *daemons_[index];
  if (daemon.process.Running()) {
    return After(0.1, [this, index] { RestartWhenGone(index); });
  }
  // New connections find nobody until the next process listens.
  callers_.targets[index].takes_connections = false;
  if (daemon.stop) {
    auto& stop = ledger_.faults[*daemon.stop];
    stop.end = Now();
    stop.end_status = daemon.process.EndStatus();
  }
  daemon.stop.reset();
  Restart(index);
}

auto World::Restart(std::size_t index) -> void {
  auto& place = daemons_[index]->place;
  place.bootstrap = false;
  if (plan_.changing_settings) {
    WriteSettings(index, [] {});
  } else {
    std::ofstream(daemons_[index]->settings)
        << platform::MakeSettingsFile(place);
  }
  if (!daemons_[index]->process.Start()) {
    return After(0.5, [this, index] { Restart(index); });
  }
  const auto started_at = Now();
  daemons_[index]->ending = false;
  daemons_[index]->started_at = started_at;
  ledger_.starts.push_back({index, started_at});
  WatchStart(index, ledger_.starts.size() - 1);
  if (plan_.early_signals) SignalEarly(index);
  After(1.5, [this, index, started_at] {
    // It may have been stopped in its first moments.
    const auto& daemon = *daemons_[index];
    if (daemon.started_at != started_at || daemon.ending) return;
    callers_.targets[index].takes_connections = true;
    daemons_[index]->busy = false;
  });
}

auto World::HarmStore(Seconds duration) -> void {
  if (store_.Away()) return;
  platform::StoreFaults faults;
  const auto kind = random_.Below(3);
  if (kind == 0) faults.away = true;
  if (kind == 1) faults.rejected_part = 0.5;
  if (kind == 2) faults.lost_part = 0.5;
  const std::vector<std::string> names{"store away", "store rejects",
                                       "store loses answers"};
  Note(names[kind], FaultScope::kStore, -1, duration);
  store_.SetFaults(faults);
  After(duration, [this] { store_.SetFaults({}); });
}

auto World::BackUpStore() -> void {
  backups_.emplace_back(Now(), store_.BackUp());
  while (backups_.front().first < Now() - kOldestBackup) backups_.pop_front();
  After(kBackupPause, [this] { BackUpStore(); });
}

auto World::DrawRestore() -> void {
  // The end of another fault of the store would end the outage.
  if (store_.Away()) return;
  const auto backup = backups_[restore_random_.Below(backups_.size())].second;
  switch (restore_random_.Below(4)) {
    case 0:
      Note("store restored within a change", FaultScope::kStoreRestore, -1,
           kRestoreEffect);
      store_.RestoreAtNextChange(platform::RestorePoint::kWithinChange, backup);
      break;
    case 1:
      Note("store restored after a change", FaultScope::kStoreRestore, -1,
           kRestoreEffect);
      store_.RestoreAtNextChange(platform::RestorePoint::kAfterResponse,
                                 backup);
      break;
    case 2:
      Note("store restored twice", FaultScope::kStoreRestore, -1,
           kRestoreEffect);
      store_.Restore(backup);
      After(restore_random_.Uniform(),
            [this, backup] { store_.Restore(backup); });
      break;
    default: {
      Note("store restored after an outage", FaultScope::kStoreRestore, -1,
           kRestoreEffect);
      platform::StoreFaults away;
      away.away = true;
      store_.SetFaults(away);
      const auto outage = restore_random_.Uniform();
      Note("store away", FaultScope::kStore, -1, outage);
      After(outage, [this, backup] {
        store_.Restore(backup);
        store_.SetFaults({});
      });
      break;
    }
  }
  After(kOperatorTime, [this] { WriteConfiguration(); });
  const std::string kind(platform::kUpstreamKind);
  const auto before = store_.Names(kind);
  After(kEntryLifetime, [this, kind, before, listed = backup.Names(kind)] {
    for (const auto& name : listed) {
      const bool lives = std::any_of(
          upstreams_.begin(), upstreams_.end(), [&](const auto& upstream) {
            return !upstream->gone && upstream->backend.Plan().id == name;
          });
      if (before.count(name) == 0 && !lives) store_.Remove(kind, name);
    }
  });
}

auto World::HarmStoreLinks(std::size_t index, Seconds duration) -> void {
  const auto mode = static_cast<LinkMode>(1 + random_.Below(3));
  if (later_random_.Below(2) == 0) return HarmStoreLink(index, mode, duration);
  const auto longer =
      kShortestTurnAway +
      (kLongestTurnAway - kShortestTurnAway) * later_random_.Uniform();
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    const bool harmed = later_random_.Uniform() < kTurnedAwayPart;
    if (i == index || harmed) HarmStoreLink(i, mode, longer);
  }
}

auto World::HarmStoreLink(std::size_t index, LinkMode mode, Seconds duration)
    -> void {
  Note("link to store " + std::to_string(static_cast<int>(mode)),
       FaultScope::kStoreLink, static_cast<int>(index), duration);
  daemons_[index]->store_link.SetMode(mode);
  After(duration, [this, index] {
    daemons_[index]->store_link.SetMode(LinkMode::kPass);
    daemons_[index]->store_link.ResetAll();
  });
}

auto World::ForgetStatement(const std::string& upstream,
                            const std::string& request) -> void {
  auto& all = ledger_.statements;
  all.erase(std::remove_if(all.begin(), all.end(),
                           [&](const auto& statement) {
                             return statement.upstream == upstream &&
                                    statement.id == request;
                           }),
            all.end());
}

auto World::DrawBrokenAnswers() -> void {
  auto& upstream = *upstreams_[break_random_.Below(upstreams_.size())];
  if (upstream.gone) return;
  const auto duration = 1 + 3 * break_random_.Uniform();
  NoteUpstream(upstream.backend.Plan().id, "breaks answers", duration);
  upstream.link.BreakAnswers(kBrokenPart, break_random_.Next());
  After(duration, [&upstream] { upstream.link.BreakAnswers(0, 0); });
}

auto World::HarmUpstream(std::size_t index, Seconds duration) -> void {
  auto& upstream = *upstreams_[index];
  const auto kind = random_.Below(6);
  const std::vector<std::string> names{"breaks off", "fails",  "is slow",
                                       "is delayed", "is cut", "cannot answer"};
  const bool held = kind >= 3 && later_random_.Below(2) == 0;
  NoteUpstream(upstream.backend.Plan().id, held ? "is stopped" : names[kind],
               duration);
  platform::UpstreamFaults faults;
  if (kind == 0) faults.broken_part = 0.4;
  if (kind == 1) {
    faults.failed_part = 0.4;
    faults.failure_status =
        kFailureStatuses[later_random_.Below(kFailureStatuses.size())];
  }
  if (kind == 2) faults.delay = std::chrono::milliseconds(300);
  upstream.backend.SetFaults(faults);
  if (held) {
    upstream.link.SetMode(LinkMode::kHold);
  } else if (kind >= 3) {
    upstream.link.SetMode(static_cast<LinkMode>(kind - 2));
  }
  After(duration, [this, index, held] {
    upstreams_[index]->backend.SetFaults({});
    upstreams_[index]->link.SetMode(LinkMode::kPass);
    if (!held) upstreams_[index]->link.ResetAll();
  });
}

// An upstream states a rate, once in its life, or asks for pauses for a while.
auto World::StateTerms(std::size_t index) -> void {
  auto& upstream = *upstreams_[index];
  if (std::exchange(upstream.states_terms, true)) return;
  platform::StatedTerms terms;
  const auto duration =
      kShortestTerms + (kLongestTerms - kShortestTerms) * random_.Uniform();
  const bool rate = random_.Below(2) == 0;
  if (rate) {
    terms.requests_per_second = kHighestStatedRate * random_.Uniform();
  } else {
    terms.rejected_part = 0.3;
    terms.pause = FromSeconds(kShortestPause + random_.Uniform());
  }
  NoteUpstream(upstream.backend.Plan().id,
               rate ? "states a rate" : "asks for pauses", duration);
  upstream.backend.SetTerms(terms);
  After(duration, [this, index] {
    if (!upstreams_[index]->gone) upstreams_[index]->backend.SetTerms({});
  });
}

// An upstream leaves, announced in its entry, in its answers only or not at
// all, and a new one takes its place.
auto World::ReplaceUpstream(std::size_t index) -> void {
  auto& upstream = *upstreams_[index];
  if (std::exchange(upstream.gone, true)) return;
  NoteUpstream(upstream.backend.Plan().id, "is replaced", 3);
  const auto kind = random_.Below(3);
  if (kind == 1) upstream.backend.Leave();
  if (kind == 2) {
    platform::StatedTerms terms;
    terms.leaving = true;
    upstream.backend.SetTerms(terms);
  }
  BeginReplacement(index, kind != 0);
}

auto World::ReplaceAsPlanned(std::size_t index) -> void {
  auto& upstream = *upstreams_[index];
  if (std::exchange(upstream.gone, true)) return;
  Note(upstream.backend.Plan().id + " leaves", FaultScope::kPlannedWork, -1, 3);
  upstream.backend.Leave();
  BeginReplacement(index, true);
}

auto World::BeginReplacement(std::size_t index, bool announced) -> void {
  const auto plan = upstreams_[index]->backend.Plan();
  After(announced ? 3.0 : 0.0, [this, index, announced] {
    upstreams_[index]->backend.Gone();
    if (!announced) upstreams_[index]->link.ResetAll();
  });
  After(0.5, [this, plan] { AddUpstream(plan.pool, plan.zone, plan.models); });
}

auto World::WatchLag() -> void {
  After(kLagInterval, [this, due = Now() + kLagInterval] {
    longest_lag_ = std::max(longest_lag_, Now() - due);
    WatchLag();
  });
}

auto World::Report() const -> std::string {
  std::map<std::string, int> outcomes;
  for (const auto& call : ledger_.calls) {
    ++outcomes[call.ended_at < 0 ? "open" : std::to_string(call.status)];
  }
  std::size_t copies = 0;
  std::size_t refusals_for_other = 0;
  for (const auto& upstream : upstreams_) {
    copies += upstream->link.Copies();
    refusals_for_other += upstream->backend.RefusalsForOther();
  }
  std::string text = "## Seed " + std::to_string(plan_.seed) + "\n\n" +
                     std::to_string(ledger_.calls.size()) + " requests, " +
                     std::to_string(ledger_.runs.size()) + " runs, " +
                     std::to_string(ledger_.orders.size()) + " orders, " +
                     std::to_string(refusals_for_other) +
                     " refusals for another instance, " +
                     std::to_string(copies) + " answers repeated. ";
  for (const auto& [outcome, count] : outcomes) {
    text += outcome + ": " + std::to_string(count) + "; ";
  }
  Seconds longest_start = 0;
  for (const auto& start : ledger_.starts) {
    longest_start = std::max(longest_start, start.ready_at - start.at);
  }
  char starts[96];
  std::snprintf(starts, sizeof starts,
                "%zu starts again, ready after at most %.3f s; ",
                ledger_.starts.size(), longest_start);
  text += starts;
  if (plan_.foreign_names) {
    text += "pages of " + std::to_string(page_size_) + "; ";
  }
  char lag[64];
  std::snprintf(lag, sizeof lag, "own loop at most %.3f s late", longest_lag_);
  text += lag;
  text += "\n\n| from s | to s | daemon | fault |\n|---|---|---|---|\n";
  for (const auto& fault : ledger_.faults) {
    char times[64];
    std::snprintf(times, sizeof times, "| %.2f | %.2f | ", fault.begin,
                  fault.end);
    text += times;
    text += fault.daemon < 0 ? "-" : "d" + std::to_string(fault.daemon + 1);
    text += " | " + fault.name + " |\n";
  }
  const auto broken = ledger_.Broken(Now());
  text += broken.empty() ? "\nAll promises kept.\n\n" : "\nBroken:\n\n";
  for (const auto& line : broken) text += "- " + line + "\n";
  return text;
}

}  // namespace dotterellug::soak
