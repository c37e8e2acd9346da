#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/core.h"
#include "platform/standins/store_standin.h"
#include "soak/callers.h"
#include "soak/config_probes.h"
#include "soak/daemon_process.h"
#include "soak/fault_proxy.h"
#include "soak/hostile_callers.h"
#include "soak/ledger.h"

namespace dotterellug::soak {

struct WorldPlan {
  std::uint64_t seed = 1;
  // Path of dotterellugd.
  std::string program;
  // Folder for settings and logs of the daemons; must exist.
  std::string work;
  std::size_t daemons = 5;
  Seconds seconds = 20;
  // Requests per second of all callers together.
  double rate = 125;
  // Also reload processes that the system is still linking, which ends them
  // (KNOWN-RED.txt).
  bool early_reloads = true;
  // Also signal each process that starts again several times in its first
  // moments.
  bool early_signals = false;
  // Also draw answers that come twice, entries of former instances at addresses
  // in use, stops of two daemons at once, stops beside an upstream that leaves
  // and pauses around stops.
  bool extended_faults = true;
  // Also restore the store from backups of the last seconds.
  bool restores = true;
  // Also draw upstreams that break answers, some of them during long uploads.
  bool broken_answers = false;
  // Also write settings files in two steps, while processes start or before
  // they are reloaded, and reload processes in a series as they end.
  bool changing_settings = false;
  // Also let another writer put and remove objects with odd names among those
  // that daemons list.
  bool foreign_names = false;
};

// One run: daemons as processes of their own, the store and upstreams in this
// one, callers, and faults that the seed draws. Faults begin after a calm time
// and end before another one. Every third seed draws planned work only.
class World {
 public:
  explicit World(WorldPlan plan);
  ~World();

  // Runs to the end; fails if the daemons do not begin to serve.
  auto Run() -> Result<void>;
  auto Results() const -> const Ledger& { return ledger_; }
  // What was done and seen, in Markdown.
  auto Report() const -> std::string;

 private:
  struct Daemon;
  struct Upstream;

