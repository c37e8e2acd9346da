#include "soak/ledger.h"

#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <deque>
#include <limits>
#include <optional>
#include <set>

namespace dotterellug::soak {
namespace {

constexpr const char* kHostilePrefix = "hostile-";

auto Text(Seconds value) -> std::string {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f s", value);
  return text;
}

// A failure that promises that the request did not run and will not.
auto PromisesNotRun(int status) -> bool {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

auto IsPause(const FaultRecord& fault) -> bool {
  return fault.name.rfind("pause", 0) == 0;
}

}  // namespace

auto Ledger::Calm(std::size_t daemon, Seconds begin, Seconds end,
                  const std::set<FaultScope>& scopes) const -> bool {
  return std::none_of(faults.begin(), faults.end(), [&](const auto& fault) {
    if (scopes.count(fault.scope) == 0) return false;
    if (fault.daemon >= 0 && static_cast<std::size_t>(fault.daemon) != daemon) {
      return false;
    }
    return fault.begin <= end && fault.end >= begin - bounds.contact;
  });
}

auto Ledger::Broken(Seconds end) const -> std::vector<std::string> {
  Lines lines;
  CheckRuns(lines);
  CheckAnswers(lines);
  CheckEnds(end, lines);
  CheckStops(lines);
  CheckStarts(end, lines);
  CheckLimits(lines);
  CheckKeys(lines);
  CheckProbes(lines);
  CheckOrders(lines);
  CheckBadParts(lines);
  CheckStatements(lines);
  for (const auto& own_end : own_ends) {
    lines.push_back("daemon d" + std::to_string(own_end.daemon + 1) +
                    " ended by itself at " + Text(own_end.at) + ", status " +
                    std::to_string(own_end.status));
  }
  return lines;
}

// What may run once runs once, and not at all when its refusal said so.
auto Ledger::CheckRuns(Lines& lines) const -> void {
  std::map<std::string, int> counts;
  for (const auto& run : runs) ++counts[run.id];
  std::set<std::string> known;
  for (const auto& probe : probes) known.insert(probe.id);
  for (const auto& call : calls) {
    known.insert(call.id);
    const auto found = counts.find(call.id);
    const int count = found == counts.end() ? 0 : found->second;
    if (!MayRunOnce(call.kind)) continue;
    if (count > 1) {
      lines.push_back("request " + call.id + " ran " + std::to_string(count) +
                      " times and may run once");
    }
    if (count > 0 && PromisesNotRun(call.status)) {
      lines.push_back("request " + call.id + " ran and was answered " +
                      std::to_string(call.status));
    }
  }
  for (const auto& [id, count] : counts) {
    // What hostile callers send in the open may run.
    if (id.rfind(kHostilePrefix, 0) == 0) continue;
    if (known.count(id) == 0) lines.push_back("request " + id + " is unknown");
  }
}

// A success is the upstream's own and whole, or does not look complete.
auto Ledger::CheckAnswers(Lines& lines) const -> void {
  for (const auto& call : calls) {
    if (call.status / 100 != 2) continue;
    if (!call.has_receipt) {
      lines.push_back("request " + call.id + " has a success without receipt");
    }
    if (call.looks_complete && !call.whole) {
      lines.push_back("request " + call.id +
                      " has a success that is not whole");
    }
  }
}

auto Ledger::UpstreamFailed(const CallRecord& call,
                            const UpstreamIds& upstreams) const -> bool {
  return std::any_of(faults.begin(), faults.end(), [&](const auto& fault) {
    if (fault.scope != FaultScope::kUpstream) return false;
    if (!fault.upstream.empty() && upstreams.count(fault.upstream) == 0) {
      return false;
    }
    return fault.begin <= call.ended_at &&
           fault.end >= call.sent_at - bounds.contact;
  });
}

auto Ledger::MayEndIncomplete(const CallRecord& call,
                              const UpstreamIds& upstreams) const -> bool {
  const auto stop =
      std::find_if(faults.begin(), faults.end(), [&](const auto& fault) {
        return fault.scope == FaultScope::kPlannedStop &&
               static_cast<std::size_t>(fault.daemon) == call.daemon &&
               fault.begin <= call.ended_at &&
               call.sent_at <= fault.end + bounds.crossing;
      });
  const bool stops = stop != faults.end();
  if (call.status == 0) {
    return stops && upstreams.empty() &&
           call.ended_at - call.sent_at <= bounds.crossing;
  }
  if (UpstreamFailed(call, upstreams)) return true;
  // A daemon that learns of a part at which engines end cuts off what it has
  // sent them with it.
  if (!call.bad_part.empty()) return true;
  if (call.ended_at >= call.sent_at + call.time_limit) return true;
  return stops && call.sent_at <= stop->begin + bounds.soon &&
         call.ended_at >= stop->begin + bounds.grace * (1 - bounds.last_part);
}

// Every request ends in time. Without an answer ends only one that crossed the
// close of its connection at a planned stop and that nobody ran.
auto Ledger::CheckEnds(Seconds end, Lines& lines) const -> void {
  std::map<std::string, UpstreamIds> ran_at;
  for (const auto& run : runs) ran_at[run.id].insert(run.upstream);
  for (const auto& call : calls) {
    const auto latest = call.sent_at + call.time_limit + bounds.late;
    const bool ended = call.ended_at >= 0;
    if (!ended && latest > end) continue;
    const auto until = ended ? std::min(call.ended_at, latest) : latest;
    if (!Calm(call.daemon, call.sent_at, until, {FaultScope::kProcess})) {
      continue;
    }
    if (!ended || call.ended_at > latest) {
      lines.push_back("request " + call.id + " of " + Text(call.sent_at) +
                      " had no end " + Text(bounds.late) + " after its limit");
    } else if (call.was_sent && !call.looks_complete &&
               !MayEndIncomplete(call, ran_at[call.id])) {
      lines.push_back("request " + call.id + " of " + Text(call.sent_at) +
                      " ended after " + Text(call.ended_at - call.sent_at) +
                      (call.status == 0 ? " without an answer"
                                        : " with a part of an answer") +
                      " at daemon d" + std::to_string(call.daemon + 1) +
                      (ran_at[call.id].empty() ? "" : ", it ran"));
    }
  }
}

// A planned stop is over within the grace period, and ends as a success.
auto Ledger::CheckStops(Lines& lines) const -> void {
  for (const auto& fault : faults) {
    const auto stop = "daemon d" + std::to_string(fault.daemon + 1) +
                      ", stopped at " + Text(fault.begin);
    if (fault.needed_kill) {
      lines.push_back(stop + ", outlived its grace period");
      continue;
    }
    const bool by_signal = fault.early && WIFSIGNALED(fault.end_status) &&
                           WTERMSIG(fault.end_status) == SIGTERM;
    if (fault.end_status == 0 || by_signal) continue;
    lines.push_back(stop + ", ended with status " +
                    std::to_string(fault.end_status));
  }
}

// In no window do an account's runs take more than its limit allows.
auto Ledger::CheckLimits(Lines& lines) const -> void {
  std::map<std::string, std::int64_t> tokens;
  for (const auto& call : calls) tokens[call.id] = call.tokens;
  for (const auto& [account, bound] : accounts) {
    const auto allowed =
        (bound.per_second * bounds.limit_window + bound.burst) *
            (1 + bounds.limit_excess) +
        bounds.limit_slack;
    std::deque<std::pair<Seconds, std::int64_t>> window;
    std::int64_t sum = 0;
    auto sorted = runs;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
    double worst = 0;
    Seconds worst_at = 0;
    for (const auto& run : sorted) {
      if (run.account != account) continue;
      window.emplace_back(run.at, tokens[run.id]);
      sum += tokens[run.id];
      while (window.front().first < run.at - bounds.limit_window) {
        sum -= window.front().second;
        window.pop_front();
      }
      if (static_cast<double>(sum) > worst) {
        worst = static_cast<double>(sum);
        worst_at = run.at;
      }
    }
    if (worst > allowed) {
      lines.push_back("account " + account + " used " +
                      std::to_string(static_cast<std::int64_t>(worst)) +
                      " tokens in a window that allows " +
                      std::to_string(static_cast<std::int64_t>(allowed)) +
                      " and ends at " + Text(worst_at));
    }
  }
}

auto Ledger::ReadyDue(const StartRecord& start) const -> Seconds {
  auto due = start.at + bounds.catch_up;
  for (const auto& fault : faults) {
    if (fault.daemon >= 0 &&
        static_cast<std::size_t>(fault.daemon) != start.daemon) {
      continue;
    }
    const bool delays = fault.scope == FaultScope::kStore ||
                        fault.scope == FaultScope::kStoreLink || IsPause(fault);
    if (!delays || fault.begin > due || fault.end < start.at) continue;
    due = std::max(due, fault.end + bounds.catch_up);
  }
  return due;
}

auto Ledger::EndOf(const StartRecord& start) const -> Seconds {
  auto end = std::numeric_limits<Seconds>::max();
  for (const auto& fault : faults) {
    const bool ends = fault.scope == FaultScope::kPlannedStop ||
                      (fault.scope == FaultScope::kProcess && !IsPause(fault));
    if (!ends || fault.daemon != static_cast<int>(start.daemon)) continue;
    if (fault.begin >= start.at) end = std::min(end, fault.begin);
  }
  for (const auto& next : starts) {
    if (next.daemon == start.daemon && next.at > start.at) {
      end = std::min(end, next.at);
    }
  }
  return end;
}

// A daemon that is started again becomes ready in time.
auto Ledger::CheckStarts(Seconds end, Lines& lines) const -> void {
  for (const auto& start : starts) {
    const auto due = ReadyDue(start);
    if (due >= std::min(end, EndOf(start))) continue;
    if (start.ready_at >= 0 && start.ready_at <= due) continue;
    lines.push_back("daemon d" + std::to_string(start.daemon + 1) +
                    ", started at " + Text(start.at) + ", was " +
                    (start.ready_at < 0 ? "never ready"
                                        : "ready at " + Text(start.ready_at)) +
                    " and is to be ready by " + Text(due));
  }
}

// A removed key is refused by daemons to which nothing was done.
auto Ledger::CheckKeys(Lines& lines) const -> void {
  for (const auto& removal : key_removals) {
    for (const auto& call : calls) {
      if (call.key != removal.key) continue;
      if (call.sent_at < removal.at + bounds.apply) continue;
      if (call.status / 100 != 2) continue;
      if (!Calm(call.daemon, removal.at, call.sent_at,
                {FaultScope::kProcess, FaultScope::kPlannedStop,
                 FaultScope::kStore, FaultScope::kStoreRestore})) {
        continue;
      }
      lines.push_back("request " + call.id + " was served " +
                      Text(call.sent_at - removal.at) +
                      " after its key had been removed");
    }
  }
}

// A daemon to which nothing was done serves the routes of a configuration that
// was confirmed some time ago, also if the store turns it away.
auto Ledger::CheckProbes(Lines& lines) const -> void {
  for (const auto& probe : probes) {
    if (probe.status != 404) continue;
    if (!Calm(probe.daemon, probe.written_at, probe.sent_at,
              {FaultScope::kProcess, FaultScope::kPlannedStop,
               FaultScope::kStore, FaultScope::kStoreRestore})) {
      continue;
    }
    lines.push_back("daemon d" + std::to_string(probe.daemon + 1) +
                    " did not have configuration " +
                    std::to_string(probe.version) + " at " +
                    Text(probe.sent_at) + ", " +
                    Text(probe.sent_at - probe.written_at) +
                    " after it was written (" + probe.id + ")");
  }
}

// One holder at a time, with fencing numbers that grow.
auto Ledger::CheckOrders(Lines& lines) const -> void {
  auto sorted = orders;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const auto& a, const auto& b) { return a.at < b.at; });
  const OrderRecord* last = nullptr;
  for (const auto& order : sorted) {
    const bool thawed =
        std::any_of(faults.begin(), faults.end(), [&](const auto& fault) {
          return IsPause(fault) && order.at >= fault.begin &&
                 order.at <= fault.end + bounds.thaw;
        });
    if (thawed) continue;
    if (last != nullptr && last->holder != order.holder) {
      if (order.at - last->at < bounds.lease) {
        lines.push_back("orders of " + last->holder + " and " + order.holder +
                        " are " + Text(order.at - last->at) + " apart");
      }
      if (order.fence <= last->fence) {
        lines.push_back("the fencing number of " + order.holder +
                        " is not above that of " + last->holder);
      }
    }
    last = &order;
  }
  // An engine that has seen a fencing number is sent no lower one, also not by
  // the same holder after it has acquired the lease again.
  std::map<std::string, std::int64_t> highest;
  for (const auto& order : sorted) {
    auto& seen = highest[order.engine];
    if (order.fence < seen) {
      lines.push_back("the fencing number of " + order.holder + " at " +
                      order.engine + " went down to " +
                      std::to_string(order.fence) + " from " +
                      std::to_string(seen));
    }
    seen = std::max(seen, order.fence);
  }
}

