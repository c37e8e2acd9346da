#include "daemon/gateway/gateway_context.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <utility>

#include "daemon/gateway/request_exchange.h"
#include "daemon/gateway/usage_meter.h"

namespace dotterellug::gateway {
namespace {

// Lines of one turn of the event loop, and of the next few, are written
// together.
constexpr auto kLogDelay = std::chrono::milliseconds(4);

// Several slots that become free within this time are filled together, since
// each search for one costs time on a small share of a processor.
constexpr auto kServeDelay = std::chrono::milliseconds(10);

auto LogQuarantineChange(EventLog& log,
                         const quarantine::QuarantineChange& change,
                         Timestamp now) -> void {
  const auto& evidence = change.evidence;
  std::string upstreams;
  for (const auto& crash : evidence.crashes) {
    if (!upstreams.empty()) upstreams += ',';
    upstreams += crash.process.upstream.Value();
  }
  const bool quarantined = change.quarantined;
  auto line =
      log.Write(EventRank::kState, quarantined ? "prompt_part_quarantined"
                                               : "prompt_part_released");
  line.Add("prompt_part", evidence.part.Value())
      .Add("position", evidence.depth)
      .Add("crashed_upstreams", upstreams)
      .Add("trials", evidence.trials)
      .AddMs("first_crash_age_ms", now - evidence.crashes.front().at)
      .AddMs("last_crash_age_ms", now - evidence.crashes.back().at);
  if (evidence.worked_at) {
    line.AddMs("worked_age_ms", now - *evidence.worked_at);
  }
}

auto SourceName(serving::BackpressureSource source) -> const char* {
  switch (source) {
    case serving::BackpressureSource::kAnswer:
      return "answer";
    case serving::BackpressureSource::kFleet:
      return "fleet";
    case serving::BackpressureSource::kNewProcess:
      return "new_process";
    case serving::BackpressureSource::kExpiry:
      return "expiry";
  }
  return "answer";
}

auto LogBackpressureChange(EventLog& log,
                           const serving::BackpressureChange& change,
                           Duration rate_ends_in) -> void {
  auto line = log.Write(EventRank::kState, "upstream_backpressure");
  line.Add("upstream", change.upstream.Value())
      .Add("leaving", change.leaving)
      .Add("source", SourceName(change.source));
  if (change.requests_per_second) {
    std::array<char, 32> rate{};
    std::snprintf(rate.data(), rate.size(), "%.3f",
                  *change.requests_per_second);
    line.Add("requests_per_second", rate.data())
        .AddMs("rate_ends_in_ms", rate_ends_in);
  }
  if (change.pause > Duration::zero()) line.AddMs("pause_ms", change.pause);
}

// Streams leave an upstream this long before it is gone. News of it may have
// taken more than a second through the hubs.
constexpr auto kMoveTime = std::chrono::milliseconds(1500);

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
      memory(std::make_shared<eventhttp::MemoryAccount>(
          own_settings.client_memory)),
      random(seed),
      started_at(MonotonicNow()),
      log_timer(event_loop),
      serve_timer(event_loop) {
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

GatewayContext::~GatewayContext() = default;

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
  ServeWaiting(now);
}

auto GatewayContext::ServeWaiting(Timestamp now) -> void {
  bool any = false;
  for (auto& [id, pool] : waiting) {
    BlockedRequests blocked;
    for (const auto& turn : pool.order.Order(now)) {
      const auto found = pool.requests.find(turn.ticket);
      if (found == pool.requests.end()) continue;
      // Kept alive, since the request leaves the queue in its turn.
      const auto exchange = found->second;
      exchange->TakeTurn(turn.owed, blocked, now);
      any = true;
    }
  }
  if (!any) return;
  parked.erase(std::remove_if(
                   parked.begin(), parked.end(),
                   [](const auto& exchange) { return !exchange->IsWaiting(); }),
               parked.end());
}

auto GatewayContext::ServeWaitingSoon() -> void {
  const bool none = std::all_of(
      waiting.begin(), waiting.end(),
      [](const auto& entry) { return entry.second.requests.empty(); });
  if (none || serves_soon) return;
  serves_soon = true;
  serve_timer.expires_after(kServeDelay);
  serve_timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    serves_soon = false;
    ServeWaiting(MonotonicNow());
  });
}

auto GatewayContext::OpenExchanges() const
    -> std::vector<std::shared_ptr<RequestExchange>> {
  std::vector<std::shared_ptr<RequestExchange>> open;
  open.reserve(open_requests->size());
  for (auto* exchange : *open_requests) {
    open.push_back(exchange->shared_from_this());
  }
  return open;
}

auto GatewayContext::AnswerOpenRequests() -> void {
  for (const auto& exchange : OpenExchanges()) exchange->AnswerBeforeStop();
}

auto GatewayContext::UpdateQuarantine(Timestamp now) -> void {
  bool quarantined = false;
  for (const auto& change : quarantine.Update(now)) {
    quarantined = quarantined || change.quarantined;
    LogQuarantineChange(log, change, now);
  }
  if (!quarantined) return;
  for (const auto& exchange : OpenExchanges()) exchange->OnQuarantine(now);
}

auto GatewayContext::UpdateBackpressure(Timestamp now) -> void {
  for (const auto& change : upstreams.Backpressure().TakeChanges()) {
    LogBackpressureChange(
        log, change, upstreams.Backpressure().RateEndsIn(change.upstream, now));
    if (change.source == serving::BackpressureSource::kAnswer) {
      if (change.pause > Duration::zero()) {
        metrics.Count(GatewayCounter::kAvoidances, "pause");
      }
      if (change.requests_per_second) {
        metrics.Count(GatewayCounter::kAvoidances, "rate");
      }
    }
    permits.OnRateChanged(change.upstream);
  }
}

auto GatewayContext::CountRefusal(eventhttp::ClientRefusal refusal,
                                  const std::string& client) -> void {
  const auto* reason = eventhttp::ClientRefusalName(refusal);
  metrics.Count(GatewayCounter::kClientRefusals, reason);
  log.Write(EventRank::kFailure, "client_refused")
      .Add("reason", reason)
      .Add("client", client)
      .Add("memory_bytes", static_cast<std::int64_t>(memory->Used()));
}

auto GatewayContext::MoveStreams(Timestamp now) -> void {
  for (auto entry = gone_at.begin(); entry != gone_at.end();) {
    const auto& [id, at] = *entry;
    const auto upstream = upstreams.Find(id);
    if (!upstream || !upstream->gone_at || now > at + kMoveTime) {
      entry = gone_at.erase(entry);
      continue;
    }
    if (now >= at - kMoveTime && upstream->requests > 0) {
      for (const auto& exchange : OpenExchanges()) exchange->MoveFrom(id, now);
    }
    ++entry;
  }
}

auto GatewayContext::LogBrokenRequests() -> void {
  for (auto* exchange : *open_requests) exchange->LogProcessStopped();
}

}  // namespace dotterellug::gateway
