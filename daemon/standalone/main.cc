#include <gflags/gflags.h>

#include <chrono>
#include <csignal>
#include <iostream>

#include "core/process/control_signals.h"
#include "daemon/app/daemon.h"
#include "settings/settings.h"
#include "telemetry/telemetry.h"

DEFINE_string(settings, "", "YAML file with this daemon's settings.");
DEFINE_bool(check, false, "Only check the settings, then exit.");

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

// Waits for a signal to stop. Settings are read at the start only, so a request
// to read them again is logged.
auto WaitForStop() -> void {
  const auto signals = dotterellug::ControlSignals();
  int received = 0;
  while (sigwait(&signals, &received) != 0 || received == SIGHUP) {
    dotterellug::LogState(dotterellug::LogSeverity::kWarning,
                          "settings are read at the start only; restart this "
                          "daemon to change them");
  }
}

auto LogOptionsOf(const dotterellug::DaemonSettings& settings)
    -> dotterellug::LogOptions {
  dotterellug::LogOptions options;
  options.json = settings.log.format == dotterellug::LogFormat::kJson;
  options.level = static_cast<dotterellug::LogSeverity>(settings.log.level);
  options.instance = settings.instance.Value();
  return options;
}

}  // namespace

// Started by dotterellugd, which holds the control signals back.
auto main(int argc, char** argv) -> int {
  dotterellug::BlockControlSignals();
  dotterellug::IgnoreWriteSignals();
  gflags::SetUsageMessage("Started by dotterellugd --settings FILE [--check]");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto settings = dotterellug::LoadSettings(FLAGS_settings);
  if (!settings) {
    std::cerr << settings.error().Text();
    return kExitUsage;
  }
  if (FLAGS_check) return 0;
  dotterellug::InitializeLog(LogOptionsOf(*settings));
  // Wall time in microseconds grows with each start on the same instance.
  const dotterellug::Incarnation incarnation(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  auto daemon = dotterellug::Daemon::Start(*settings, incarnation);
  if (!daemon) {
    std::cerr << daemon.error().Text() << "\n";
    return kExitFailed;
  }
  WaitForStop();
  (*daemon)->Drain();
  return 0;
}