auto Ledger::HasRemovedKey(const CallRecord& call) const -> bool {
  return std::any_of(
      key_removals.begin(), key_removals.end(), [&](const auto& removal) {
        return removal.key == call.key && removal.at <= call.sent_at;
      });
}

auto Ledger::ServedPart(Seconds begin, Seconds end) const
    -> std::optional<double> {
  std::size_t sent = 0;
  std::size_t served = 0;
  for (const auto& call : calls) {
    if (!call.shares_prompt || !call.bad_part.empty()) continue;
    // It has to be refused.
    if (HasRemovedKey(call)) continue;
    if (call.sent_at < begin || call.sent_at > end || call.ended_at < 0) {
      continue;
    }
    if (!Calm(call.daemon, call.sent_at, call.ended_at,
              {FaultScope::kProcess, FaultScope::kPlannedStop,
               FaultScope::kUpstream})) {
      continue;
    }
    ++sent;
    if (call.status == 200) ++served;
  }
  if (sent < bounds.enough) return std::nullopt;
  return static_cast<double>(served) / static_cast<double>(sent);
}

// Requests with a part that ends engines stop reaching them, and those that
// share their other parts go on.
auto Ledger::CheckBadParts(Lines& lines) const -> void {
  if (crashes.empty()) return;
  const auto last = std::min(crashes.size(), bounds.crashes) - 1;
  const auto settled = crashes[last].at + bounds.crash_contact;
  std::map<std::string, const CallRecord*> bad_calls;
  for (const auto& call : calls) {
    if (!call.bad_part.empty()) bad_calls[call.id] = &call;
  }
  std::size_t late = 0;
  for (const auto& run : runs) {
    const auto call = bad_calls.find(run.id);
    if (call == bad_calls.end() || run.at <= settled) continue;
    if (crashes.size() < bounds.crashes) continue;
    if (!Calm(call->second->daemon, run.at, run.at,
              {FaultScope::kProcess, FaultScope::kPlannedStop,
               FaultScope::kStore, FaultScope::kStoreRestore})) {
      continue;
    }
    ++late;
  }
  if (late > bounds.runs_after_crashes) {
    lines.push_back(std::to_string(late) + " requests with part " +
                    crashes.front().part + " ran later than " + Text(settled) +
                    "; " + std::to_string(crashes.size()) +
                    " engines ended in all");
  }
  const auto before = ServedPart(0, crashes.front().at);
  const auto after = ServedPart(crashes[last].at + 2 * bounds.crash_contact,
                                std::numeric_limits<Seconds>::max());
  if (before && after && *after < bounds.served_part * *before) {
    lines.push_back("sound requests that share their prompts with part " +
                    crashes.front().part + " were served in " +
                    std::to_string(*after) + " of the cases, before in " +
                    std::to_string(*before));
  }
}

