#include <arpa/inet.h>
#include <gflags/gflags.h>

#include <iostream>
#include <sstream>

#include "standins/balancer/balancer.h"

DEFINE_int32(port, 0, "TCP port to listen on at 127.0.0.1.");
DEFINE_int64(interval_ms, 1000, "Time between readiness checks.");
DEFINE_string(targets, "",
              "Daemons as IP:CALLER_PORT:HEALTH_PORT, comma-separated.");

namespace {

using dotterellug::standins::BalancerTarget;

auto ParseTarget(const std::string& text) -> std::unique_ptr<BalancerTarget> {
  std::istringstream parts(text);
  std::string host;
  int caller_port = 0;
  int health_port = 0;
  char colon = 0;
  auto target = std::make_unique<BalancerTarget>();
  if (!std::getline(parts, host, ':') ||
      !(parts >> caller_port >> colon >> health_port) ||
      inet_pton(AF_INET, host.c_str(), &target->caller_address.sin_addr) != 1) {
    return nullptr;
  }
  target->caller_address.sin_family = AF_INET;
  target->health_address = target->caller_address;
  target->caller_address.sin_port =
      htons(static_cast<std::uint16_t>(caller_port));
  target->health_address.sin_port =
      htons(static_cast<std::uint16_t>(health_port));
  return target;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::vector<std::unique_ptr<BalancerTarget>> targets;
  std::istringstream entries(FLAGS_targets);
  for (std::string entry; std::getline(entries, entry, ',');) {
    auto target = ParseTarget(entry);
    if (target == nullptr) {
      std::cerr << "--targets entry '" << entry
                << "' is not IP:CALLER_PORT:HEALTH_PORT\n";
      return 2;
    }
    targets.push_back(std::move(target));
  }
  dotterellug::standins::Balancer balancer(
      std::move(targets), std::chrono::milliseconds(FLAGS_interval_ms));
  if (!balancer.Run(static_cast<std::uint16_t>(FLAGS_port))) {
    std::cerr << "cannot listen on port " << FLAGS_port
              << "; choose a free one\n";
    return 1;
  }
  return 0;
}
