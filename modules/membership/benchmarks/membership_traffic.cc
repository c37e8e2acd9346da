// Measures the failure detection traffic of one daemon at several fleet sizes
// on a simulated network. Prints, as CSV, the messages and bytes sent per
// second in three phases: right after the whole fleet has started, in steady
// state, and while a network partition isolates a quarter of the fleet, or a
// third with the argument `region`. Bytes count encoded messages without IP and
// UDP headers and authentication. The processor time includes that of the
// simulation.

#include <cstdio>
#include <ctime>
#include <string>

#include "membership/tests/simulated_fleet.h"

namespace dotterellug {
namespace {

constexpr auto kMeasurementWindow = std::chrono::seconds(30);

auto MeasurePhase(const char* phase, std::size_t members, SimulatedFleet& fleet)
    -> void {
  fleet.ResetTraffic();
  const auto started = std::clock();
  fleet.RunFor(kMeasurementWindow);
  const auto cpu_us = 1e6 * static_cast<double>(std::clock() - started) /
                      static_cast<double>(CLOCKS_PER_SEC);
  const auto daemon_seconds =
      static_cast<double>(members) * ToSeconds(kMeasurementWindow);
  const auto& traffic = fleet.TrafficTotals();
  std::printf("%s,%zu,%.2f,%.0f,%zu,%.0f\n", phase, members,
              static_cast<double>(traffic.messages) / daemon_seconds,
              static_cast<double>(traffic.bytes) / daemon_seconds,
              traffic.largest, cpu_us / daemon_seconds);
  std::fflush(stdout);
}

// A network partition and the name of its phase in the output.
struct Partition {
  const char* phase;
  // One in this many members is isolated from the others.
  std::size_t divisor;
};

auto Measure(std::size_t members, const Partition& partition) -> void {
  SimulatedFleet fleet(members, 42);
  MeasurePhase("start", members, fleet);
  // Long enough for each daemon to have disseminated the start of all others.
  fleet.RunFor(std::chrono::seconds(60 + members));
  MeasurePhase("at_rest", members, fleet);
  fleet.SetLoss(
      [divisor = partition.divisor](std::size_t from, std::size_t to) {
        return (from % divisor == 0) != (to % divisor == 0);
      });
  MeasurePhase(partition.phase, members, fleet);
}

}  // namespace
}  // namespace dotterellug

auto main(int argc, char** argv) -> int {
  const bool region = argc > 1 && std::string(argv[1]) == "region";
  const dotterellug::Partition partition =
      region ? dotterellug::Partition{"region_cut_off", 3}
             : dotterellug::Partition{"zone_cut_off", 4};
  std::printf(
      "phase,members,messages_per_daemon_per_second,"
      "bytes_per_daemon_per_second,largest_message_bytes,"
      "processor_us_per_daemon_per_second\n");
  for (const std::size_t members : {8, 32, 128, 530}) {
    dotterellug::Measure(members, partition);
  }
  return 0;
}
