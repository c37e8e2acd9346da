#pragma once

#include <optional>
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

// Calls to the platform that are the duty of one daemon at a time: the holder
// of the order lease.
struct DutySettings {
  // Where the platform takes the calls.
  SocketAddress address;
  // Calls per second that the platform accepts from all daemons together.
  double calls_per_second = 0;
  // Why no call can be made, for the log; empty if they can.
  std::string fault;
  // Whether usage is reported, and how.
  bool metering = false;
  // Length of the windows of usage.
  Duration usage_window = std::chrono::seconds(5);
  // A report of usage is due this long after the end of its window.
  Duration usage_due = std::chrono::seconds(10);
  // Whether the number of engines is ordered.
  bool autoscale = false;
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
  // Nothing if the platform asks for no such calls.
  std::optional<DutySettings> duties;
};

}  // namespace dotterellug::gateway
