#include "eventhttp/message/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace dotterellug::eventhttp {
namespace {

auto SetOption(int descriptor, int level, int name, int value) -> void {
  ::setsockopt(descriptor, level, name, &value, sizeof(value));
}

auto Count(Duration duration, Duration unit) -> int {
  return static_cast<int>(duration / unit);
}

}  // namespace

auto ApplySocketOptions(boost::asio::ip::tcp::socket& socket,
                        const SocketTimeouts& timeouts) -> void {
  boost::system::error_code ignored;
  socket.non_blocking(true, ignored);
  const auto descriptor = socket.native_handle();
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            Count(timeouts.unacknowledged, std::chrono::milliseconds(1)));
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  const auto interval = Count(timeouts.probe_interval, std::chrono::seconds(1));
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, interval);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, interval);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, timeouts.probes);
}

}  // namespace dotterellug::eventhttp