// Arrivals at one upstream and its statements, with the calls that they are
// about, in order of time.
struct Ledger::UpstreamTraffic {
  struct Arrival {
    const ArrivalRecord* record;
    const CallRecord* call;
  };
  struct Statement {
    const StatementRecord* record;
    const CallRecord* call;
  };
  std::string upstream;
  std::vector<Arrival> arrivals;
  std::vector<Statement> statements;
};

auto Ledger::Undisturbed(std::size_t daemon, Seconds begin, Seconds end) const
    -> bool {
  return std::none_of(faults.begin(), faults.end(), [&](const auto& fault) {
    const bool process = fault.scope == FaultScope::kProcess ||
                         fault.scope == FaultScope::kPlannedStop;
    return process && fault.daemon == static_cast<int>(daemon) &&
           fault.begin <= end && fault.end >= begin;
  });
}

auto Ledger::CheckStatements(Lines& lines) const -> void {
  std::map<std::string, const CallRecord*> by_id;
  for (const auto& call : calls) by_id[call.id] = &call;
  std::map<std::string, UpstreamTraffic> traffic;
  for (const auto& statement : statements) {
    const auto call = by_id.find(statement.id);
    if (call == by_id.end()) continue;
    traffic[statement.upstream].statements.push_back(
        {&statement, call->second});
  }
  for (const auto& arrival : arrivals) {
    const auto call = by_id.find(arrival.id);
    const auto upstream = traffic.find(arrival.upstream);
    if (call == by_id.end() || upstream == traffic.end()) continue;
    upstream->second.arrivals.push_back({&arrival, call->second});
  }
  for (auto& [upstream, own] : traffic) {
    own.upstream = upstream;
    CheckStatedRate(own, lines);
    CheckLeaving(own, lines);
    CheckPauses(own, lines);
  }
}

