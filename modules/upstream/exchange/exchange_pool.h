#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "core/time/time.h"
#include "upstream/exchange/upstream_exchange.h"

namespace dotterellug {

// Idle connections to upstreams, shared by the traffic threads. Only calls
// that may be repeated take a pooled connection: on a reused connection that
// the peer closes, libcurl sends the request a second time by itself.
class ExchangePool {
 public:
  // Connections idle for longer than `max_idle` are closed, since a peer or
  // a device between may have forgotten them silently.
  explicit ExchangePool(Duration max_idle = std::chrono::seconds(4),
                        std::size_t max_idle_per_target = 64);

  // An idle connection for a repeatable call, otherwise a new one.
  auto Take(const UpstreamTarget& target, bool repeatable, Timestamp now)
      -> std::unique_ptr<UpstreamExchange>;

  // Keeps the connection if it is reusable, otherwise closes it.
  auto Return(std::unique_ptr<UpstreamExchange> exchange, Timestamp now)
      -> void;

 private:
  struct Idle {
    std::unique_ptr<UpstreamExchange> exchange;
    Timestamp since;
  };

  Duration max_idle_;
  std::size_t max_idle_per_target_;
  std::mutex mutex_;
  std::map<UpstreamTarget, std::vector<Idle>> idle_;
};

}  // namespace dotterellug
