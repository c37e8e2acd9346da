#include "serving/dispatch/upstream_selector.h"

#include <algorithm>
#include <cmath>
#include <numeric>

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
// Upstreams of the own zone, and of other zones, that are compared by their
// expected times; further ones follow behind them. All daemons have the same
// reports, and the upstream that looks best to all would get the requests of
// all until the next report. A choice among a few random ones (power of d
// choices) avoids that.
constexpr std::size_t kComparedInZone = 4;
constexpr std::size_t kComparedElsewhere = 2;
// Exceeds all differences of expected times that matter, and is less than
// kSuspicionCost.
constexpr double kNotComparedCostMs = 1e6;
// In larger pools, only so many random candidates are looked at, in the own
// zone and elsewhere, so that the time for a choice does not grow.
constexpr std::size_t kLargePool = 128;
constexpr std::size_t kLookedAtInZone = 12;
constexpr std::size_t kLookedAtElsewhere = 4;
// Entries that are looked at for candidates elsewhere; a pool may have only one
// zone.
constexpr std::size_t kLookedAtMost = 256;
// Mean addition to the expected times of other zones, to which traffic is
// billed, as a part of the latency target: a request whose target is further
// away stays in its zone for longer. Within the bounds, 40 ms are what two to
// three more requests on an engine with 16 slots cost. Each choice draws its
// own addition, from half of the mean to one and a half, so that the part of
// the requests that goes elsewhere grows with the difference between the zones
// instead of jumping.
constexpr double kCrossZonePart = 0.08;
constexpr double kMinCrossZoneMs = 40;
constexpr double kMaxCrossZoneMs = 160;
// Part of the choices in which an upstream of the own zone is preferred whose
// work factor no daemon knows.
constexpr double kTrialShare = 0.02;
// Network time to another zone and back.
constexpr double kCrossZoneRoundTripMs = 1;

auto Milliseconds(Duration duration) -> double {
  return ToSeconds(duration) * 1000;
}

// Takes `wanted` of `left` elements, each with the same probability.
struct RandomSample {
  std::size_t wanted;
  std::size_t left;

  auto Take(Random& random) -> bool {
    const bool takes = random.Below(left) < wanted;
    --left;
    if (takes) --wanted;
    return takes;
  }
};

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
  // Requests stay longer on a slow engine, so equal numbers in flight already
  // spread them by speed; the whole factor here would shift them twice and
  // queue prompts on fast engines.
  auto cost =
      first_event + std::sqrt(factor) * kFullBatchMs * (batch + 1 / slots);
  cost += upstream.FailureRate() * kFailureRateCost * kFullBatchMs;
  cost -= AffinityDiscount(upstream, request) * kFullBatchMs;
  return {FromSeconds(first_event / 1000), cost};
}

// Calls `consider`, which may add a candidate, for the entries in an order that
// begins at random, until there are enough candidates of the own zone and of
// others, or all entries have been considered.
template <class Entries, class Candidates, class Consider>
auto ConsiderSome(const Entries& entries, const AvailabilityZoneId& zone,
                  Random& random, Candidates& candidates,
                  const Consider& consider) -> void {
  const auto size = entries.size();
  // A step without a common divisor with the size reaches each entry once.
  auto step = 1 + random.Below(size - 1);
  while (std::gcd(step, size) != 1) step = step % (size - 1) + 1;
  auto index = random.Below(size);
  std::size_t own = 0;
  std::size_t others = 0;
  for (std::size_t i = 0; i < size; ++i, index = (index + step) % size) {
    const auto& entry = entries[index];
    const bool in_zone = entry->record.zone == zone;
    auto& count = in_zone ? own : others;
    if (count == (in_zone ? kLookedAtInZone : kLookedAtElsewhere)) continue;
    const auto before = candidates.size();
    consider(entry);
    count += candidates.size() - before;
    const bool enough = others == kLookedAtElsewhere || i >= kLookedAtMost;
    if (own == kLookedAtInZone && enough) return;
  }
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
  const auto in_zone = [&](const CostedUpstream& candidate) {
    return candidate.entry->record.zone == request.zone;
  };
  const auto own = static_cast<std::size_t>(
      std::count_if(candidates.begin(), candidates.end(), in_zone));
  RandomSample compared_in_zone{kComparedInZone, own};
  RandomSample compared_elsewhere{kComparedElsewhere, candidates.size() - own};
  const auto cross_zone =
      std::clamp(kCrossZonePart * Milliseconds(request.latency_target),
                 kMinCrossZoneMs, kMaxCrossZoneMs) *
      (0.5 + random.Uniform());
  const bool trial = random.Uniform() < kTrialShare;
  CostedUpstream* preferred = nullptr;
  bool preferred_compared = false;
  double largest_discount = 0;
  for (auto& candidate : candidates) {
    const auto& factor = candidate.entry->work_factor;
    const auto times =
        ExpectedTime(*candidate.entry, request, pool,
                     factor.Known() ? factor.Expected(now) : average, now);
    candidate.cost = times.cost + random.Uniform() * kMaxTimeJitterMs;
    if (factor.Known() && pool.times.observed) {
      candidate.first_event = times.first_event;
    }
    const bool own_zone = in_zone(candidate);
    if (!own_zone) candidate.cost += cross_zone;
    auto& sample = own_zone ? compared_in_zone : compared_elsewhere;
    const bool compared = sample.Take(random);
    const bool tried = trial && own_zone && !factor.Known();
    if (tried) {
      candidate.cost -= kNotComparedCostMs;
    } else if (!compared) {
      candidate.cost += kNotComparedCostMs;
    }
    const auto discount =
        own_zone ? AffinityDiscount(*candidate.entry, request) : 0;
    if (discount <= largest_discount) continue;
    largest_discount = discount;
    preferred = &candidate;
    preferred_compared = compared || tried;
  }
  // The upstream that has the prompt's prefix cached is always compared.
  if (preferred != nullptr && !preferred_compared) {
    preferred->cost -= kNotComparedCostMs;
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
  bool trusted = false;
  const auto consider = [&](const UpstreamTable::Entry& entry) {
    if (!table.Usable(*entry)) return;
    // A response that this daemon got is disregarded if the upstream has served
    // another daemon since then.
    const bool misdirected = entry->Misdirected(now) &&
                             !table.Backpressure().ServedSince(
                                 entry->record.id, entry->MisdirectedAt());
    if (misdirected && entry->AddressTaken(now)) return;
    if (reason == SelectionFailure::kNoUpstream) {
      reason = SelectionFailure::kNoModel;
    }
    if (!entry->HasModel(request.model, request.adapter)) return;
    if (entry->ModelMissing(request.model, request.adapter, now)) return;
    if (reason == SelectionFailure::kNoModel) {
      reason = SelectionFailure::kNoneEligible;
    }
    trusted = trusted || (!misdirected && !entry->Suspected(now));
    const auto& excluded = request.excluded;
    if (std::find(excluded.begin(), excluded.end(), entry->record.id) !=
        excluded.end()) {
      return;
    }
    if (table.Backpressure().PausedFor(entry->record.id, now) >
        Duration::zero()) {
      ++paused;
      return;
    }
    ++not_paused;
    const auto slots = static_cast<double>(entry->record.slots);
    if (entry->TotalRequests() >= slots * (1 + pool.queue_fraction)) return;
    candidates.push_back({entry, 0, std::nullopt, misdirected});
  };
  const auto& entries = table.InPool(request.pool);
  if (by_time && entries.size() > kLargePool) {
    ConsiderSome(entries, request.zone, random, candidates, consider);
  } else {
    for (const auto& entry : entries) consider(entry);
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
