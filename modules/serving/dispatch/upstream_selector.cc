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
// Exceeds the cost of any upstream that is not suspected, in either unit.
constexpr double kSuspicionCost = 1e9;
// Fraction of an engine's KV cache that requests of known size may fill.
constexpr double kUsableKvCacheFraction = 0.95;
// Discount for the affinity of the request's prompt to the upstream.
auto AffinityDiscount(const UpstreamView& upstream,
                      const SelectionRequest& request) -> double {
  if (request.shared_prefix_hash == 0) return 0;
  const auto weight =
      Hash64(upstream.record.id.Value(), request.shared_prefix_hash);
  return kMaxPrefixAffinityDiscount * static_cast<double>(weight >> 11U) /
         (1LL << 53U);
}

// What the dimensionless cost 1, a full batch, is in milliseconds where the
// work factor is 1. A full batch delays a request about as much as the prefill
// of kPrefillTokensPerFullBatch does.
constexpr double kFullBatchMs = 300;
// Maximum random addition to an expected time. With 12 ms, four daemons filled
// the fastest of 12 engines together between two reports.
constexpr double kMaxTimeJitterMs = 40;
// Network time to another zone and back.
constexpr double kCrossZoneRoundTripMs = 1;

auto Milliseconds(Duration duration) -> double {
  return ToSeconds(duration) * 1000;
}

// Expected times of a request at one upstream.
struct ExpectedTimes {
  Duration first_event;
  // Cost in milliseconds without jitter.
  double cost = 0;
};

// `factor` is the expected work factor of the upstream.
auto ExpectedTime(const UpstreamView& upstream, const SelectionRequest& request,
                  const PoolCapacity& pool, double factor, Timestamp now)
    -> ExpectedTimes {
  const auto slots =
      static_cast<double>(std::max<std::int64_t>(upstream.record.slots, 1));
  const auto requests = upstream.ExpectedRequests(now);
  const auto ahead = std::max(requests + 1 - slots, 0.0);
  const auto slot_wait = Milliseconds(pool.times.slot) * ahead / slots;
  const auto prefill_tokens = upstream.TotalPrefillTokens() +
                              static_cast<double>(request.prefill_tokens);
  const auto prefill =
      Milliseconds(pool.times.prefill_1000_tokens) * prefill_tokens / 1000;
  const bool other_zone = upstream.record.zone != request.zone;
  const auto first_event =
      factor * (slot_wait + prefill + Milliseconds(pool.times.first_event)) +
      (other_zone ? kCrossZoneRoundTripMs : 0);
  // The engine works on all its requests in turn, which lengthens the pauses
  // between events and the time to the end.
  auto batch = requests / slots;
  if (pool.kv_tokens > 0) {
    const auto memory =
        (upstream.TotalTokens() + static_cast<double>(request.tokens)) /
        (kUsableKvCacheFraction * static_cast<double>(pool.kv_tokens));
    batch = std::max(batch, memory);
  }
  auto cost = first_event + factor * kFullBatchMs * (batch + 1 / slots);
  cost += upstream.FailureRate() * kFailureRateCost * kFullBatchMs;
  if (other_zone) cost += kCrossZoneCost * kFullBatchMs;
  cost -= AffinityDiscount(upstream, request) * kFullBatchMs;
  return {FromSeconds(first_event / 1000), cost};
}

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
  return cost - AffinityDiscount(upstream, request);
}

auto UpstreamSelector::SetExpectedTimes(std::vector<CostedUpstream>& candidates,
                                        const SelectionRequest& request,
                                        const PoolCapacity& pool,
                                        Random& random, Timestamp now) -> void {
  // Upstreams whose factor nobody knows yet are taken to be average ones.
  double known_sum = 0;
  int known = 0;
  for (const auto& candidate : candidates) {
    if (!candidate.entry->work_factor.Known()) continue;
    known_sum += candidate.entry->work_factor.Usual();
    ++known;
  }
  const auto average = known > 0 ? known_sum / known : 1;
  for (auto& candidate : candidates) {
    const auto& factor = candidate.entry->work_factor;
    const auto times =
        ExpectedTime(*candidate.entry, request, pool,
                     factor.Known() ? factor.Expected(now) : average, now);
    candidate.cost = times.cost + random.Uniform() * kMaxTimeJitterMs;
    if (factor.Known() && pool.times.observed) {
      candidate.first_event = times.first_event;
    }
  }
}

auto UpstreamSelector::Rank(const UpstreamTable& table,
                            const SelectionRequest& request,
                            const PoolCapacity& pool, Random& random,
                            Timestamp now) const
    -> tl::expected<Candidates, SelectionFailure> {
  const bool by_time = table.StatesWorkFactors(request.pool);
  std::vector<CostedUpstream> candidates;
  auto reason = SelectionFailure::kNoUpstream;
  int paused = 0;
  int not_paused = 0;
  for (const auto& entry : table.InPool(request.pool)) {
    if (!table.Usable(*entry)) continue;
    if (reason == SelectionFailure::kNoUpstream) {
      reason = SelectionFailure::kNoModel;
    }
    if (!entry->HasModel(request.model, request.adapter)) continue;
    if (reason == SelectionFailure::kNoModel) {
      reason = SelectionFailure::kNoneEligible;
    }
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
    candidates.push_back({entry, 0, std::nullopt});
  }
  if (by_time) {
    SetExpectedTimes(candidates, request, pool, random, now);
  } else {
    for (auto& candidate : candidates) {
      candidate.cost = Cost(*candidate.entry, request, pool) +
                       random.Uniform() * kMaxCostJitter;
      if (pool.times.observed) {
        candidate.first_event =
            ExpectedTime(*candidate.entry, request, pool, 1, now).first_event;
      }
    }
  }
  // Suspected upstreams are used only if there is no other candidate.
  for (auto& candidate : candidates) {
    if (candidate.entry->Suspected(now)) candidate.cost += kSuspicionCost;
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return a.cost < b.cost; });
  if (paused > 0 && not_paused == 0) reason = SelectionFailure::kPaused;
  if (candidates.empty()) return tl::unexpected(reason);
  Candidates ranked;
  ranked.reserve(candidates.size());
  for (const auto& candidate : candidates) {
    ranked.push_back({candidate.entry, candidate.first_event});
  }
  return ranked;
}

}  // namespace dotterellug::serving
