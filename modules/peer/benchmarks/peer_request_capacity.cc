// Measures the processor time of requests between two daemons over loopback by
// the size of their parameters. Client and server share the process, so the
// time covers both sides. Prints CSV; the content is fixed and needs no seed.

#include <sys/resource.h>

#include <cstdio>
#include <cstdlib>
#include <string>

#include "peer/peer.h"

namespace dotterellug {
namespace {

constexpr int kRequests = 1000;

auto ProcessorSeconds() -> double {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) /
             1e6;
}

// What a daemon sends to the budget owner every 500 ms.
auto BudgetDemand(int accounts) -> EncodedMessage {
  DemandReport report{
      ShardId("budgets"), {InstanceId("instance-1"), Incarnation(1)}, 1, {}};
  for (int i = 0; i < accounts; ++i) {
    report.totals.push_back({BudgetId("account/account-" + std::to_string(i)),
                             Tokens(123'456'789), Tokens(12'345), Tokens(500)});
  }
  return EncodeBudgetMessage(report);
}

auto Measure(PeerRequestClient& client, const PeerTarget& target, int accounts)
    -> void {
  const auto message = BudgetDemand(accounts);
  const auto begin = MonotonicNow();
  const auto cpu_begin = ProcessorSeconds();
  for (int i = 0; i < kRequests; ++i) {
    if (!client.Call(target, message.method, message.parameters,
                     std::chrono::seconds(20))) {
      std::abort();
    }
  }
  const auto cpu = ProcessorSeconds() - cpu_begin;
  const auto wall = ToSeconds(MonotonicNow() - begin);
  std::printf("%d,%zu,%.1f,%.1f\n", accounts, message.parameters.dump().size(),
              cpu / kRequests * 1e6, wall / kRequests * 1e6);
}

auto Run() -> void {
  const auto key = FleetKey::Parse(std::string(64, '1')).value();
  PeerRequestServerOptions server_options;
  server_options.listen = {"127.0.0.1", 0};
  server_options.self = {InstanceId("b"), Incarnation(1)};
  PeerMethodTable methods;
  for (const auto& name : BudgetMethods()) {
    methods[name] =
        [name](const MemberId&,
               const nlohmann::json& parameters) -> Result<nlohmann::json> {
      if (!DecodeBudgetMessage(name, parameters)) std::abort();
      return nlohmann::json::object();
    };
  }
  auto server = PeerRequestServer::Start(server_options, key, methods);
  if (!server) std::abort();
  (*server)->SetPeers({InstanceId("a")});
  PeerRequestClientOptions client_options;
  client_options.self = {InstanceId("a"), Incarnation(1)};
  PeerRequestClient client(client_options, key);
  const PeerTarget target{
      InstanceId("b"), {"127.0.0.1", (*server)->Port()}, {}};
  for (const int accounts : {0, 5, 50, 100, 200, 400}) {
    Measure(client, target, accounts);
  }
}

}  // namespace
}  // namespace dotterellug

auto main() -> int {
  std::printf("accounts,parameter_bytes,processor_us,wall_us\n");
  dotterellug::Run();
  return 0;
}
