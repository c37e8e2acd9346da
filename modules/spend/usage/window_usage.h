#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/ids/ids.h"
#include "core/time/time.h"
#include "spend/usage/usage_record.h"

namespace dotterellug {

// Number of a reporting window: window k begins k times its length after the
// start of 1970 in UTC.
using UsageWindow = StrongInteger<struct UsageWindowTag>;

// Requests that began to run in one window, by client account.
using WindowCounts = std::map<ClientAccountId, std::int64_t>;

// What one process counted in one window, cumulative, or the part of it that
// changed.
struct WindowUsageRow {
  Reporter reporter;
  UsageWindow window;
  WindowCounts counts;
};

// How often counts are repeated in reports, and how many fit into one.
struct WindowUsageOptions {
  // A count that changed is contained in every report for this long, so that a
  // lost report is made good by the next.
  Duration repeat_time = std::chrono::milliseconds(500);
  // Each report also contains one part in so many of the unchanged rows, so
  // that a new hub knows all of them after as many reports.
  std::uint64_t refresh_parts = 8;
  // Most counts in one report. A datagram holds 65,507 bytes, and a count takes
  // about 5 of them; the rest is for loads and evidence. Above this bound the
  // oldest changes wait for the refresh.
  std::size_t max_counts = 4000;
};

// Requests by process, window and account: what this process counted and what
// others told it. The highest count of each is kept, so that lost, repeated and
// reordered messages are harmless. A process counts upwards only, and a
// restarted one is another process. Not thread-safe.
class WindowUsageTable {
 public:
  explicit WindowUsageTable(Reporter self, WindowUsageOptions options = {});

  // Counts one request of this process.
  auto Count(UsageWindow window, const ClientAccountId& account, Timestamp now)
      -> void;
  // Takes rows from another daemon's report. Those with `pass_on` are contained
  // in this daemon's own reports: it is the zone hub of the sender.
  auto Merge(const std::vector<WindowUsageRow>& rows, bool pass_on,
             Timestamp now) -> void;
  // The rows for this daemon's next report.
  auto Share(Timestamp now) -> std::vector<WindowUsageRow>;
  // Sum over all processes.
  auto Total(UsageWindow window) const -> WindowCounts;
  // Forgets the windows before `window`, and ignores what still comes for them.
  auto DropBefore(UsageWindow window) -> void;

 private:
  struct Entry {
    std::int64_t count = 0;
    Timestamp changed_at{};
  };
  struct Row {
    bool pass_on = false;
    std::map<ClientAccountId, Entry> entries;
  };

  Reporter self_;
  WindowUsageOptions options_;
  UsageWindow first_;
  std::map<UsageWindow, std::map<Reporter, Row>> windows_;
  std::uint64_t shares_ = 0;
};

}  // namespace dotterellug
