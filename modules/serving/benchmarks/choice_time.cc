// Measures the processor time of one choice of an upstream, by load and by
// expected time, at three sizes of a pool. Prints CSV.
// Usage: choice_time [CHOICES]

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>

#include "serving/serving.h"

namespace dotterellug::serving {
namespace {

constexpr int kZones = 8;

auto FillTable(UpstreamTable& table, int upstreams, bool states_factors,
               Timestamp now) -> void {
  Random random(7);
  for (int i = 0; i < upstreams; ++i) {
    UpstreamRecord record;
    record.id = UpstreamId("i-upstream-" + std::to_string(i));
    record.pool = PoolId("p");
    record.zone = AvailabilityZoneId("zone-" + std::to_string(i % kZones));
    record.address = {"127.0.0.1", 1};
    record.slots = 16;
    record.started_ms = 1;
    // A model is on one of four engines.
    record.models = {
        {ModelId("model-" + std::to_string(i / kZones % 4)), 1, {}}};
    table.Upsert(record, now);
    const auto entry = table.Find(record.id);
    entry->other_daemons_load.requests = static_cast<double>(random.Below(16));
    if (states_factors) {
      table.ObserveWorkFactor(*entry, i % 3 == 2 ? 1.7 : 0.7, now);
    }
  }
}

auto Measure(int upstreams, bool states_factors, int choices) -> void {
  const auto now = Timestamp(std::chrono::seconds(1000));
  UpstreamTable table;
  FillTable(table, upstreams, states_factors, now);
  SelectionRequest request;
  request.pool = PoolId("p");
  request.model = ModelId("model-1");
  request.zone = AvailabilityZoneId("zone-1");
  request.shared_prefix_hash = 5;
  Random random(3);
  std::size_t candidates = 0;
  const auto begin = std::clock();
  for (int i = 0; i < choices; ++i) {
    const auto ranked =
        UpstreamSelector().Rank(table, request, {}, random, now);
    if (ranked) candidates += ranked->size();
  }
  const auto took_us = static_cast<double>(std::clock() - begin) * 1e6 /
                       static_cast<double>(CLOCKS_PER_SEC);
  std::printf("%d,%s,%.2f,%.1f\n", upstreams,
              states_factors ? "expected_time" : "load", took_us / choices,
              static_cast<double>(candidates) / choices);
}

auto Run(int choices) -> void {
  std::printf("upstreams,choice,us_per_choice,candidates\n");
  for (const auto upstreams : {16, 112, 5200}) {
    for (const bool states_factors : {false, true}) {
      Measure(upstreams, states_factors, choices);
    }
  }
}

}  // namespace
}  // namespace dotterellug::serving

auto main(int argc, char** argv) -> int {
  dotterellug::serving::Run(argc > 1 ? std::atoi(argv[1]) : 2000);
  return 0;
}
