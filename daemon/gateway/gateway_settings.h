#pragma once

#include <string>

#include "core/core.h"
#include "eventhttp/eventhttp.h"

namespace dotterellug::gateway {

// Limits that hold over the whole fleet and that decisions need.
struct GatewayBounds {
  // How long a holder of orders may act after its last sign; the next one waits
  // as long.
  Duration lease_ttl = std::chrono::seconds(3);
  // Whether engines refuse orders with a lower fencing number than the highest
  // that they have seen since their start.
  bool engines_check_fences = false;
  // How often upstreams write a sign of life to the store.
  Duration sign_of_life = std::chrono::milliseconds(1200);
  // From the stop signal until the process is killed.
  Duration stop_grace = std::chrono::seconds(8);
  // Attempts beyond the first of each request, over all daemons and per pool.
  double repeat_ratio = 0.2;
  double repeat_slack = 50;
  Duration repeat_window = std::chrono::seconds(10);
};

// What one gateway knows about itself before it has read anything.
struct GatewaySettings {
  InstanceId instance;
  AvailabilityZoneId zone;
  // Whether this process may be one of the first of the whole system. If not,
  // another daemon may have held the order lease although no record shows it.
  bool bootstrap = true;
  // Processor share of the instance, in cores.
  double capacity = 0;
  // The address on which callers' requests arrive.
  SocketAddress callers;
  // Where the load balancer asks whether this daemon is ready.
  SocketAddress readiness;
  std::string readiness_path;
  // UDP address for messages between daemons, TCP address for metrics.
  SocketAddress peers;
  SocketAddress metrics;
  GatewayBounds bounds;
  // Bounds on what clients may cause. Without bounds of the instance in the
  // settings, neither memory nor connections are bounded.
  eventhttp::MemoryLimits client_memory;
  eventhttp::OverloadLimits client_overload;
};

}  // namespace dotterellug::gateway
