#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dotterellug::soak {

// Seconds since the run began.
using Seconds = double;

// What may be done with a request, from the route's kind.
enum class CallKind { kOnce, kRepeatable, kStream, kStreamOnce };

inline auto IsStream(CallKind kind) -> bool {
  return kind == CallKind::kStream || kind == CallKind::kStreamOnce;
}
inline auto MayRunOnce(CallKind kind) -> bool {
  return kind == CallKind::kOnce || kind == CallKind::kStreamOnce;
}

// A request as its caller saw it.
struct CallRecord {
  std::string id;
  CallKind kind = CallKind::kOnce;
  std::string account;
  std::string key;
  std::int64_t tokens = 0;
  // The prompt part at which engines end; empty if it has none.
  std::string bad_part;
  // Whether its prompt shares all other parts with requests that have one.
  bool shares_prompt = false;
  // The daemon that took it, by index.
  std::size_t daemon = 0;
  Seconds sent_at = 0;
  Seconds time_limit = 0;
  // Negative while nothing has ended it.
  Seconds ended_at = -1;
  // False when no connection could be opened.
  bool was_sent = true;
  // 0 when the connection closed without an answer.
  int status = 0;
  bool has_receipt = false;
  // The body is the upstream's, or the stream's events are complete and in
  // order.
  bool whole = false;
  // The answer's end was framed as complete.
  bool looks_complete = false;
};

// A request as an upstream saw it.
struct RunRecord {
  std::string id;
  std::string account;
  std::string upstream;
  Seconds at = 0;
};

// An order that an engine accepted.
struct OrderRecord {
  std::string engine;
  std::string holder;
  std::int64_t fence = 0;
  Seconds at = 0;
};

// The end of an engine because of a prompt part.
struct CrashRecord {
  std::string part;
  Seconds at = 0;
};

// A request that reached an upstream, whether it ran or not.
struct ArrivalRecord {
  std::string id;
  std::string upstream;
  Seconds at = 0;
};

// What the answer to a request stated about the requests that its upstream
// takes.
struct StatementRecord {
  std::string id;
  std::string upstream;
  Seconds at = 0;
  // Requests per second, and the time to be left alone; negative if not stated.
  double rate = -1;
  Seconds pause = -1;
  bool leaving = false;
};

enum class FaultScope {
  // A daemon's process was killed or paused: its requests may be lost.
  kProcess,
  // A daemon was told to stop: it must lose nothing. Lasts until its process
  // has ended.
  kPlannedStop,
  // Other planned work, such as a reload: callers must notice nothing.
  kPlannedWork,
  // The store: what daemons know may be old, but requests are answered.
  kStore,
  // The store was restored: what daemons know may be old, but it answers them.
  kStoreRestore,
  // The link of a daemon to the store. What the others know reaches it.
  kStoreLink,
  // An upstream or the link to it: requests may fail, with an answer.
  kUpstream,
};

// A time during which something was done to the system.
struct FaultRecord {
  std::string name;
  FaultScope scope = FaultScope::kProcess;
  // Index of the daemon; -1 for all of them.
  int daemon = -1;
  Seconds begin = 0;
  Seconds end = 0;
  // The upstream to which it was done; empty if it may be any.
  std::string upstream;
  // A stopping process that had not ended after the grace period was killed.
  bool needed_kill = false;
  // How a stopping process ended, as waitpid reports it.
  int end_status = 0;
  // The stop came while the system may still have been linking the process,
  // which then ends by the signal itself.
  bool early = false;
};

// A daemon's process that ended although nothing had been done to it.
struct OwnEndRecord {
  std::size_t daemon = 0;
  Seconds at = 0;
  // As waitpid reports it.
  int status = 0;
};

// A daemon's process that was started again.
struct StartRecord {
  std::size_t daemon = 0;
  Seconds at = 0;
  // When it first answered that it is ready; negative if it did not.
  Seconds ready_at = -1;
};

// A key that was removed at `at`, as the store acknowledged it.
struct KeyRemoval {
  std::string key;
  Seconds at = 0;
};

// A request on a route that configurations have from one version on.
struct ProbeRecord {
  std::string id;
  std::size_t daemon = 0;
  Seconds sent_at = 0;
  std::int64_t version = 0;
  // When the store acknowledged that version.
  Seconds written_at = 0;
  // 0 when the connection closed without an answer.
  int status = 0;
};

struct AccountBound {
  double per_second = 0;
  double burst = 0;
};

