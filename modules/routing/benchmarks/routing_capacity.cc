// Measures the time of one routing decision and the memory of a routing table
// for a given fleet size, and prints them as CSV. One process measures one
// size, so that other sizes do not affect the heap measurement. Usage:
// routing_capacity ENGINES MODELS

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "routing/routing.h"

namespace dotterellug {
namespace {

constexpr std::uint64_t kSeed = 1;
constexpr int kModelsPerEngine = 4;
constexpr int kBatches = 15;
constexpr int kDecisionsPerBatch = 20'000;

auto HeapBytes() -> double { return static_cast<double>(mallinfo2().uordblks); }

auto MakeInputs(int engines, int models, ServingDocument& document,
                Random& random) -> RoutingInputs {
  RoutingInputs inputs;
  for (int i = 0; i < 12; ++i) {
    const AvailabilityZoneId id("zone-" + std::to_string(i));
    document.zones[id].id = id;
  }
  for (int i = 0; i < engines; ++i) {
    Upstream upstream;
    upstream.id = UpstreamId("engine-" + std::to_string(i));
    upstream.zone = AvailabilityZoneId("zone-" + std::to_string(i % 12));
    upstream.pool = PoolId("pool");
    upstream.kind = UpstreamKind::kEngine;
    document.upstreams[upstream.id] = upstream;
    UpstreamStatus status;
    status.id = upstream.id;
    status.state = UpstreamState::kLive;
    status.concurrency_limit = 1'000'000;
    // The first model of each engine ensures that every model is resident in at
    // least one engine if there are enough engines.
    status.models.emplace_back("model-" + std::to_string(i % models));
    for (int model = 1; model < kModelsPerEngine; ++model) {
      status.models.emplace_back(
          "model-" +
          std::to_string(random.Below(static_cast<std::uint64_t>(models))));
    }
    inputs.statuses.push_back(std::move(status));
  }
  inputs.document = &document;
  return inputs;
}

auto MakeRequest(int models, Random& random) -> RoutingRequest {
  RoutingRequest request;
  request.model =
      ModelId("model-" +
              std::to_string(random.Below(static_cast<std::uint64_t>(models))));
  request.prompt_tokens = Tokens(1024);
  for (int block = 0; block < 16; ++block) {
    request.blocks.push_back(random.Next());
  }
  return request;
}

auto Measure(int engines, int models) -> void {
  Random random(kSeed);
  ServingDocument document;
  const auto inputs = MakeInputs(engines, models, document, random);
  const auto heap_before = HeapBytes();
  const auto build_begin = MonotonicNow();
  const auto table = RoutingTable::Build(inputs, nullptr);
  const auto build_seconds = ToSeconds(MonotonicNow() - build_begin);
  const auto table_bytes = HeapBytes() - heap_before;
  PrefixIndex prefixes{PrefixIndexOptions{}};
  std::vector<RoutingRequest> requests;
  requests.reserve(4096);
  for (int i = 0; i < 4096; ++i) {
    requests.push_back(MakeRequest(models, random));
  }
  RoutingThreadState state(kSeed);
  const auto now = Timestamp(std::chrono::seconds(1000));
  std::vector<double> batches;
  batches.reserve(kBatches);
  for (int batch = 0; batch < kBatches; ++batch) {
    const auto begin = MonotonicNow();
    for (int i = 0; i < kDecisionsPerBatch; ++i) {
      const auto& request = requests[static_cast<std::size_t>(i) % 4096];
      const auto decision =
          ChooseEngine(ExpectedCost{}, *table, prefixes, request, state, now);
      if (!decision) std::abort();
      const auto& chosen = table->Entries()[decision->chosen.position];
      prefixes.RecordPrompt(request.blocks, chosen.slot, now);
    }
    batches.push_back(ToSeconds(MonotonicNow() - begin) / kDecisionsPerBatch *
                      1e6);
  }
  std::sort(batches.begin(), batches.end());
  std::printf("%llu,%d,%d,%.3f,%.3f,%.2f,%.0f,%zu\n",
              static_cast<unsigned long long>(kSeed), engines, models,
              batches[kBatches / 2], batches.back(), build_seconds * 1e3,
              table_bytes, prefixes.MemoryBytes());
}

}  // namespace
}  // namespace dotterellug

auto main(int argc, char** argv) -> int {
  if (argc != 3) {
    std::fprintf(stderr, "usage: routing_capacity ENGINES MODELS\n");
    return 2;
  }
  std::printf(
      "seed,engines,models,decision_us,worst_batch_us,build_ms,table_bytes,"
      "prefix_bytes\n");
  dotterellug::Measure(std::atoi(argv[1]), std::atoi(argv[2]));
  return 0;
}
