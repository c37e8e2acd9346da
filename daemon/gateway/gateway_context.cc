#include "daemon/gateway/gateway_context.h"

#include <unistd.h>

#include <utility>

#include "daemon/gateway/request_exchange.h"

namespace dotterellug::gateway {
namespace {

// Lines of one turn of the event loop, and of the next few, are written
// together.
constexpr auto kLogDelay = std::chrono::milliseconds(4);

}  // namespace

GatewayContext::GatewayContext(boost::asio::io_context& event_loop,
                               const GatewaySettings& own_settings,
                               Dialect own_dialect, std::uint64_t seed)
    : loop(event_loop),
      settings(own_settings),
      dialect(std::move(own_dialect)),
      log(STDOUT_FILENO, own_settings.instance.Value()),
      cold_gate(own_settings.instance),
      repeats({own_settings.bounds.repeat_ratio,
               own_settings.bounds.repeat_slack,
               own_settings.bounds.repeat_window}),
      connections(event_loop, {}),
      random(seed),
      started_at(MonotonicNow()),
      log_timer(event_loop) {
  log.OnBuffered([this] {
    log_timer.expires_after(kLogDelay);
    log_timer.async_wait([this](boost::system::error_code error) {
      if (!error) log.Flush(MonotonicNow());
    });
  });
  log.OnDropped([this](const std::string& event) {
    metrics.Count(GatewayCounter::kDroppedLines, event);
  });
}

auto GatewayContext::RetryParked(Timestamp now) -> void {
  if (parked.empty()) return;
  const auto waiting = std::exchange(parked, {});
  std::vector<std::shared_ptr<RequestExchange>> still;
  for (const auto& exchange : waiting) {
    if (exchange->Retry(now)) still.push_back(exchange);
  }
  // Requests that were parked meanwhile come behind.
  still.insert(still.end(), parked.begin(), parked.end());
  parked = std::move(still);
}

auto GatewayContext::AnswerOpenRequests() -> void {
  // An answer may end the exchange, which removes it from the set.
  std::vector<std::shared_ptr<RequestExchange>> open;
  open.reserve(open_requests->size());
  for (auto* exchange : *open_requests) {
    open.push_back(exchange->shared_from_this());
  }
  for (const auto& exchange : open) exchange->AnswerBeforeStop();
}

auto GatewayContext::LogBrokenRequests() -> void {
  for (auto* exchange : *open_requests) exchange->LogProcessStopped();
}

}  // namespace dotterellug::gateway
