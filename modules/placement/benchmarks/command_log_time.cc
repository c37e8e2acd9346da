// Measures two calls of PlacementReconciler in a fleet without changes: a step,
// which returns the commands to send, and the handling of one report from each
// engine. Prints CSV. Usage: command_log_time ENGINES

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "placement/placement.h"

namespace dotterellug {
namespace {

constexpr int kItemsPerEngine = 20;

auto MakeTarget() -> EngineTarget {
  EngineTarget target;
  for (int item = 0; item < kItemsPerEngine; ++item) {
    target.items.push_back(
        {{ModelId("model-" + std::to_string(item)), "1", AdapterId()},
         Bytes(1),
         1});
  }
  return target;
}

auto SecondsSince(std::chrono::steady_clock::time_point begin) -> double {
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - begin;
  return took.count();
}

auto Measure(int engines) -> void {
  PlacementReconciler reconciler(Term(1), Timestamp(),
                                 PlacementReconcilerOptions());
  const OwnerLease lease{Term(1), Timestamp(std::chrono::hours(1))};
  std::vector<EngineReport> reports;
  reports.reserve(static_cast<std::size_t>(engines));
  for (int engine = 0; engine < engines; ++engine) {
    const UpstreamId id("engine-" + std::to_string(engine));
    reconciler.SetEngine({id, Bytes(100), true, true});
    reconciler.SetTarget(id, MakeTarget());
    EngineReport report{id, Incarnation(1), Timestamp(), {}};
    EngineRecord record(Bytes(100), Bytes(0));
    for (const auto& item : MakeTarget().items) {
      report.resident.push_back({item.key, item.bytes});
      record.Reserve(item.key, item.bytes);
    }
    record.SetOwnerTerm(Term(1));
    reports.push_back(report);
    reconciler.Step(Timestamp(), lease);
    reconciler.Handle(Timestamp(),
                      RecordReadCompleted{id, ObjectVersion(1), record});
  }
  const int rounds = 20;
  double report_seconds = 0;
  double step_seconds = 0;
  std::size_t actions = 0;
  auto now = Timestamp();
  for (int round = 0; round < rounds; ++round) {
    now += std::chrono::seconds(1);
    auto begin = std::chrono::steady_clock::now();
    for (auto& report : reports) {
      report.sampled_at = now;
      reconciler.Handle(now, report);
    }
    const auto round_report_seconds = SecondsSince(begin);
    begin = std::chrono::steady_clock::now();
    actions += reconciler.Step(now, lease).size();
    // The first round is excluded, as it applies the initial reports.
    if (round == 0) continue;
    report_seconds += round_report_seconds;
    step_seconds += SecondsSince(begin);
  }
  std::printf("%d,%.5f,%.5f,%zu\n", engines, report_seconds / (rounds - 1),
              step_seconds / (rounds - 1), actions);
}

}  // namespace
}  // namespace dotterellug

auto main(int argc, char** argv) -> int {
  std::printf("engines,reports_s,step_s,actions\n");
  dotterellug::Measure(argc > 1 ? std::atoi(argv[1]) : 5200);
  return 0;
}
