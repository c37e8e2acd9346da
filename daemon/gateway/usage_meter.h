#pragma once

#include <optional>

#include "core/core.h"
#include "core/time/fleet_time.h"
#include "daemon/gateway/gateway_settings.h"
#include "fleet/clock/fleet_clock.h"
#include "fleet/messages/fleet_messages.h"
#include "spend/usage/usage_reporter.h"
#include "spend/usage/window_usage.h"

namespace dotterellug::gateway {

// What this daemon knows of the usage by windows: counts what it serves, and
// exchanges counts, the time of day and the announced windows with the other
// daemons. Exists only where the platform asks for reports of usage.
class UsageMeter {
 public:
  UsageMeter(Reporter self, const DutySettings& settings);

  // Counts a request that began to run at `began`.
  auto Count(const ClientAccountId& account, Timestamp began, Timestamp now)
      -> void;
  // Call on every tick.
  auto Tick(WallTime wall) -> void;

  // For the messages between daemons.
  auto MakeNews(Timestamp now) -> fleet::UsageNews;
  auto OnReport(const fleet::FleetReport& report, Timestamp now) -> void;
  auto MakeAnswer() -> std::optional<fleet::UsageNews>;
  auto OnSummary(const fleet::FleetSummary& summary, Timestamp now) -> void;

  // The time on which the daemons agree, for times of the monotonic clock that
  // are not long ago; nothing before the first tick.
  auto TimeAt(Timestamp at, Timestamp now) const -> std::optional<FleetTime>;
  auto Total(UsageWindow window) const -> WindowCounts {
    return table_.Total(window);
  }
  auto Reports() -> UsageReporter& { return reporter_; }

 private:
  WindowUsageTable table_;
  UsageReporter reporter_;
  fleet::FleetClock clock_;
};

}  // namespace dotterellug::gateway
