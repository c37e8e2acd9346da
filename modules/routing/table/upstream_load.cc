#include "routing/table/upstream_load.h"

#include <algorithm>

namespace dotterellug {
namespace {

constexpr std::uint64_t kNumberMask = 0xffffff;
constexpr std::uint64_t kRequestMask = 0xffff;
constexpr std::uint64_t kTokenMask = 0xffffff;
constexpr auto kRelaxed = std::memory_order_relaxed;

auto Pack(std::uint64_t number, std::uint64_t requests, std::uint64_t tokens)
    -> std::uint64_t {
  return (number << 40U) | (std::min(requests, kRequestMask) << 24U) |
         std::min(tokens, kTokenMask);
}
auto NumberOf(std::uint64_t packed) -> std::uint64_t { return packed >> 40U; }
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
  const auto recent = SentAfter(report.measured_at);
  reported_sent_requests_.store(sent_requests_.load(kRelaxed) - recent.requests,
                                kRelaxed);
  reported_sent_tokens_.store(sent_tokens_.load(kRelaxed) - recent.tokens,
                              kRelaxed);
  reported_tokens_.store(report.waiting_tokens.Value(), kRelaxed);
  reported_requests_.store(report.waiting_requests + report.running_requests,
                           kRelaxed);
  max_running_.store(report.max_running, kRelaxed);
  if (report.prefill_tokens_per_ms > 0) {
    prefill_tokens_per_ms_.store(report.prefill_tokens_per_ms, kRelaxed);
  }
  if (report.mean_service_ms > 0) {
    mean_service_ms_.store(report.mean_service_ms, kRelaxed);
  }
  measured_at_.store(measured, kRelaxed);
  return true;
}

auto UpstreamLoad::SetAllowance(std::int64_t allowance) -> void {
  allowance_.store(allowance, kRelaxed);
}

auto UpstreamLoad::Allowance() const -> std::int64_t {
  return allowance_.load(kRelaxed);
}

auto UpstreamLoad::TryBegin(Tokens uncached, Timestamp now) -> bool {
  auto in_flight = in_flight_.load(kRelaxed);
  do {
    if (in_flight >= allowance_.load(kRelaxed)) return false;
  } while (!in_flight_.compare_exchange_weak(in_flight, in_flight + 1));
  const auto tokens = std::max<std::int64_t>(uncached.Value(), 0);
  own_waiting_tokens_.fetch_add(tokens, kRelaxed);
  RecordSend(tokens, now);
  sent_requests_.fetch_add(1, kRelaxed);
  sent_tokens_.fetch_add(tokens, kRelaxed);
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

auto UpstreamLoad::HasRoom() const -> bool {
  return in_flight_.load(kRelaxed) < allowance_.load(kRelaxed);
}

auto UpstreamLoad::Estimate(Timestamp now) const -> LoadEstimate {
  LoadEstimate estimate;
  estimate.prefill_tokens_per_ms = prefill_tokens_per_ms_.load(kRelaxed);
  estimate.mean_service_ms = mean_service_ms_.load(kRelaxed);
  estimate.max_running = max_running_.load(kRelaxed);
  const auto own = static_cast<double>(own_waiting_tokens_.load(kRelaxed));
  const auto measured = measured_at_.load(kRelaxed);
  if (measured == INT64_MIN) {
    estimate.queued_tokens = own;
    return estimate;
  }
  const auto unreported_tokens = std::max<std::int64_t>(
      0, sent_tokens_.load(kRelaxed) - reported_sent_tokens_.load(kRelaxed));
  const auto unreported_requests =
      std::max<std::int64_t>(0, sent_requests_.load(kRelaxed) -
                                    reported_sent_requests_.load(kRelaxed));
  const auto elapsed_ms =
      static_cast<double>(now.time_since_epoch().count() - measured) / 1000.0;
  // The engine has worked on its queue since the report.
  const auto done = std::max(0.0, elapsed_ms) * estimate.prefill_tokens_per_ms;
  const auto reported =
      static_cast<double>(reported_tokens_.load(kRelaxed) + unreported_tokens);
  estimate.queued_tokens = std::max(own, reported - done);
  if (estimate.max_running > 0) {
    const auto requests = reported_requests_.load(kRelaxed) +
                          unreported_requests + 1 - estimate.max_running;
    estimate.excess_requests =
        static_cast<double>(std::max<std::int64_t>(0, requests));
  }
  return estimate;
}

auto UpstreamLoad::RecordSend(std::int64_t tokens, Timestamp now) -> void {
  const auto interval = static_cast<std::uint64_t>(
      now.time_since_epoch().count() / kIntervalMicroseconds);
  auto& slot = intervals_[interval % kIntervals];
  const auto number = interval & kNumberMask;
  auto packed = slot.load(kRelaxed);
  std::uint64_t next = 0;
  do {
    const bool same = NumberOf(packed) == number;
    next = Pack(
        number, (same ? RequestsOf(packed) : 0) + 1,
        (same ? TokensOf(packed) : 0) + static_cast<std::uint64_t>(tokens));
  } while (!slot.compare_exchange_weak(packed, next, kRelaxed));
}

auto UpstreamLoad::SentAfter(Timestamp moment) const -> Sent {
  const auto first =
      static_cast<std::uint64_t>(moment.time_since_epoch().count() /
                                 kIntervalMicroseconds) &
      kNumberMask;
  Sent sent;
  for (const auto& slot : intervals_) {
    const auto packed = slot.load(kRelaxed);
    const auto ahead = (NumberOf(packed) - first) & kNumberMask;
    // Sends of the report's own interval count as unseen: counting one twice
    // only moves work elsewhere, missing one overloads the engine.
    if (ahead >= kIntervals) continue;
    sent.requests += static_cast<std::int64_t>(RequestsOf(packed));
    sent.tokens += static_cast<std::int64_t>(TokensOf(packed));
  }
  return sent;
}

}  // namespace dotterellug
