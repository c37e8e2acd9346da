#include "routing/table/upstream_load.h"

#include <algorithm>

namespace dotterellug {
namespace {

constexpr std::uint64_t kIntervalNumberMask = 0xffffff;
constexpr std::uint64_t kRequestMask = 0xffff;
constexpr std::uint64_t kTokenMask = 0xffffff;
constexpr auto kRelaxed = std::memory_order_relaxed;

auto Pack(std::uint64_t number, std::uint64_t requests, std::uint64_t tokens)
    -> std::uint64_t {
  return (number << 40U) | (std::min(requests, kRequestMask) << 24U) |
         std::min(tokens, kTokenMask);
}
auto IntervalNumberOf(std::uint64_t packed) -> std::uint64_t {
  return packed >> 40U;
}
auto RequestsOf(std::uint64_t packed) -> std::uint64_t {
  return (packed >> 24U) & kRequestMask;
}
auto TokensOf(std::uint64_t packed) -> std::uint64_t {
  return packed & kTokenMask;
}

}  // namespace

auto UpstreamLoad::ApplyReport(const LoadReport& report) -> bool {
  const auto measured = report.measured_at.time_since_epoch().count();
  if (measured < measured_at_.load(kRelaxed)) return false;
  const auto own = OwnLoadAt(report.measured_at);
  own_requests_at_report_.store(own.requests, kRelaxed);
  own_tokens_at_report_.store(own.tokens, kRelaxed);
  reported_tokens_.store(report.waiting_tokens.Value(), kRelaxed);
  reported_requests_.store(report.waiting_requests + report.running_requests,
                           kRelaxed);
  if (report.prefill_tokens_per_ms > 0) {
    prefill_tokens_per_ms_.store(report.prefill_tokens_per_ms, kRelaxed);
  }
  measured_at_.store(measured, kRelaxed);
  return true;
}

auto UpstreamLoad::SetConcurrencyLimit(std::int64_t concurrency_limit) -> void {
  concurrency_limit_.store(concurrency_limit, kRelaxed);
}

auto UpstreamLoad::ConcurrencyLimit() const -> std::int64_t {
  return concurrency_limit_.load(kRelaxed);
}

auto UpstreamLoad::TryBegin(Tokens uncached, Timestamp now) -> bool {
  auto in_flight = in_flight_.load(kRelaxed);
  do {
    if (in_flight >= concurrency_limit_.load(kRelaxed)) return false;
  } while (!in_flight_.compare_exchange_weak(in_flight, in_flight + 1));
  const auto tokens = std::max<std::int64_t>(uncached.Value(), 0);
  const auto waiting = own_waiting_tokens_.fetch_add(tokens, kRelaxed) + tokens;
  RecordOwnLoad({in_flight + 1, waiting}, now);
  return true;
}

auto UpstreamLoad::EndPrefill(Tokens uncached) -> void {
  own_waiting_tokens_.fetch_sub(std::max<std::int64_t>(uncached.Value(), 0),
                                kRelaxed);
}

auto UpstreamLoad::End() -> void { in_flight_.fetch_sub(1); }

auto UpstreamLoad::InFlight() const -> std::int64_t {
  return in_flight_.load(kRelaxed);
}

auto UpstreamLoad::HasCapacity() const -> bool {
  return in_flight_.load(kRelaxed) < concurrency_limit_.load(kRelaxed);
}

auto UpstreamLoad::Estimate(Timestamp now) const -> LoadEstimate {
  LoadEstimate estimate;
  estimate.prefill_tokens_per_ms = prefill_tokens_per_ms_.load(kRelaxed);
  const auto own_tokens =
      static_cast<double>(own_waiting_tokens_.load(kRelaxed));
  const auto own_requests = in_flight_.load(kRelaxed);
  estimate.queued_tokens = own_tokens;
  estimate.total_requests = static_cast<double>(own_requests);
  const auto measured = measured_at_.load(kRelaxed);
  if (measured == INT64_MIN) return estimate;
  // Since the report was measured, the engine has processed part of the prompts
  // queued by other daemons.
  const auto elapsed_ms =
      static_cast<double>(now.time_since_epoch().count() - measured) / 1000.0;
  const auto processed_tokens =
      std::max(0.0, elapsed_ms) * estimate.prefill_tokens_per_ms;
  const auto other_daemons_tokens =
      static_cast<double>(reported_tokens_.load(kRelaxed) -
                          own_tokens_at_report_.load(kRelaxed)) -
      processed_tokens;
  const auto other_daemons_requests = reported_requests_.load(kRelaxed) -
                                      own_requests_at_report_.load(kRelaxed);
  estimate.queued_tokens += std::max(0.0, other_daemons_tokens);
  estimate.total_requests +=
      static_cast<double>(std::max<std::int64_t>(0, other_daemons_requests));
  return estimate;
}

auto UpstreamLoad::RecordOwnLoad(const OwnLoad& own, Timestamp now) -> void {
  const auto interval = static_cast<std::uint64_t>(
      now.time_since_epoch().count() / kHistoryIntervalMicroseconds);
  history_[interval % kHistoryIntervals].store(
      Pack(interval & kIntervalNumberMask,
           static_cast<std::uint64_t>(own.requests),
           static_cast<std::uint64_t>(own.tokens)),
      kRelaxed);
}

auto UpstreamLoad::OwnLoadAt(Timestamp moment) const -> OwnLoad {
  const auto last =
      static_cast<std::uint64_t>(moment.time_since_epoch().count() /
                                 kHistoryIntervalMicroseconds) &
      kIntervalNumberMask;
  OwnLoad own{in_flight_.load(kRelaxed), own_waiting_tokens_.load(kRelaxed)};
  auto nearest = static_cast<std::uint64_t>(kHistoryIntervals);
  for (const auto& slot : history_) {
    const auto packed = slot.load(kRelaxed);
    const auto before = (last - IntervalNumberOf(packed)) & kIntervalNumberMask;
    if (packed == 0 || before >= nearest) continue;
    nearest = before;
    own = OwnLoad{static_cast<std::int64_t>(RequestsOf(packed)),
                  static_cast<std::int64_t>(TokensOf(packed))};
  }
  return own;
}

}  // namespace dotterellug
