#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "experiment/report.h"

DEFINE_string(workload, "", "YAML file that describes the traffic.");
DEFINE_string(keys, "", "YAML file with a key for each client account.");
DEFINE_string(targets, "127.0.0.1:20000",
              "Load balancer or daemons as IP:PORT, comma-separated.");
DEFINE_double(seconds, 0, "Length of the run; 0 takes the workload's.");
DEFINE_uint64(seed, 1, "Seed of arrivals and sizes.");
DEFINE_uint64(threads, 256, "Requests in flight at most.");
DEFINE_string(csv, "", "File for one line per request.");

namespace {

using dotterellug::UpstreamTarget;

auto ParseTargets(const std::string& text) -> std::vector<UpstreamTarget> {
  std::vector<UpstreamTarget> targets;
  std::istringstream entries(text);
  for (std::string entry; std::getline(entries, entry, ',');) {
    const auto colon = entry.find(':');
    if (colon == std::string::npos) return {};
    targets.push_back(
        {entry.substr(0, colon),
         static_cast<std::uint16_t>(std::stoi(entry.substr(colon + 1)))});
  }
  return targets;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  namespace experiment = dotterellug::experiment;
  gflags::SetUsageMessage("Sends a described workload and reports outcomes.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  auto workload = experiment::LoadWorkload(FLAGS_workload, FLAGS_keys);
  if (!workload) {
    std::cerr << workload.error().Text() << "\n";
    return 2;
  }
  if (FLAGS_seconds > 0) workload->seconds = FLAGS_seconds;
  experiment::LoadOptions options;
  options.targets = ParseTargets(FLAGS_targets);
  options.threads = FLAGS_threads;
  options.seed = FLAGS_seed;
  options.progress = [](std::size_t done, std::size_t all) {
    std::cerr << "\r" << done << "/" << all << " " << std::flush;
  };
  if (options.targets.empty()) {
    std::cerr << "--targets '" << FLAGS_targets << "' is not IP:PORT,...\n";
    return 2;
  }
  const auto results = experiment::RunLoad(*workload, options);
  std::cerr << "\n";
  std::cout << "seed " << FLAGS_seed << "\n\n"
            << experiment::MarkdownReport(*workload, results);
  if (!FLAGS_csv.empty()) {
    std::ofstream(FLAGS_csv) << experiment::CsvReport(*workload, results);
  }
  return 0;
}
