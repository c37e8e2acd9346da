#include <gflags/gflags.h>
#include <pthread.h>

#include <csignal>
#include <iostream>

#include "daemon/app/daemon.h"
#include "platform/program/platform_program.h"
#include "settings/settings.h"
#include "telemetry/telemetry.h"

DEFINE_string(settings, "", "YAML file with this daemon's settings.");
DEFINE_bool(platform, false,
            "Run on the users' platform, with the settings that it provides.");
DEFINE_bool(check, false, "Only check the settings, then exit.");

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

// Signals are taken by sigwait in this thread only, so all other threads must
// inherit a mask that blocks them.
auto BlockStopSignals() -> sigset_t {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
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

auto main(int argc, char** argv) -> int {
  gflags::SetUsageMessage(
      "dotterellugd --settings FILE [--check]\n"
      "Serves callers in front of model engines and plain services.");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_platform) return dotterellug::platform::RunOnPlatform();
  if (FLAGS_settings.empty()) {
    std::cerr << "no settings file given; call dotterellugd --settings FILE\n";
    return kExitUsage;
  }
  const auto settings = dotterellug::LoadSettings(FLAGS_settings);
  if (!settings) {
    std::cerr << settings.error().Text();
    return kExitUsage;
  }
  if (FLAGS_check) return 0;
  auto stop_signals = BlockStopSignals();
  std::signal(SIGPIPE, SIG_IGN);
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
  int received = 0;
  sigwait(&stop_signals, &received);
  (*daemon)->Drain();
  return 0;
}
