#include "serving/dispatch/upstream_selector.h"

#include <algorithm>

namespace dotterellug::serving {
namespace {

// Cost of a failure rate of 1.
constexpr double kFailureRateCost = 3.0;
// Cost of an upstream in another zone. It breaks ties between equally loaded
// upstreams, since traffic between zones is billed.
constexpr double kCrossZoneCost = 0.03;
// Maximum discount for prefix affinity. Each upstream has a discount that is a
// hash of its id and the shared prompt, so requests with the same prompt prefix
// prefer the same upstream, which has it cached.
constexpr double kMaxPrefixAffinityDiscount = 0.05;
// Prompt tokens waiting for prefill that cost as much as a full batch. Their
// prefill takes about 300 ms, which is the target for the longest pause between
// events.
constexpr double kPrefillTokensPerFullBatch = 8000;
// Maximum random addition to the cost.
constexpr double kMaxCostJitter = 0.04;
// Fraction of an engine's KV cache that requests of known size may fill.
constexpr double kUsableKvCacheFraction = 0.95;

}  // namespace

auto UpstreamSelector::Cost(const UpstreamView& upstream,
                            const SelectionRequest& request,
                            const PoolCapacity& pool) -> double {
  const auto slots =
      static_cast<double>(std::max<std::int64_t>(upstream.record.slots, 1));
  auto load = upstream.TotalRequests() / slots;
  if (pool.kv_tokens > 0) {
    const auto memory =
        (upstream.TotalTokens() + static_cast<double>(request.tokens)) /
        (kUsableKvCacheFraction * static_cast<double>(pool.kv_tokens));
    load = std::max(load, memory);
  }
  // Engines interleave prefill with the decoding of all streams, so queued
  // prompts delay the first event and lengthen the pauses of running streams.
  load += upstream.TotalPrefillTokens() / kPrefillTokensPerFullBatch;
  auto cost = load + 1 / slots;
  cost += upstream.FailureRate() * kFailureRateCost;
  if (upstream.record.zone != request.zone) cost += kCrossZoneCost;
  if (request.shared_prefix_hash != 0) {
    const auto weight =
        Hash64(upstream.record.id.Value(), request.shared_prefix_hash);
    cost -= kMaxPrefixAffinityDiscount * static_cast<double>(weight >> 11U) /
            (1LL << 53U);
  }
  return cost;
}

auto UpstreamSelector::Rank(const UpstreamTable& table,
                            const SelectionRequest& request,
                            const PoolCapacity& pool, Random& random,
                            Timestamp now) const
    -> tl::expected<Candidates, SelectionFailure> {
  struct CostedUpstream {
    UpstreamTable::Entry entry;
    double cost = 0;
    bool misdirected = false;
  };
  std::vector<CostedUpstream> candidates;
  auto reason = SelectionFailure::kNoUpstream;
  int paused = 0;
  int not_paused = 0;
  bool trusted = false;
  for (const auto& entry : table.InPool(request.pool)) {
    if (!table.Usable(*entry)) continue;
    // A response that this daemon got is disregarded if the upstream has served
    // another daemon since then.
    const bool misdirected = entry->Misdirected(now) &&
                             !table.Backpressure().ServedSince(
                                 entry->record.id, entry->MisdirectedAt());
    if (misdirected && entry->AddressTaken(now)) continue;
    if (reason == SelectionFailure::kNoUpstream) {
      reason = SelectionFailure::kNoModel;
    }
    if (!entry->HasModel(request.model, request.adapter)) continue;
    if (entry->ModelMissing(request.model, request.adapter, now)) continue;
    if (reason == SelectionFailure::kNoModel) {
      reason = SelectionFailure::kNoneEligible;
    }
    trusted = trusted || (!misdirected && !entry->Suspected(now));
    const auto& excluded = request.excluded;
    if (std::find(excluded.begin(), excluded.end(), entry->record.id) !=
        excluded.end()) {
      continue;
    }
    if (table.Backpressure().PausedFor(entry->record.id, now) >
        Duration::zero()) {
      ++paused;
      continue;
    }
    ++not_paused;
    const auto slots = static_cast<double>(entry->record.slots);
    if (entry->TotalRequests() >= slots * (1 + pool.queue_fraction)) continue;
    auto cost = Cost(*entry, request, pool) + random.Uniform() * kMaxCostJitter;
    // Suspected upstreams are used only if there is no other candidate: 1000
    // exceeds the cost of any other.
    if (entry->Suspected(now)) cost += 1000;
    candidates.push_back({entry, cost, misdirected});
  }
  // An upstream whose responses said that requests were misdirected is used
  // only if its pool has no other, not if the others are full.
  if (trusted) {
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                    [](const CostedUpstream& candidate) {
                                      return candidate.misdirected;
                                    }),
                     candidates.end());
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return a.cost < b.cost; });
  if (paused > 0 && not_paused == 0) reason = SelectionFailure::kPaused;
  if (candidates.empty()) return tl::unexpected(reason);
  Candidates ranked;
  ranked.reserve(candidates.size());
  for (const auto& candidate : candidates) {
    ranked.push_back({candidate.entry, std::nullopt});
  }
  return ranked;
}

}  // namespace dotterellug::serving