struct LedgerBounds {
  Seconds limit_window = 8;
  double limit_excess = 0.1;
  double limit_slack = 20;
  // A configuration is in force everywhere after this time.
  Seconds apply = 3;
  // A daemon is judged by time bounds when nothing was done to it for so long.
  Seconds contact = 4;
  // A daemon is ready within this time after its start.
  Seconds catch_up = 4;
  // An answer may be later than the caller's limit by this much.
  Seconds late = 1;
  // The grace period of a planned stop.
  Seconds grace = 8;
  // A request that crosses the close of its connection ends within this time.
  Seconds crossing = 0.2;
  // A stop may cut an answer that is still being sent in the last part of the
  // grace period, to a request that was sent soon after the signal.
  double last_part = 1.0 / 6;
  Seconds soon = 3;
  // Orders of two holders are this far apart.
  Seconds lease = 3;
  // Crashes by one prompt part after which, and after this time, at most some
  // more requests with it run at engines.
  std::size_t crashes = 5;
  Seconds crash_contact = 3;
  std::size_t runs_after_crashes = 3;
  // From twice that time, sound requests are served at least this part as often
  // as before, where there are enough of both.
  double served_part = 0.5;
  std::size_t enough = 20;
  // An upstream gets at most this multiple of the rate that it states in a
  // window, and some requests more, from daemons that were told some time ago,
  // from the contact time after the first statement on.
  Seconds rate_window = 4;
  double rate_factor = 1.5;
  double rate_slack = 5;
  Seconds learning = 0.5;
  Seconds rate_contact = 3;
  // A request sent later than this after its daemon was told that an upstream
  // leaves does not reach it.
  Seconds drain = 2;
  // Requests that reach an upstream although it wants to be left alone.
  int requests_in_pause = 2;
  // After a daemon was paused its late orders do not count for this long.
  Seconds thaw = 0.3;
};

// Everything that callers and upstreams saw in one run, and the promises that
// it must keep. Decides nothing while the run goes on.
class Ledger {
 public:
  std::vector<CallRecord> calls;
  std::vector<RunRecord> runs;
  std::vector<OrderRecord> orders;
  // In the order of their begins.
  std::vector<FaultRecord> faults;
  std::vector<KeyRemoval> key_removals;
  std::vector<ProbeRecord> probes;
  std::vector<CrashRecord> crashes;
  std::vector<ArrivalRecord> arrivals;
  std::vector<StatementRecord> statements;
  std::vector<OwnEndRecord> own_ends;
  std::vector<StartRecord> starts;
  std::map<std::string, AccountBound> accounts;
  LedgerBounds bounds;

  // One line for each broken promise; empty if all were kept. `end` is the time
  // at which callers stopped.
  auto Broken(Seconds end) const -> std::vector<std::string>;

 private:
  using Lines = std::vector<std::string>;

  // Whether no fault of these scopes touched the daemon from `contact` before
  // `begin` until `end`.
  auto Calm(std::size_t daemon, Seconds begin, Seconds end,
            const std::set<FaultScope>& scopes) const -> bool;
  auto CheckRuns(Lines& lines) const -> void;
  auto CheckAnswers(Lines& lines) const -> void;
  auto CheckEnds(Seconds end, Lines& lines) const -> void;
  using UpstreamIds = std::set<std::string>;
  // Whether a request that ran at these upstreams may have ended without a
  // complete answer.
  auto MayEndIncomplete(const CallRecord& call,
                        const UpstreamIds& upstreams) const -> bool;
  // Whether a fault touched one of the upstreams while the request was open.
  auto UpstreamFailed(const CallRecord& call,
                      const UpstreamIds& upstreams) const -> bool;
  auto CheckStops(Lines& lines) const -> void;
  auto CheckStarts(Seconds end, Lines& lines) const -> void;
  // When a daemon that was started has to be ready: faults of its store, its
  // link and pauses begin its time anew.
  auto ReadyDue(const StartRecord& start) const -> Seconds;
  // When a daemon that was started is next told or made to end.
  auto EndOf(const StartRecord& start) const -> Seconds;
  auto CheckLimits(Lines& lines) const -> void;
  auto CheckKeys(Lines& lines) const -> void;
  auto CheckProbes(Lines& lines) const -> void;
  auto CheckOrders(Lines& lines) const -> void;
  auto CheckBadParts(Lines& lines) const -> void;
  // What upstreams state about the requests that they take, one upstream at a
  // time.
  struct UpstreamTraffic;
  auto CheckStatements(Lines& lines) const -> void;
  auto CheckStatedRate(const UpstreamTraffic& traffic, Lines& lines) const
      -> void;
  auto CheckLeaving(const UpstreamTraffic& traffic, Lines& lines) const -> void;
  auto CheckPauses(const UpstreamTraffic& traffic, Lines& lines) const -> void;
  // Whether the daemon's process went on without a pause in this time.
  auto Undisturbed(std::size_t daemon, Seconds begin, Seconds end) const
      -> bool;
  auto HasRemovedKey(const CallRecord& call) const -> bool;
  // The part of the sound requests sent in this time that was served; nothing
  // if there are too few.
  auto ServedPart(Seconds begin, Seconds end) const -> std::optional<double>;
};

}  // namespace dotterellug::soak
