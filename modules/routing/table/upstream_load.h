#pragma once

#include <array>
#include <atomic>
#include <cstdint>

#include "core/ids/ids.h"
#include "core/time/time.h"
#include "routing/table/upstream_status.h"

namespace dotterellug {

// The load of an upstream as one daemon estimates it at one moment.
struct LoadEstimate {
  // Prompt tokens ahead of a new request.
  double queued_tokens = 0;
  double prefill_tokens_per_ms = 1;
  // Requests in the engine, of all daemons.
  double outstanding = 0;
};

// Load counters of one upstream: its last report, what this daemon has sent
// since the moment of the report, and what it has in flight. Shared by all
// traffic threads; every member is atomic, and readers may see the fields of
// two reports mixed, which only blurs an estimate. ApplyReport has a single
// caller, the control thread. The object outlives the snapshots that refer to
// it, so counts survive a new snapshot.
class UpstreamLoad {
 public:
  explicit UpstreamLoad(std::int64_t allowance) : allowance_(allowance) {}

  // Takes a report over. Returns false for one older than the last, which is
  // ignored.
  auto ApplyReport(const LoadReport& report) -> bool;

  // Sets the admissible requests in flight from this daemon. Requests in flight
  // above a lowered allowance finish; no new ones start.
  auto SetAllowance(std::int64_t allowance) -> void;
  auto Allowance() const -> std::int64_t;

  // Counts a request that is about to be sent, with its uncached prompt tokens.
  // Returns false and counts nothing when the allowance is used up. Use
  // DispatchTicket, which also counts the end.
  auto TryBegin(Tokens uncached, Timestamp now) -> bool;
  // The request's prefill is over: its first token arrived, or it failed.
  auto EndPrefill(Tokens uncached) -> void;
  // The request is over.
  auto End() -> void;

  auto InFlight() const -> std::int64_t;
  auto HasRoom() const -> bool;
  auto Estimate(Timestamp now) const -> LoadEstimate;

 private:
  // This daemon's part of the load is kept per interval, so that it can be
  // taken out of a late report. Reports later than the whole span (3.2 s) use
  // the part of now.
  static constexpr std::int64_t kHistoryIntervalMicroseconds = 50'000;
  static constexpr std::size_t kHistoryIntervals = 64;

  // Requests in flight and waiting prompt tokens of this daemon.
  struct OwnLoad {
    std::int64_t requests = 0;
    std::int64_t tokens = 0;
  };

  auto RecordOwnLoad(const OwnLoad& own, Timestamp now) -> void;
  // The last record at or before the moment.
  auto OwnLoadAt(Timestamp moment) const -> OwnLoad;

  std::atomic<std::int64_t> allowance_;
  std::atomic<std::int64_t> in_flight_{0};
  std::atomic<std::int64_t> own_waiting_tokens_{0};
  // The two above at the moment of the last report.
  std::atomic<std::int64_t> own_requests_at_report_{0};
  std::atomic<std::int64_t> own_tokens_at_report_{0};

  std::atomic<std::int64_t> measured_at_{INT64_MIN};
  std::atomic<std::int64_t> reported_tokens_{0};
  std::atomic<std::int64_t> reported_requests_{0};
  // Assumed until the first report states the engine's speed.
  std::atomic<double> prefill_tokens_per_ms_{8.0};

  // Per interval: number of the interval (24 bits), requests (16), tokens (24).
  std::array<std::atomic<std::uint64_t>, kHistoryIntervals> history_{};
};

}  // namespace dotterellug