auto Ledger::CheckStatedRate(const UpstreamTraffic& traffic, Lines& lines) const
    -> void {
  // Each upstream states one rate at most.
  std::map<std::size_t, Seconds> told;
  double rate = -1;
  Seconds first = 0;
  Seconds last = 0;
  for (const auto& [statement, call] : traffic.statements) {
    if (statement->rate < 0) continue;
    if (rate < 0) first = statement->at;
    rate = statement->rate;
    last = statement->at;
    told.emplace(call->daemon, statement->at);
  }
  if (rate < 0) return;
  std::deque<Seconds> window;
  double worst = 0;
  for (const auto& [arrival, call] : traffic.arrivals) {
    const auto at = arrival->at;
    const auto known = told.find(call->daemon);
    if (at > last || known == told.end()) continue;
    if (at < known->second + bounds.learning) continue;
    if (!Undisturbed(call->daemon, known->second, at)) continue;
    window.push_back(at);
    while (window.front() < at - bounds.rate_window) window.pop_front();
    if (at < first + bounds.rate_contact) continue;
    worst = std::max(worst, static_cast<double>(window.size()));
  }
  const auto allowed =
      bounds.rate_factor * rate * bounds.rate_window + bounds.rate_slack;
  if (worst > allowed) {
    lines.push_back("upstream " + traffic.upstream + " stated a rate of " +
                    std::to_string(rate) + " and got " + std::to_string(worst) +
                    " requests in " + Text(bounds.rate_window));
  }
}

