#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>

#include "core/time/fleet_time.h"
#include "core/time/time.h"
#include "spend/usage/window_usage.h"

namespace dotterellug {

// The stored contents of the last reports; whoever reports a window that it has
// sends exactly these counts.
struct UsageReportRecord {
  std::map<UsageWindow, WindowCounts> windows;
  // Version of the stored object; 0 if there is none.
  std::int64_t revision = 0;
};

// Times of the reports of usage.
struct UsageReporterOptions {
  Duration window_length = std::chrono::seconds(5);
  // A report that is sent later than this after the end of its window is of no
  // use.
  Duration due_after = std::chrono::seconds(10);
  // Part of that time after which a report is written and sent. Counts of plain
  // requests that take longer than this are missing in it.
  double send_fraction = 0.3;
  // A window is announced for this long before its report is written: two
  // reports of a daemon to its hub, so that the others know of it if the store
  // loses the written report.
  Duration announce_time = std::chrono::milliseconds(500);
  // Pause before a store call or a report is repeated.
  Duration retry_pause = std::chrono::milliseconds(600);
  // Reports kept in the stored object.
  std::size_t kept_windows = 5;
  // A takeover leaves out the windows that an earlier holder may have sent
  // unless it has heard announcements. An earlier holder sent nothing within
  // this time before.
  Duration quiet_time = std::chrono::seconds(2);
};

struct ReadUsageReports {};

// Write on condition that the stored object has the revision in the record.
struct WriteUsageReports {
  UsageReportRecord record;
};

struct SendUsageReport {
  UsageWindow window;
  WindowCounts counts;
};

using UsageReporterAction =
    std::variant<ReadUsageReports, WriteUsageReports, SendUsageReport>;

// Decides when the holder of the order lease reports the usage of a window, and
// with which counts. Two reports of one window with different counts must never
// be sent, by whichever holders. Therefore the counts are written into the
// store on condition of its revision before they are sent, and a window that
// another holder has announced is sent only as the store or this process has
// it. At most one action is in progress. Not thread-safe.
class UsageReporter {
 public:
  explicit UsageReporter(UsageReporterOptions options = {});

  // What the caller knows at a step.
  struct Situation {
    // Nothing if it is not known well enough.
    std::optional<FleetTime> time;
    // Whether this daemon holds the order lease and may send now.
    bool holder = false;
    // Whether another process may have held the lease before.
    bool had_predecessor = true;
    // Whether the counts of at least half of the daemons arrive here.
    bool counts_arrive = false;
    // Whether the rate of calls allows to send one now.
    bool may_send = true;
  };

  // The next action, or nothing. Its result is passed to the matching function
  // below; `total` gives the counts of a window.
  auto Step(const Situation& situation,
            const std::function<WindowCounts(UsageWindow)>& total,
            Timestamp now) -> std::optional<UsageReporterAction>;

  auto OnRead(const UsageReportRecord& record) -> void;
  auto OnReadFailed(Timestamp now) -> void;
  auto OnWritten(std::int64_t revision) -> void;
  // The write was rejected, or its outcome is unknown: what is stored is read
  // again.
  auto OnWriteFailed(Timestamp now) -> void;
  // Whether the platform took the report. Otherwise the same report is sent
  // again.
  auto OnSent(UsageWindow window, bool taken, Timestamp now) -> void;
  // Another holder of the duty has announced this window, as far as known.
  auto OnAnnounced(UsageWindow window, Timestamp now) -> void;

  // The highest window that this or another holder announced.
  auto Announced() const -> UsageWindow;
  // The highest window that was reported by this process; 0 if there is none.
  auto LastReported() const -> UsageWindow { return last_reported_; }
  // The window to which a time belongs.
  auto WindowAt(FleetTime time) const -> UsageWindow;
  // The oldest window whose report may still be sent.
  auto OldestDue(FleetTime time) const -> UsageWindow;
  auto WindowLength() const -> Duration { return options_.window_length; }

 private:
  struct Report {
    WindowCounts counts;
    // Whether the store has acknowledged these counts. Others are never sent.
    bool stored = false;
    bool taken = false;
    Timestamp retry_at{};
  };

  auto EndOf(UsageWindow window) const -> Duration;
  // Highest window that ended at least `after` before `time`.
  auto LastEnded(FleetTime time, Duration after) const -> UsageWindow;
  auto BeginHolding(const Situation& situation, Timestamp now) -> void;
  // Adds the reports of windows that have ended; returns whether there is
  // something to write.
  auto Compose(const Situation& situation,
               const std::function<WindowCounts(UsageWindow)>& total,
               Timestamp now) -> bool;
  auto NextToSend(FleetTime time, Timestamp now) const
      -> std::optional<UsageWindow>;
  auto Forget(FleetTime time) -> void;

  UsageReporterOptions options_;
  bool holder_ = false;
  bool in_progress_ = false;
  bool record_known_ = false;
  Timestamp retry_at_{};
  std::int64_t revision_ = 0;
  std::map<UsageWindow, Report> reports_;
  // Windows for which different counts are known; they are not sent.
  std::set<UsageWindow> uncertain_;
  // Highest windows that this process and others have announced.
  UsageWindow own_announced_;
  Timestamp announced_at_{};
  UsageWindow others_announced_;
  std::optional<Timestamp> heard_at_;
  // First window whose counts this process may determine.
  UsageWindow first_;
  UsageWindow last_reported_;
};

}  // namespace dotterellug
