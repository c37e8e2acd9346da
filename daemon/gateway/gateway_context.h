#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_set>
#include <utility>
#include <vector>

#include "admission/admission.h"
#include "core/core.h"
#include "daemon/gateway/dialect.h"
#include "daemon/gateway/gateway_metrics.h"
#include "daemon/gateway/gateway_settings.h"
#include "eventhttp/eventhttp.h"
#include "fleet/fleet.h"
#include "quarantine/quarantine.h"
#include "serving/serving.h"
#include "telemetry/telemetry.h"

namespace dotterellug::gateway {

class RequestExchange;
class UsageMeter;

// The requests of one pool that wait for capacity, and the order in which they
// get it.
struct PoolQueue {
  WaitingQueue order;
  ReturnSchedule returns;
  std::map<QueueTicket, std::shared_ptr<RequestExchange>> requests;
};

// What all requests of a gateway share. Used by the event loop's thread only.
struct GatewayContext {
  GatewayContext(boost::asio::io_context& event_loop,
                 const GatewaySettings& own_settings, Dialect own_dialect,
                 std::uint64_t seed);
  GatewayContext(const GatewayContext&) = delete;
  auto operator=(const GatewayContext&) -> GatewayContext& = delete;
  ~GatewayContext();

  // Lets every parked request try to go on; those that still wait stay parked.
  auto RetryParked(Timestamp now) -> void;
  // Lets the requests that wait for capacity try to go on in the order of
  // their pool's queue.
  auto ServeWaiting(Timestamp now) -> void;
  // Calls ServeWaiting soon, because capacity has become available or a request
  // has arrived behind others.
  auto ServeWaitingSoon() -> void;
  // The requests without a final answer. Ending one removes it from
  // `open_requests`.
  auto OpenExchanges() const -> std::vector<std::shared_ptr<RequestExchange>>;
  // Gives each request whose answer has not begun its final answer, because
  // the process is about to end.
  auto AnswerOpenRequests() -> void;
  // Brings the quarantine of prompt parts up to date and ends requests that
  // have a part which is quarantined now.
  auto UpdateQuarantine(Timestamp now) -> void;
  // Logs and acts on what has changed in what upstreams ask for.
  auto UpdateBackpressure(Timestamp now) -> void;
  // Counts and logs a client that is refused to protect the memory or the
  // descriptors of the instance. `client` is its address or its account.
  auto CountRefusal(eventhttp::ClientRefusal refusal, const std::string& client)
      -> void;
  // Moves resumable streams from upstreams that will be gone soon.
  auto MoveStreams(Timestamp now) -> void;
  // Logs each request whose answer the end of the process breaks off.
  auto LogBrokenRequests() -> void;

  boost::asio::io_context& loop;
  GatewaySettings settings;
  Dialect dialect;
  EventLog log;
  GatewayMetrics metrics;
  // Null until a configuration is known.
  std::shared_ptr<const serving::ServingCatalog> catalog;
  serving::UpstreamTable upstreams;
  serving::WorkFactorExchange work_factors{upstreams};
  serving::UpstreamSelector choice;
  serving::ColdStartLimiter cold_gate;
  serving::RetryBudget repeats;
  serving::ServiceTimeEstimate service_times;
  serving::WorkTimeEstimate work_times;
  fleet::GrantedTokens granted_tokens;
  fleet::UpstreamPermits permits{granted_tokens, upstreams.Backpressure()};
  eventhttp::ConnectionPool connections;
  // What clients cause in memory, for all of this process.
  std::shared_ptr<eventhttp::MemoryAccount> memory;
  Random random;

  quarantine::PromptQuarantine quarantine;
  // Whether this daemon lets requests through to find out whether a
  // quarantined prompt part still ends upstreams. One daemon of the fleet does.
  bool runs_trials = false;

  // Null unless the platform asks for reports of usage.
  std::unique_ptr<UsageMeter> usage;
  // Upstreams that will be gone whatever they are running, and when.
  std::map<UpstreamId, Timestamp> gone_at;
  // Models that engines are about to unload.
  std::set<std::pair<UpstreamId, ModelId>> unloading;
  // What callers ask of each model.
  fleet::DemandMeter demand;
  // Slot time that callers ask of each pool whose number of engines is planned.
  fleet::PoolDemandMeter pool_demand;
  // Adapters asked for and not held anywhere, since the last report.
  std::vector<fleet::MissingAdapter> missing_adapters;
  // Requests that wait for tokens or for an upstream, in order of arrival.
  std::vector<std::shared_ptr<RequestExchange>> parked;
  // Those of them that wait for capacity of a pool whose routes differ in
  // priority or latency target.
  std::map<PoolId, PoolQueue> waiting;
  // What is known of the waits at engines.
  serving::EngineWait engine_wait;
  // Reports to the hub at once, because a request waits for its answer.
  std::function<void()> report_now;
  // Whether this daemon does not know yet which prompt parts the fleet has
  // quarantined, because it has just started or was paused.
  std::function<bool(Timestamp)> catching_up;
  // Requests without a final answer. Shared with them, since handlers that the
  // event loop still holds may outlive the gateway.
  std::shared_ptr<std::unordered_set<RequestExchange*>> open_requests =
      std::make_shared<std::unordered_set<RequestExchange*>>();
  Timestamp started_at;
  // When open requests get their final answer because the process stops; not
  // set before the stop signal.
  std::optional<Timestamp> final_answers_at;
  // Whether new requests are refused because the process stops. Their callers
  // can go to another daemon, and they might not end before the process does.
  bool refuses_requests = false;
  // When a stated load was last logged as ignored, and how many were ignored
  // since.
  Timestamp ignored_load_logged_at{};
  std::int64_t ignored_loads = 0;
  // When a hub last told the load of other daemons; zero before the first time.
  Timestamp hub_answered_at{};
  // Writes buffered log lines shortly after the first of them, so that a
  // process that is killed has written what it decided.
  boost::asio::steady_timer log_timer;
  boost::asio::steady_timer serve_timer;
  bool serves_soon = false;
};

}  // namespace dotterellug::gateway