  auto Now() const -> Seconds;
  auto After(Seconds delay, std::function<void()> then) -> void;
  auto AddDaemon(std::size_t index) -> void;
  auto AddUpstream(const std::string& pool, const std::string& zone,
                   std::vector<std::string> models) -> void;
  auto WriteConfiguration() -> void;
  auto WaitUntilReady() -> Result<void>;
  auto DrawFault() -> void;
  auto Note(const std::string& name, FaultScope scope, int daemon,
            Seconds duration) -> void;
  // The same for a fault of an upstream.
  auto NoteUpstream(const std::string& id, const std::string& name,
                    Seconds duration) -> void;
  auto KillDaemon(std::size_t index) -> void;
  auto PauseDaemon(std::size_t index, Seconds duration) -> void;
  auto StopDaemon(std::size_t index) -> void;
  // Sends a signal to all daemons, one after the other.
  auto RollSignal(int number) -> void;
  // Notes a planned stop and limits its time.
  auto BeginStop(std::size_t index, const std::string& name) -> void;
  // Ends a process that has outlived its grace period; `stop` is the index of
  // the planned stop.
  auto KillAfterGrace(std::size_t index, std::size_t stop) -> void;
  auto ReloadDaemon(std::size_t index) -> void;
  auto DrawPlannedWork() -> void;
  // Draws a fault beside those of the other draws.
  auto DrawExtendedFault() -> void;
  // An upstream refuses requests, and its link repeats answers.
  auto RepeatAnswers(std::size_t index, Seconds duration) -> void;
  // Entries of instances whose address an upstream has taken over.
  auto AddFormerEntries(std::size_t index, Seconds duration) -> void;
  auto ReplaceFormerEntries(Upstream& upstream,
                            const std::vector<std::string>& entries,
                            Seconds end) -> void;
  auto StopTwoDaemons() -> void;
  // Pauses a daemon shortly before or after its planned stop begins.
  auto PauseAroundStop(std::size_t index) -> void;
  auto SignalEarly(std::size_t index) -> void;
  // Writes a part of the daemon's settings file and then, after a moment, the
  // whole file; calls `done` at the end.
  auto WriteSettings(std::size_t index, std::function<void()> done) -> void;
  // Reloads a stopping daemon again and again until its process is gone.
  auto ReloadUntilGone(std::size_t index, std::size_t stop) -> void;
  auto StopEarly(std::size_t index) -> void;
  // Engines lose the patient callers' model and load slowly from now on.
  auto EvictPatientModel() -> void;
  auto DrawLoadTime(Upstream& upstream) -> void;
  // Notes how far this program's own loop lags behind its timers.
  auto WatchLag() -> void;
  // Objects of another writer come and go in one kind, and a daemon may be
  // killed meanwhile.
  auto DrawForeignNames() -> void;
  // Notes when a daemon becomes ready; `start` is the index of its start.
  auto WatchStart(std::size_t index, std::size_t start) -> void;
  auto RestartWhenGone(std::size_t index) -> void;
  auto Restart(std::size_t index) -> void;
  auto HarmStore(Seconds duration) -> void;
  auto HarmStoreLink(std::size_t index, LinkMode mode, Seconds duration)
      -> void;
  // The store turns away many of the daemons, or just one.
  auto HarmStoreLinks(std::size_t index, Seconds duration) -> void;
  auto HarmUpstream(std::size_t index, Seconds duration) -> void;
  auto StateTerms(std::size_t index) -> void;
  auto ReplaceUpstream(std::size_t index) -> void;
  // An upstream announces in its entry that it leaves, and is replaced.
  auto ReplaceAsPlanned(std::size_t index) -> void;
  auto BeginReplacement(std::size_t index, bool announced) -> void;
  auto ChangeKeys() -> void;
  // Moves routes to another pool, adds and drops routes, or changes limits.
  auto BackUpStore() -> void;
  // Restores the store from a backup: after an outage, within a change, right
  // after one, or twice within a second. The operator then writes the
  // configuration again, and the store drops the entries of ended upstreams.
  auto DrawRestore() -> void;
  // The daemon gets no answer of the upstream to the request.
  auto ForgetStatement(const std::string& upstream, const std::string& request)
      -> void;
  // An upstream's link breaks answers.
  auto DrawBrokenAnswers() -> void;
  auto ChangeConfiguration() -> void;
  // Several changes in quick succession.
  auto BeginConfigurationStorm() -> void;
  auto KillAll() -> void;
  auto WriteOddEntry() -> void;
  // Notes processes that end although nothing was done to them.
  auto WatchProcesses() -> void;
  // From now on callers send requests with a prompt part that ends engines.
  auto BeginBadPart() -> void;
  auto SetCrashPlan(Upstream& upstream) -> void;

  WorldPlan plan_;
  boost::asio::io_context loop_;
  Timestamp began_;
  Random random_;
  Ledger ledger_;
  platform::StoreStandin store_;
  Callers callers_;
  ConfigProbes probes_;
  // Draws that came later than others have a generator of their own, so that
  // the seeds kept from earlier runs draw what they drew.
  Random later_random_;
  Random extended_random_;
  Random settings_random_;
  Random restore_random_;
  Random break_random_;
  Random foreign_random_;
  // Backups of the last seconds, with their times.
  std::deque<std::pair<Seconds, platform::StoreStandin::Backup>> backups_;
  HostileCallers hostile_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  // Those that have left stay, since requests may still run there.
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  std::int64_t version_ = 0;
  int key_number_ = 0;
  // What the configuration has at the moment.
  bool plain_moved_ = false;
  std::size_t spare_routes_ = 0;
  Duration plain_timeout_ = std::chrono::seconds(2);
  int upstream_number_ = 0;
  int former_number_ = 0;
  // Objects on one page of the store's lists, with foreign names.
  std::size_t page_size_ = 0;
  Seconds longest_lag_ = 0;
};

}  // namespace dotterellug::soak
