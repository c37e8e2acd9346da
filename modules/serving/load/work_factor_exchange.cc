#include "serving/load/work_factor_exchange.h"

#include <algorithm>
#include <cmath>

namespace dotterellug::serving {
namespace {

// An observation that differs from the expected factor by less is no news.
constexpr double kSurprise = 0.2;
// Surprises are told for this long: a little longer than the longest report
// interval, and about as long as a slow period.
constexpr auto kSurpriseTtl = std::chrono::milliseconds(700);
// Surprises kept at most, so that a burst of them takes no more memory.
constexpr std::size_t kMaxSurprises = 512;
// An observation comes back from the hub with an age that does not include its
// time on the way, so that it looks newer.
constexpr auto kSameObservation = std::chrono::milliseconds(100);
// Messages state factors in whole percent.
constexpr double kSameFactor = 0.011;
constexpr auto kListInterval = std::chrono::seconds(1);
// Factors that were observed longer ago are not told: nobody has used the
// upstream, and its machine may run something else now.
constexpr auto kFactTtl = std::chrono::minutes(10);

auto MakeFact(const UpstreamView& upstream, Timestamp now) -> SharedWorkFactor {
  const auto& factor = upstream.work_factor;
  SharedWorkFactor fact;
  fact.upstream = upstream.record.id;
  fact.started_ms = upstream.record.started_ms;
  fact.current = factor.Current();
  fact.age = std::max<Duration>(now - factor.ObservedAt(), Duration::zero());
  if (factor.UsualSettled()) fact.usual = factor.Usual();
  return fact;
}

}  // namespace

auto WorkFactorExchange::NoteSurprise(const UpstreamTable::Entry& upstream,
                                      double factor, Timestamp at,
                                      WorkFactorSource source, Timestamp now)
    -> void {
  const auto& known = upstream->work_factor;
  if (known.Known()) {
    const auto expected = known.Expected(now);
    if (std::abs(factor - expected) < kSurprise * expected) return;
  }
  surprises_.push_back({upstream, at, source});
  if (surprises_.size() > kMaxSurprises) surprises_.pop_front();
}

auto WorkFactorExchange::Observe(const UpstreamTable::Entry& upstream,
                                 double factor, Timestamp now) -> void {
  NoteSurprise(upstream, factor, now, WorkFactorSource::kResponse, now);
  table_.ObserveWorkFactor(*upstream, factor, now);
}

auto WorkFactorExchange::Merge(const std::vector<SharedWorkFactor>& shared,
                               WorkFactorSource source, Timestamp now) -> void {
  for (const auto& fact : shared) {
    const auto upstream = table_.Find(fact.upstream);
    if (!upstream || upstream->record.started_ms != fact.started_ms) continue;
    if (fact.age > kFactTtl) continue;
    const Timestamp at = now - fact.age;
    const auto& known = upstream->work_factor;
    if (known.Known()) {
      if (at <= known.ObservedAt()) continue;
      const bool same_factor =
          std::abs(known.Current() - fact.current) < kSameFactor;
      if (same_factor && at - known.ObservedAt() < kSameObservation) continue;
    }
    NoteSurprise(upstream, fact.current, at, source, now);
    table_.AdoptWorkFactor(*upstream, fact, at);
  }
}

auto WorkFactorExchange::AddSurprises(std::vector<SharedWorkFactor>& shared,
                                      bool to_hub, Timestamp now) -> void {
  while (!surprises_.empty() && now - surprises_.front().at > kSurpriseTtl) {
    surprises_.pop_front();
  }
  for (auto one = surprises_.rbegin(); one != surprises_.rend(); ++one) {
    if (shared.size() == kMaxRecent) return;
    if (to_hub && one->source == WorkFactorSource::kHub) continue;
    if (now - one->at > kSurpriseTtl) continue;
    const auto& upstream = *one->upstream;
    const bool listed = std::any_of(
        shared.begin(), shared.end(),
        [&](const auto& fact) { return fact.upstream == upstream.record.id; });
    if (!listed) shared.push_back(MakeFact(upstream, now));
  }
}

auto WorkFactorExchange::AddInTurn(std::vector<SharedWorkFactor>& shared,
                                   std::int64_t turn, Timestamp now) -> void {
  if (now - listed_at_ >= kListInterval) {
    listed_at_ = now;
    in_turn_.clear();
    for (const auto& [id, upstream] : table_.All()) {
      if (upstream->work_factor.Known()) in_turn_.push_back(upstream);
    }
    // Turns need an order that is kept from one list to the next.
    std::sort(in_turn_.begin(), in_turn_.end(),
              [](const auto& a, const auto& b) {
                return a->record.id < b->record.id;
              });
  }
  if (in_turn_.empty()) return;
  const auto count = std::min(kMaxInTurn, in_turn_.size());
  const auto first =
      static_cast<std::size_t>(turn) * kMaxInTurn % in_turn_.size();
  for (std::size_t i = 0; i < count; ++i) {
    const auto& upstream = *in_turn_[(first + i) % in_turn_.size()];
    if (now - upstream.work_factor.ObservedAt() > kFactTtl) continue;
    shared.push_back(MakeFact(upstream, now));
  }
}

auto WorkFactorExchange::ShareWithDaemon(std::int64_t turn, Timestamp now)
    -> std::vector<SharedWorkFactor> {
  std::vector<SharedWorkFactor> shared;
  AddSurprises(shared, false, now);
  AddInTurn(shared, turn, now);
  return shared;
}

auto WorkFactorExchange::ShareWithHub(std::int64_t turn, Timestamp now)
    -> std::vector<SharedWorkFactor> {
  std::vector<SharedWorkFactor> shared;
  AddSurprises(shared, true, now);
  AddInTurn(shared, turn, now);
  return shared;
}

}  // namespace dotterellug::serving
