#include "daemon/gateway/gateway_context.h"

#include <unistd.h>

#include <utility>

namespace dotterellug::gateway {

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
      random(seed) {}

}  // namespace dotterellug::gateway
