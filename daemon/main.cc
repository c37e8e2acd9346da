#include <gflags/gflags.h>

#include <iostream>
#include <string>
#include <vector>

#include "core/process/control_signals.h"
#include "core/process/sibling_program.h"
#include "platform/program/platform_program.h"

DEFINE_string(settings, "", "YAML file with this daemon's settings.");
DEFINE_bool(platform, false,
            "Run on the users' platform, with the settings that it provides.");
DEFINE_bool(check, false, "Only check the settings, then exit.");

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

// Serves the product's own interface.
constexpr auto kStandaloneProgram = "dotterellugd-standalone";

// Blocks the control signals before the constructors of the shared libraries
// run. Until the program acts on them they wait, also over an exec.
__attribute__((section(".preinit_array"), used)) void (*const kBlockEarly)() =
    &dotterellug::BlockControlSignals;

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
  std::vector<std::string> arguments{"--settings=" + FLAGS_settings};
  if (FLAGS_check) arguments.emplace_back("--check");
  const auto error =
      dotterellug::ReplaceBySibling(kStandaloneProgram, arguments);
  std::cerr << error.Text() << "\n";
  return kExitFailed;
}
