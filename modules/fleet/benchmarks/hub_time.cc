// Measures the processor time and the datagram sizes of a hub by the number of
// daemons that report to it and of upstreams in use. Prints CSV.
// Usage: hub_time DAEMONS UPSTREAMS REPORTS

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "core/random/random.h"
#include "fleet/fleet.h"

namespace dotterellug::fleet {
namespace {

// Upstreams in use at one daemon, and models requested there lately.
constexpr int kUpstreamsPerDaemon = 4;
constexpr int kModelsPerDaemon = 30;
constexpr std::uint64_t kModels = 444;

auto MakeReport(int daemon, std::int64_t sequence, int upstreams,
                HubLevel level, Random& random) -> FleetReport {
  FleetReport report;
  report.from = InstanceId("front-zone-" + std::to_string(daemon));
  report.incarnation = Incarnation(1);
  report.sequence = sequence;
  report.level = level;
  for (int i = 0; i < kUpstreamsPerDaemon; ++i) {
    const auto index = random.Below(static_cast<std::uint64_t>(upstreams));
    report.upstreams.push_back(
        {UpstreamId("i-upstream-" + std::to_string(index)), 1, 900, 300});
  }
  for (int i = 0; i < kModelsPerDaemon; ++i) {
    report.models.push_back(
        {ModelId("model-" + std::to_string(random.Below(kModels))), 100,
         50'000});
  }
  return report;
}

// Handles `reports` datagrams as a hub of the level and prints a line.
auto Measure(HubLevel level, int daemons, int upstreams, int reports) -> void {
  GrantedTokens tokens;
  quarantine::PromptQuarantine quarantine;
  serving::BackpressureTable backpressure;
  FleetMember member(InstanceId("hub"), AvailabilityZoneId("zone"), tokens,
                     quarantine, backpressure, [](const auto&) {
                       return RateLimit{Tokens(1000), Tokens(1000)};
                     });
  Random random(1);
  std::vector<std::string> datagrams;
  datagrams.reserve(static_cast<std::size_t>(reports) +
                    static_cast<std::size_t>(daemons));
  for (int i = 0; i < reports + daemons; ++i) {
    datagrams.push_back(EncodeFleetMessage(
        MakeReport(i % daemons, 1 + i / daemons, upstreams, level, random)));
  }
  std::size_t bytes = 0;
  const auto handle = [&](const std::string& datagram, Timestamp now) {
    const auto message = DecodeFleetMessage(datagram);
    const auto summary = member.OnReport(std::get<FleetReport>(*message), now);
    bytes += EncodeFleetMessage(summary).size();
  };
  const Timestamp start(std::chrono::seconds(1000));
  for (int i = 0; i < daemons; ++i) {
    handle(datagrams[static_cast<std::size_t>(i)], start);
  }
  bytes = 0;
  const auto began = std::chrono::steady_clock::now();
  for (int i = daemons; i < daemons + reports; ++i) {
    handle(datagrams[static_cast<std::size_t>(i)], start);
  }
  const std::chrono::duration<double, std::micro> spent =
      std::chrono::steady_clock::now() - began;
  std::printf("%s,%d,%d,%.1f,%zu,%zu\n",
              level == HubLevel::kZone ? "zone" : "fleet", daemons, upstreams,
              spent.count() / reports, datagrams.back().size(),
              bytes / static_cast<std::size_t>(reports));
}

}  // namespace
}  // namespace dotterellug::fleet

auto main(int argc, char** argv) -> int {
  if (argc != 4) {
    std::fprintf(stderr, "usage: hub_time DAEMONS UPSTREAMS REPORTS\n");
    return 2;
  }
  const int daemons = std::atoi(argv[1]);
  const int upstreams = std::atoi(argv[2]);
  const int reports = std::atoi(argv[3]);
  std::printf(
      "level,daemons,upstreams,us_per_report,report_bytes,"
      "answer_bytes\n");
  using dotterellug::fleet::HubLevel;
  dotterellug::fleet::Measure(HubLevel::kFleet, daemons, upstreams, reports);
  dotterellug::fleet::Measure(HubLevel::kZone, daemons, upstreams, reports);
  return 0;
}
