#include "serving/backpressure/backpressure_table.h"

#include <algorithm>
#include <utility>

namespace dotterellug::serving {
namespace {

// Facts are forgotten this long after they were last observed. An upstream that
// still has requests to answer repeats them.
constexpr auto kFactTtl = std::chrono::minutes(10);
// The end of a rate is shared for this long, so that it reaches daemons that
// still know the rate.
constexpr auto kEndedRateTtl = std::chrono::seconds(30);
// Two observations of the same rate that are closer together count as one. The
// age of a fact does not include its time on the way, so that it looks newer at
// each daemon that it reaches.
constexpr auto kSameObservation = std::chrono::milliseconds(500);
// Entries in one message; more would not fit into a datagram.
constexpr std::size_t kMaxShared = 500;
// Longest effect of one answer that asks for a pause or states a rate. An
// upstream that still wants it says so again in its answer to the next request.
constexpr auto kMaxPause = std::chrono::minutes(1);
constexpr auto kMinRateTtl = std::chrono::minutes(1);
// A rate below one request in the minimum time ends after this many of the
// intervals that it allows, so that an answer can confirm it.
constexpr double kRateTtlIntervals = 3;
// Responses about misdirected requests, and the successes that refute them, are
// shared for this long. Longer than the longest suspicion, 4 s.
constexpr auto kMisdirectedTtl = std::chrono::seconds(10);

// A rate of 0 lets no request through whose answer could confirm it.
auto RateTtl(double rate) -> Duration {
  if (rate <= 0) return kMinRateTtl;
  const auto intervals =
      std::min(kRateTtlIntervals / rate, ToSeconds(kFactTtl));
  return std::max<Duration>(kMinRateTtl, FromSeconds(intervals));
}

auto Recent(Timestamp at, Timestamp now) -> bool {
  return at != Timestamp{} && now - at < kMisdirectedTtl;
}

// Takes over a time observed by another daemon if it is clearly later.
auto MergeTime(Timestamp& known, const std::optional<Duration>& age,
               Timestamp now) -> void {
  if (!age || *age >= kMisdirectedTtl) return;
  const Timestamp at = now - *age;
  if (known == Timestamp{} || at - known > kSameObservation) known = at;
}

}  // namespace

auto BackpressureTable::EntryFor(const UpstreamId& upstream,
                                 std::int64_t started_ms) -> Entry* {
  auto& entry = entries_[upstream];
  if (entry.started_ms > started_ms && started_ms != 0) return nullptr;
  if (entry.started_ms != 0 && entry.started_ms < started_ms) entry = Entry{};
  entry.started_ms = std::max(entry.started_ms, started_ms);
  return &entry;
}

auto BackpressureTable::UpdateRate(Entry& entry, std::optional<double> rate,
                                   Timestamp at) -> bool {
  if (at < entry.rate_at) return false;
  entry.rate_at = at;
  return std::exchange(entry.requests_per_second, rate) != rate;
}

auto BackpressureTable::RecordAnswer(const UpstreamId& upstream,
                                     std::int64_t started_ms,
                                     const StatedBackpressure& stated,
                                     Timestamp sent_at, Timestamp now) -> void {
  const bool restricts =
      stated.requests_per_second || stated.leaving || stated.retry_after;
  if (!restricts && entries_.count(upstream) == 0) return;
  auto* entry = EntryFor(upstream, started_ms);
  if (entry == nullptr) return;
  bool changed = false;
  if (stated.requests_per_second) {
    changed = UpdateRate(*entry, stated.requests_per_second, now);
  } else if (stated.shows_no_rate && entry->requests_per_second) {
    // The answer may have been made when the request was sent, before the
    // upstream stated its rate in another answer.
    changed = UpdateRate(*entry, std::nullopt, sent_at);
  }
  if (stated.leaving && !entry->leaving_since) {
    entry->leaving_since = now;
    changed = true;
  }
  if (stated.retry_after) {
    const auto pause = std::min<Duration>(*stated.retry_after, kMaxPause);
    entry->paused_until = std::max<Timestamp>(entry->paused_until, now + pause);
    changed = true;
  }
  if (changed) NoteChange(upstream, *entry, BackpressureSource::kAnswer, now);
}

auto BackpressureTable::RecordMisdirected(const UpstreamId& upstream,
                                          std::int64_t started_ms,
                                          Timestamp now) -> void {
  auto* entry = EntryFor(upstream, started_ms);
  if (entry != nullptr) entry->misdirected_at = now;
}

auto BackpressureTable::RecordServed(const UpstreamId& upstream,
                                     std::int64_t started_ms, Timestamp now)
    -> void {
  const auto found = entries_.find(upstream);
  if (found == entries_.end()) return;
  auto& entry = found->second;
  if (entry.started_ms > started_ms && started_ms != 0) return;
  if (Recent(entry.misdirected_at, now)) entry.served_at = now;
}

auto BackpressureTable::ServedSince(const UpstreamId& upstream,
                                    Timestamp time) const -> bool {
  const auto found = entries_.find(upstream);
  return found != entries_.end() && found->second.served_at > time;
}

auto BackpressureTable::Listed(const UpstreamId& upstream,
                               std::int64_t started_ms) const -> bool {
  const auto found = listed_.find(upstream);
  return found != listed_.end() && found->second == started_ms;
}

auto BackpressureTable::OnProcess(const UpstreamId& upstream,
                                  std::int64_t started_ms) -> void {
  listed_[upstream] = started_ms;
  const auto found = entries_.find(upstream);
  if (found == entries_.end() || started_ms == 0) return;
  if (found->second.started_ms == started_ms) return;
  entries_.erase(found);
  NoteForgotten(upstream, BackpressureSource::kNewProcess);
}

auto BackpressureTable::RateLimit(const UpstreamId& upstream) const
    -> std::optional<double> {
  const auto found = entries_.find(upstream);
  if (found == entries_.end()) return std::nullopt;
  return found->second.requests_per_second;
}

auto BackpressureTable::Leaving(const UpstreamId& upstream) const -> bool {
  const auto found = entries_.find(upstream);
  return found != entries_.end() && found->second.leaving_since.has_value();
}

auto BackpressureTable::PausedFor(const UpstreamId& upstream,
                                  Timestamp now) const -> Duration {
  const auto found = entries_.find(upstream);
  if (found == entries_.end()) return Duration::zero();
  return std::max<Duration>(found->second.paused_until - now, Duration::zero());
}

auto BackpressureTable::Share(Timestamp now) const
    -> std::vector<SharedBackpressure> {
  std::vector<SharedBackpressure> shared;
  for (const auto& [id, entry] : entries_) {
    const bool rate_known =
        entry.requests_per_second ||
        (entry.rate_at != Timestamp{} && now - entry.rate_at < kEndedRateTtl);
    const bool misdirected = Recent(entry.misdirected_at, now);
    if (!rate_known && !entry.leaving_since && !misdirected) continue;
    if (shared.size() == kMaxShared) break;
    SharedBackpressure fact;
    fact.upstream = id;
    fact.started_ms = entry.started_ms;
    if (rate_known) {
      fact.requests_per_second = entry.requests_per_second;
      fact.rate_age = now - entry.rate_at;
    }
    if (entry.leaving_since) fact.leaving_age = now - *entry.leaving_since;
    if (misdirected) fact.misdirected_age = now - entry.misdirected_at;
    if (misdirected && Recent(entry.served_at, now)) {
      fact.served_age = now - entry.served_at;
    }
    shared.push_back(std::move(fact));
  }
  return shared;
}

auto BackpressureTable::Merge(const std::vector<SharedBackpressure>& shared,
                              Timestamp now) -> void {
  for (const auto& fact : shared) {
    const auto recent = [](const std::optional<Duration>& age) {
      return age && *age < kFactTtl;
    };
    const bool rate_ended = !fact.requests_per_second;
    if (rate_ended && !fact.leaving_age && !fact.misdirected_age &&
        !RateLimit(fact.upstream)) {
      continue;
    }
    auto* entry = EntryFor(fact.upstream, fact.started_ms);
    if (entry == nullptr) continue;
    MergeTime(entry->misdirected_at, fact.misdirected_age, now);
    MergeTime(entry->served_at, fact.served_age, now);
    bool changed = false;
    // A rate that has ended here is not taken over again from a daemon where it
    // is about to end.
    const bool in_force =
        !fact.requests_per_second ||
        (fact.rate_age && *fact.rate_age < RateTtl(*fact.requests_per_second));
    if (recent(fact.rate_age) && in_force) {
      const Timestamp at = now - *fact.rate_age;
      const bool same = entry->requests_per_second == fact.requests_per_second;
      if (!same || at - entry->rate_at > kSameObservation) {
        changed = UpdateRate(*entry, fact.requests_per_second, at);
      }
    }
    const bool leaves =
        recent(fact.leaving_age) ||
        (fact.leaving_age && Listed(fact.upstream, fact.started_ms));
    if (leaves && !entry->leaving_since) {
      entry->leaving_since = now - *fact.leaving_age;
      changed = true;
    }
    if (changed) {
      NoteChange(fact.upstream, *entry, BackpressureSource::kFleet, now);
    }
  }
}

auto BackpressureTable::NoteChange(const UpstreamId& upstream,
                                   const Entry& entry,
                                   BackpressureSource source, Timestamp now)
    -> void {
  changes_.push_back(
      {upstream, entry.requests_per_second, entry.leaving_since.has_value(),
       std::max<Duration>(entry.paused_until - now, Duration::zero()), source});
}

auto BackpressureTable::NoteForgotten(const UpstreamId& upstream,
                                      BackpressureSource source) -> void {
  BackpressureChange change;
  change.upstream = upstream;
  change.source = source;
  changes_.push_back(std::move(change));
}

auto BackpressureTable::TakeChanges() -> std::vector<BackpressureChange> {
  return std::exchange(changes_, {});
}

auto BackpressureTable::RateEndsIn(const UpstreamId& upstream,
                                   Timestamp now) const -> Duration {
  const auto found = entries_.find(upstream);
  if (found == entries_.end() || !found->second.requests_per_second) {
    return Duration::zero();
  }
  const auto& entry = found->second;
  const auto ttl = RateTtl(*entry.requests_per_second);
  return std::max<Duration>(entry.rate_at + ttl - now, Duration::zero());
}

// The time of the observation stays, so that another daemon's later observation
// of the same rate is still taken over.
auto BackpressureTable::ExpireRate(Entry& entry, Timestamp now) -> bool {
  if (!entry.requests_per_second) return false;
  if (now - entry.rate_at <= RateTtl(*entry.requests_per_second)) return false;
  entry.requests_per_second.reset();
  return true;
}

auto BackpressureTable::Expire(Timestamp now) -> void {
  for (auto item = entries_.begin(); item != entries_.end();) {
    auto& entry = item->second;
    if (ExpireRate(entry, now)) {
      NoteChange(item->first, entry, BackpressureSource::kExpiry, now);
    }
    const auto observed_at =
        std::max({entry.rate_at, entry.paused_until, entry.misdirected_at,
                  entry.leaving_since.value_or(Timestamp{})});
    const bool leaves =
        entry.leaving_since && Listed(item->first, entry.started_ms);
    if (leaves || now - observed_at <= kFactTtl) {
      ++item;
      continue;
    }
    NoteForgotten(item->first, BackpressureSource::kExpiry);
    item = entries_.erase(item);
  }
}

auto BackpressureTable::RestrictedCount(Timestamp now) const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [&](const auto& item) {
        const auto& entry = item.second;
        return entry.requests_per_second || entry.leaving_since ||
               entry.paused_until > now;
      }));
}

}  // namespace dotterellug::serving
