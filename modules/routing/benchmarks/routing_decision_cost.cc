// Measures the time of one routing decision for growing fleets and prints it in
// microseconds as CSV: the median and the maximum of 15 batches of 20,000
// decisions. Prompts have 32 blocks, half of which are cached in some engine.
// The time to build the routing table is printed for comparison.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "routing/routing.h"

namespace dotterellug {
namespace {

struct FleetSize {
  std::size_t engines;
  std::size_t models;
};

// Every engine has 4 models; popular models are resident in more engines.
auto BuildInputs(const FleetSize& size, ServingDocument& document)
    -> RoutingInputs {
  Random random(7);
  RoutingInputs inputs;
  for (std::size_t i = 0; i < size.engines; ++i) {
    Upstream upstream;
    upstream.id = UpstreamId("engine-" + std::to_string(i));
    upstream.zone = AvailabilityZoneId("z" + std::to_string(i % 12));
    document.upstreams[upstream.id] = upstream;
    UpstreamStatus status;
    status.id = upstream.id;
    status.state = UpstreamState::kLive;
    status.concurrency_limit = 1'000'000;
    for (std::size_t m = 0; m < 4; ++m) {
      const auto uniform = random.Uniform();
      const auto model =
          m == 0 ? i % size.models
                 : static_cast<std::size_t>(uniform * uniform *
                                            static_cast<double>(size.models));
      status.models.emplace_back("model-" + std::to_string(model));
    }
    inputs.statuses.push_back(status);
  }
  inputs.document = &document;
  return inputs;
}

auto BuildRequests(const FleetSize& size, const RoutingTable& table,
                   PrefixIndex& prefixes) -> std::vector<RoutingRequest> {
  constexpr std::size_t kRequests = 4096;
  constexpr std::size_t kBlocks = 32;
  Random random(11);
  std::vector<RoutingRequest> requests(kRequests);
  for (auto& request : requests) {
    request.model = ModelId("model-" + std::to_string(random.Below(std::min(
                                           size.models, size.engines))));
    request.prompt_tokens = Tokens(kBlocks * 64);
    for (std::size_t b = 0; b < kBlocks; ++b) {
      request.blocks.push_back(random.Next());
    }
    const auto* list =
        table.ForModel(request.model, RequestPhase::kPrefillAndDecode);
    const BlockHashes cached(request.blocks.begin(),
                             request.blocks.begin() + kBlocks / 2);
    for (int copy = 0; copy < 2; ++copy) {
      const auto& entry = table.Entries()[(*list)[random.Below(list->size())]];
      prefixes.RecordPrompt(cached, entry.slot, Timestamp());
    }
  }
  return requests;
}

using Clock = std::chrono::steady_clock;

auto MicrosecondsSince(Clock::time_point start) -> double {
  return std::chrono::duration<double, std::micro>(Clock::now() - start)
      .count();
}

auto Measure(const FleetSize& size) -> void {
  ServingDocument document;
  const auto inputs = BuildInputs(size, document);
  const auto build_start = Clock::now();
  const auto table = RoutingTable::Build(inputs, nullptr);
  const auto build_ms = MicrosecondsSince(build_start) / 1000;
  PrefixIndex prefixes(PrefixIndexOptions{});
  const auto requests = BuildRequests(size, *table, prefixes);
  RoutingThreadState state(3);
  const RoutingPolicy policy = ExpectedCost{};
  constexpr int kBatches = 15;
  constexpr std::size_t kDecisions = 20'000;
  std::vector<double> times;
  std::uint64_t sum = 0;
  for (int batch = 0; batch < kBatches; ++batch) {
    const auto start = Clock::now();
    for (std::size_t i = 0; i < kDecisions; ++i) {
      const auto decision =
          ChooseEngine(policy, *table, prefixes, requests[i % requests.size()],
                       state, Timestamp());
      sum += decision->chosen.position;
    }
    times.push_back(MicrosecondsSince(start) / kDecisions);
  }
  std::sort(times.begin(), times.end());
  std::printf("%zu,%zu,%.2f,%.2f,%.1f,%llu\n", size.engines, size.models,
              times[kBatches / 2], times.back(), build_ms,
              static_cast<unsigned long long>(sum % 10));
}

}  // namespace
}  // namespace dotterellug

auto main() -> int {
  std::printf(
      "engines,models,decision_median_us,decision_worst_batch_us,"
      "table_build_ms,check\n");
  for (const auto& size :
       {dotterellug::FleetSize{9, 18}, dotterellug::FleetSize{500, 200},
        dotterellug::FleetSize{5200, 920}}) {
    dotterellug::Measure(size);
  }
  return 0;
}
