#pragma once

#include <array>
#include <atomic>
#include <cstdint>

#include "core/ids/ids.h"
#include "core/time/time.h"
#include "routing/table/upstream_status.h"

namespace dotterellug {

// One daemon's estimate of the total load of an upstream.
struct LoadEstimate {
  // Uncached prompt tokens queued ahead of a new request.
  double queued_tokens = 0;
  double prefill_tokens_per_ms = 1;
  // Requests in the engine, from all daemons.
  double total_requests = 0;
};

// Load counters of one upstream: its last report, what this daemon has sent
// since that report was measured, and this daemon's requests in flight. Shared
// by all traffic threads. All member functions are thread-safe, but only the
// control thread may call ApplyReport. A reader may see fields of two reports
// mixed, which only makes the estimate less accurate. The object outlives the
// routing tables that refer to it, so its counts carry over to a new table.
class UpstreamLoad {
 public:
  explicit UpstreamLoad(std::int64_t concurrency_limit)
      : concurrency_limit_(concurrency_limit) {}

  // Stores a load report. Returns false if it is older than the last one, in
  // which case it is ignored.
  auto ApplyReport(const LoadReport& report) -> bool;

  // Sets the concurrency limit: the maximum number of requests in flight from
  // this daemon. When it is lowered, running requests beyond the limit finish,
  // but no new ones start.
  auto SetConcurrencyLimit(std::int64_t concurrency_limit) -> void;
  auto ConcurrencyLimit() const -> std::int64_t;

  // Counts a request that is about to be sent, with its uncached prompt tokens.
  // Returns false and counts nothing if the concurrency limit is reached.
  // Prefer InFlightGuard, which also counts the end of the request.
  auto TryBegin(Tokens uncached, Timestamp now) -> bool;
  // Counts the end of a prefill: the first token arrived, or the request
  // failed.
  auto EndPrefill(Tokens uncached) -> void;
  // Counts the end of a request.
  auto End() -> void;

  auto InFlight() const -> std::int64_t;
  auto HasCapacity() const -> bool;
  auto Estimate(Timestamp now) const -> LoadEstimate;

 private:
  // History of this daemon's own load, one record per interval. The record for
  // the time at which a report was measured is subtracted from the report,
  // which may arrive late. For a report that is older than the whole history
  // (3.2 s), the current load is subtracted.
  static constexpr std::int64_t kHistoryIntervalMicroseconds = 50'000;
  static constexpr std::size_t kHistoryIntervals = 64;

  // This daemon's requests in flight and prompt tokens waiting for prefill.
  struct OwnLoad {
    std::int64_t requests = 0;
    std::int64_t tokens = 0;
  };

  auto RecordOwnLoad(const OwnLoad& own, Timestamp now) -> void;
  // Returns the last record at or before `moment`, or the current load if there
  // is none in the history.
  auto OwnLoadAt(Timestamp moment) const -> OwnLoad;

  std::atomic<std::int64_t> concurrency_limit_;
  std::atomic<std::int64_t> in_flight_{0};
  std::atomic<std::int64_t> own_waiting_tokens_{0};
  // The two counters above at the time of the last report.
  std::atomic<std::int64_t> own_requests_at_report_{0};
  std::atomic<std::int64_t> own_tokens_at_report_{0};

  std::atomic<std::int64_t> measured_at_{INT64_MIN};
  std::atomic<std::int64_t> reported_tokens_{0};
  std::atomic<std::int64_t> reported_requests_{0};
  // Initial value, used until the first report states the engine's prefill
  // speed.
  std::atomic<double> prefill_tokens_per_ms_{8.0};

  // Ring buffer of records: number of the interval (24 bits), requests (16) and
  // tokens (24).
  std::array<std::atomic<std::uint64_t>, kHistoryIntervals> history_{};
};

}  // namespace dotterellug
