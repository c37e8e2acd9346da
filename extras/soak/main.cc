#include <gflags/gflags.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "soak/world.h"

DEFINE_string(daemon, "build/daemon/dotterellugd", "Path of dotterellugd.");
DEFINE_uint64(seed, 1, "First seed.");
DEFINE_uint64(seeds, 1, "Number of seeds to run, one after another.");
DEFINE_uint64(daemons, 5, "Daemons of each run.");
DEFINE_double(seconds, 28, "Length of each run.");
DEFINE_double(rate, 125, "Requests per second of all callers together.");
DEFINE_bool(early_reloads, true,
            "Also reload processes that the system is still linking.");
DEFINE_bool(early_signals, false,
            "Also signal processes that start again in their first 20 ms.");
DEFINE_bool(extended_faults, true,
            "Also draw repeated answers, entries of former instances, stops of "
            "two daemons at once and pauses around stops.");
DEFINE_bool(restores, true,
            "Also restore the store from backups of the last seconds, in runs "
            "that do not draw planned work only.");
DEFINE_bool(broken_answers, false,
            "Also draw upstreams that break answers, and upload long bodies.");
DEFINE_bool(changing_settings, false,
            "Also change settings files beside starts and reloads, and reload "
            "processes while they end.");
DEFINE_bool(foreign_names, false,
            "Also let another writer put and remove objects with odd names "
            "among those that daemons list.");
DEFINE_string(report, "", "Markdown file for the report; default: none.");
DEFINE_string(work, "", "Folder for logs; default: a temporary one.");

namespace {

constexpr int kExitBroken = 1;
constexpr int kExitUsage = 2;
// Half of a small machine; each daemon takes about 10 MB.
constexpr std::uint64_t kMostDaemons = 200;

auto WorkFolder(std::uint64_t seed) -> std::string {
  const auto root = FLAGS_work.empty()
                        ? std::filesystem::temp_directory_path() /
                              ("dotterellug_soak_" + std::to_string(::getpid()))
                        : std::filesystem::path(FLAGS_work);
  const auto folder = root / ("seed_" + std::to_string(seed));
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  return folder.string();
}

}  // namespace

auto main(int argc, char** argv) -> int {
  gflags::SetUsageMessage(
      "soak [--seed N] [--seeds N] [--seconds S]\n"
      "Runs daemons under faults and checks what callers and upstreams see.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_daemons < 1 || FLAGS_daemons > kMostDaemons) {
    std::cerr << "--daemons must be 1 to " << kMostDaemons << "\n";
    return kExitUsage;
  }
  if (FLAGS_rate <= 0) {
    std::cerr << "--rate must be more than 0\n";
    return kExitUsage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  int broken = 0;
  for (auto seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed) {
    dotterellug::soak::WorldPlan plan;
    plan.seed = seed;
    plan.program = FLAGS_daemon;
    plan.work = WorkFolder(seed);
    plan.daemons = FLAGS_daemons;
    plan.seconds = FLAGS_seconds;
    plan.rate = FLAGS_rate;
    plan.early_reloads = FLAGS_early_reloads;
    plan.early_signals = FLAGS_early_signals;
    plan.extended_faults = FLAGS_extended_faults;
    plan.restores = FLAGS_restores;
    plan.broken_answers = FLAGS_broken_answers;
    plan.changing_settings = FLAGS_changing_settings;
    plan.foreign_names = FLAGS_foreign_names;
    dotterellug::soak::World world(plan);
    const auto ran = world.Run();
    if (!ran) {
      std::cerr << "seed " << seed << ": " << ran.error().Text() << "\n";
      return kExitUsage;
    }
    const auto report = world.Report();
    const auto kept = report.find("\nBroken:") == std::string::npos;
    std::cout << "seed " << seed << (kept ? " kept" : " BROKEN") << ", logs in "
              << plan.work << "\n";
    if (!kept) {
      std::cout << report;
      ++broken;
    }
    if (!FLAGS_report.empty()) {
      std::ofstream(FLAGS_report, std::ios::app) << report;
    }
  }
  return broken == 0 ? 0 : kExitBroken;
}
