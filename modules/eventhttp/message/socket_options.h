#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "core/core.h"

namespace dotterellug::eventhttp {

// When the kernel gives up a connection whose peer does not acknowledge.
struct SocketTimeouts {
  // Sent bytes that stay unacknowledged for this long break the connection.
  Duration unacknowledged;
  // Idle time before keep-alive probes, and the time between two of them.
  Duration probe_interval;
  int probes;
};

// Towards callers: they may sit behind slow links.
inline constexpr SocketTimeouts kCallerSocketTimeouts{
    std::chrono::seconds(10), std::chrono::seconds(5), 3};
// Towards upstreams and the platform: found silent within about 3 s, the time
// after which a daemon counts as in contact again.
inline constexpr SocketTimeouts kUpstreamSocketTimeouts{
    std::chrono::seconds(2), std::chrono::seconds(1), 2};

// Sets no-delay, non-blocking mode and the timeouts. Failures leave the
// kernel's defaults, which only find a silent peer later.
auto ApplySocketOptions(boost::asio::ip::tcp::socket& socket,
                        const SocketTimeouts& timeouts) -> void;

}  // namespace dotterellug::eventhttp