auto Ledger::CheckLeaving(const UpstreamTraffic& traffic, Lines& lines) const
    -> void {
  std::map<std::size_t, Seconds> told;
  for (const auto& [statement, call] : traffic.statements) {
    if (statement->leaving) told.emplace(call->daemon, statement->at);
  }
  for (const auto& [arrival, call] : traffic.arrivals) {
    const auto known = told.find(call->daemon);
    if (known == told.end()) continue;
    if (call->sent_at <= known->second + bounds.drain) continue;
    if (!Undisturbed(call->daemon, known->second, arrival->at)) continue;
    lines.push_back("request " + call->id + " reached " + traffic.upstream +
                    " " + Text(call->sent_at - known->second) +
                    " after its daemon was told that it leaves");
  }
}

auto Ledger::CheckPauses(const UpstreamTraffic& traffic, Lines& lines) const
    -> void {
  for (const auto& [statement, call] : traffic.statements) {
    if (statement->pause < 0) continue;
    const auto begin = statement->at + bounds.learning;
    const auto end = statement->at + statement->pause;
    const auto daemon = call->daemon;
    if (!Undisturbed(daemon, statement->at, end)) continue;
    const auto count = std::count_if(
        traffic.arrivals.begin(), traffic.arrivals.end(),
        [&](const auto& arrival) {
          return arrival.call->daemon == daemon && arrival.record->at > begin &&
                 arrival.record->at < end;
        });
    if (count <= bounds.requests_in_pause) continue;
    lines.push_back(std::to_string(count) + " requests reached " +
                    traffic.upstream + " in the pause that it asked for at " +
                    Text(statement->at));
  }
}

}  // namespace dotterellug::soak
