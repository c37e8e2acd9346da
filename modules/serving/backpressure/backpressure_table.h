#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace dotterellug::serving {

// What one answer of an upstream says about the requests that it takes.
struct StatedBackpressure {
  // Requests per second that it takes from all daemons together, from 0 to
  // BackpressureTable::kMaxRate; nothing if it states no rate.
  std::optional<double> requests_per_second;
  // Whether an answer that states no rate shows that none is in force. An
  // answer that cannot be trusted, or whose statement cannot be read, does not.
  bool shows_no_rate = false;
  // It will exit soon and takes no further requests.
  bool leaving = false;
  // It rejected the request and takes no other one from this daemon for so
  // long.
  std::optional<Duration> retry_after;
};

// What one daemon knows of an upstream's process, as messages carry it. How
// long an upstream wants to be left alone concerns one daemon and is not
// shared.
struct SharedBackpressure {
  UpstreamId upstream;
  std::int64_t started_ms = 0;
  // Nothing if the upstream takes requests at any rate again.
  std::optional<double> requests_per_second;
  // Time since the rate, or its end, was observed; nothing if it never was.
  std::optional<Duration> rate_age;
  // Time since the upstream was first known to leave; nothing if it does not.
  std::optional<Duration> leaving_age;
  // Time since a daemon got a response that said that its request was
  // misdirected, and since the upstream last served a request of any daemon
  // after one of them got such a response; nothing if that did not happen
  // lately.
  std::optional<Duration> misdirected_age;
  std::optional<Duration> served_age;
};

// Why a daemon's knowledge of an upstream has changed.
enum class BackpressureSource {
  kAnswer,      // an answer to this daemon said it
  kFleet,       // another daemon knew it
  kNewProcess,  // the upstream has started anew
  kExpiry,      // nothing has confirmed it for a long time
};

// A change of what this daemon knows of an upstream.
struct BackpressureChange {
  UpstreamId upstream;
  std::optional<double> requests_per_second;
  bool leaving = false;
  // Time for which it takes no requests from this daemon; 0 if it does.
  Duration pause{0};
  BackpressureSource source = BackpressureSource::kAnswer;
};

// What upstreams have asked for in their answers: a rate of requests, a pause,
// or no further requests. Each fact belongs to one process of an upstream and
// outlives the upstream's entry in the store, which may be missing for a while.
// Copies that have exchanged all they know agree on rates and on who leaves.
// Not thread-safe.
class BackpressureTable {
 public:
  // Rates above this, in requests per second, do not limit anything.
  static constexpr double kMaxRate = 1e6;

  // Records what the answer to an attempt said. The attempt was sent at
  // `sent_at`, and the head of the answer arrived at `now`. `started_ms` tells
  // processes of the upstream apart; 0 if it is not known.
  auto RecordAnswer(const UpstreamId& upstream, std::int64_t started_ms,
                    const StatedBackpressure& stated, Timestamp sent_at,
                    Timestamp now) -> void;
  // Records that a response said that a request was misdirected, so that
  // daemons which the upstream serves tell so.
  auto RecordMisdirected(const UpstreamId& upstream, std::int64_t started_ms,
                         Timestamp now) -> void;
  // Records that the upstream served a request of this daemon. Has an effect
  // only if some daemon lately got a response as in RecordMisdirected.
  auto RecordServed(const UpstreamId& upstream, std::int64_t started_ms,
                    Timestamp now) -> void;
  // Whether the upstream is known to have served a daemon after `time`.
  auto ServedSince(const UpstreamId& upstream, Timestamp time) const -> bool;
  // The upstream is listed with this process. Forgets what earlier processes
  // said.
  auto OnProcess(const UpstreamId& upstream, std::int64_t started_ms) -> void;
  // The upstream is no longer listed.
  auto OnGone(const UpstreamId& upstream) -> void { listed_.erase(upstream); }

  // Requests per second that the upstream takes from all daemons together;
  // nothing if it states no rate.
  auto RateLimit(const UpstreamId& upstream) const -> std::optional<double>;
  auto Leaving(const UpstreamId& upstream) const -> bool;
  // Time until the upstream takes requests from this daemon again; 0 if it
  // does.
  auto PausedFor(const UpstreamId& upstream, Timestamp now) const -> Duration;

  // What other daemons should know. Includes rates that ended recently.
  auto Share(Timestamp now) const -> std::vector<SharedBackpressure>;
  // Adds what another daemon knows. The latest observation of a rate wins.
  auto Merge(const std::vector<SharedBackpressure>& shared, Timestamp now)
      -> void;

  // Returns the changes since the last call.
  auto TakeChanges() -> std::vector<BackpressureChange>;
  // Time until the upstream's rate ends unless an answer states it again; 0 if
  // it states none.
  auto RateEndsIn(const UpstreamId& upstream, Timestamp now) const -> Duration;
  // Forgets what was not observed for a long time. That an upstream leaves
  // holds as long as it is listed with the same process.
  auto Expire(Timestamp now) -> void;
  // Number of upstreams that state a rate, leave, or are left alone.
  auto RestrictedCount(Timestamp now) const -> std::size_t;

 private:
  struct Entry {
    std::int64_t started_ms = 0;
    std::optional<double> requests_per_second;
    // When the rate, or its end, was observed; zero if it never was.
    Timestamp rate_at{};
    std::optional<Timestamp> leaving_since;
    Timestamp paused_until{};
    // Zero if not observed.
    Timestamp misdirected_at{};
    Timestamp served_at{};
  };

  // Whether the upstream is listed with the process of the entry.
  auto Listed(const UpstreamId& upstream, std::int64_t started_ms) const
      -> bool;
  // Ends a rate that no answer has stated again. Returns whether it did.
  static auto ExpireRate(Entry& entry, Timestamp now) -> bool;
  // Returns the entry for the process, emptied if it was about an earlier one;
  // null if the entry is about a later one.
  auto EntryFor(const UpstreamId& upstream, std::int64_t started_ms) -> Entry*;
  // Returns whether the observation is the latest one and changes the rate.
  static auto UpdateRate(Entry& entry, std::optional<double> rate, Timestamp at)
      -> bool;
  auto NoteChange(const UpstreamId& upstream, const Entry& entry,
                  BackpressureSource source, Timestamp now) -> void;
  // Notes that nothing is known of the upstream any more.
  auto NoteForgotten(const UpstreamId& upstream, BackpressureSource source)
      -> void;

  std::unordered_map<UpstreamId, Entry> entries_;
  // Start time of the process that each upstream is listed with.
  std::unordered_map<UpstreamId, std::int64_t> listed_;
  std::vector<BackpressureChange> changes_;
};

}  // namespace dotterellug::serving
