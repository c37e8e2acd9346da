#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/queue/drain_rate.h"
#include "admission/queue/queued_request.h"
#include "admission/queue/waiting_request.h"
#include "core/ids/ids.h"
#include "core/time/time.h"

namespace dotterellug {

// What to do with a request for which no upstream has capacity now.
enum class WaitDecision {
  kOnTime,  // wait; the latency target can be met
  kLate,    // wait; it can be served before `give_up`, but late
  kRefuse,  // it would probably be refused after the whole wait
};

// The order of the requests of one pool that wait for capacity of upstreams.
// Requests that can still meet their latency target come first, more urgent
// ones before others. Within a priority, accounts take turns by the work that
// they were served in the last seconds (virtual token counters that decay), and
// the requests of an account go by their latest start, shorter work first.
//
// Requests that come behind are not starved: each level (a priority, on time or
// late) with waiting requests is served at least a share of the work that
// levels before it start. The first request of a level therefore waits no
// longer than its own work divided by that share and by the drain rate, while
// the pool starts requests at all. The caller decides which upstream a request
// can take, and removes requests whose time is over. `now` must not decrease
// between calls.
class WaitingQueue {
 public:
  // Part of the work started before it that each level is owed, on time and
  // late. The first serves a class of short requests whole.
  static constexpr double kLeastShare = 1.0 / 5;
  static constexpr double kLeastLateShare = 1.0 / 32;

  struct Turn {
    QueueTicket ticket;
    // Its level comes before others now, because it is owed work.
    bool owed = false;
  };

  // Whether the request should wait, given what waits already. Unknown waits,
  // before the drain rate has been measured, count as short enough.
  auto Decide(const WaitingRequest& request, Timestamp now) const
      -> WaitDecision;
  // Records that a request has arrived, whether it will wait or not.
  auto RecordArrival(const WaitingRequest& request, Timestamp now) -> void;
  auto Add(const WaitingRequest& request) -> QueueTicket;
  auto Remove(QueueTicket ticket) -> void;
  // Records that a request has been sent to an upstream, whether it waited
  // (and has been removed) or not.
  auto RecordStart(const WaitingRequest& request, Timestamp now) -> void;
  // All waiting requests in the order in which to try them.
  auto Order(Timestamp now) const -> std::vector<Turn>;

  // Whether a waiting request of the same kind comes before this one.
  auto OthersBefore(const WaitingRequest& request, Timestamp now) const -> bool;
  auto Size() const -> std::size_t { return requests_.size(); }
  auto Empty() const -> bool { return requests_.empty(); }
  // The expected time until the request starts if it waits; nullopt until the
  // drain rate has been measured.
  auto ExpectedWait(const WaitingRequest& request, Timestamp now) const
      -> std::optional<Duration>;
  // Work of one kind started per second while requests of it waited, which is
  // the number of slots that this daemon keeps busy; nullopt until it has been
  // measured.
  auto WorkPerSecond(const std::string& kind) const -> std::optional<double>;
  // The work of all waiting requests.
  auto WaitingWork() const -> Duration;

 private:
  // On time (false) or late, then priority.
  using Level = std::pair<bool, int>;
  using Entry = std::pair<const QueueTicket, WaitingRequest>;
  using Entries = std::vector<const Entry*>;

  // Seconds of work that arrive per second, as a decayed average.
  struct ArrivalRate {
    double per_second = 0;
    Timestamp updated_at{};

    auto Add(double work, Timestamp now) -> void;
    auto At(Timestamp now) const -> double;
  };

  // Part of the drain rate that late requests can count on.
  auto LatePart(const std::string& kind, double work_per_second,
                Timestamp now) const -> double;

  static auto LevelOf(const WaitingRequest& request, Timestamp now) -> Level {
    return {request.Late(now), request.priority};
  }
  auto CountServed(const WaitingRequest& request, Timestamp now) -> void;
  static auto LeastShare(const Level& level) -> double;
  auto ServedWork(const WaitingRequest& request) const -> double;
  auto ByLevel(Timestamp now) const -> std::map<Level, Entries>;
  // Appends the requests of one level in their order.
  auto AppendLevel(const Entries& entries, std::vector<Turn>& turns) const
      -> void;
  // Work that starts before the request, in seconds.
  auto WorkAhead(const WaitingRequest& request, const Level& level,
                 Timestamp now) const -> double;

  std::map<QueueTicket, WaitingRequest> requests_;
  QueueTicket last_ticket_;
  // Seconds of work that each account was served at each priority lately, with
  // or without a wait.
  std::map<std::pair<int, ClientAccountId>, double> served_;
  Timestamp served_at_{};
  // Seconds of work that levels with waiting requests are owed.
  std::map<Level, double> owed_;
  // Part of the started work that was late, as a moving average.
  double late_part_ = 0;
  std::unordered_map<std::string, DrainRate> drain_rates_;
  std::unordered_map<std::string, ArrivalRate> arrival_rates_;
};

}  // namespace dotterellug
