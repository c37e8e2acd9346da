#include "standins/balancer/balancer.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string_view>

namespace dotterellug::standins {
namespace {

constexpr int kBacklog = 512;
constexpr int kHealthTimeoutMs = 500;

auto Connect(const sockaddr_in& address) -> int {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return -1;
  const int no_delay = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &no_delay,
               sizeof no_delay);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (::connect(descriptor, generic, sizeof address) == 0) return descriptor;
  ::close(descriptor);
  return -1;
}

auto SendAll(int descriptor, std::string_view bytes) -> bool {
  while (!bytes.empty()) {
    const auto sent =
        ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// Copies what is readable from one side to the other. False at the end.
auto Pass(int from, int to) -> bool {
  std::array<char, 16 * 1024> buffer;
  const auto count = ::recv(from, buffer.data(), buffer.size(), 0);
  if (count <= 0) return false;
  return SendAll(to, {buffer.data(), static_cast<std::size_t>(count)});
}

auto IsReady(const sockaddr_in& address) -> bool {
  const int descriptor = Connect(address);
  if (descriptor < 0) return false;
  bool ready = false;
  if (SendAll(descriptor,
              "GET /ready HTTP/1.1\r\nHost: daemon\r\n"
              "Connection: close\r\n\r\n")) {
    pollfd waiting{descriptor, POLLIN, 0};
    std::array<char, 64> buffer{};
    if (::poll(&waiting, 1, kHealthTimeoutMs) > 0) {
      const auto count = ::recv(descriptor, buffer.data(), buffer.size(), 0);
      const std::string_view line(
          buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
      ready = line.substr(0, 12) == "HTTP/1.1 200";
    }
  }
  ::close(descriptor);
  return ready;
}

}  // namespace

Balancer::Balancer(std::vector<std::unique_ptr<BalancerTarget>> targets,
                   Duration interval)
    : targets_(std::move(targets)), interval_(interval) {}

auto Balancer::Run(std::uint16_t port) -> bool {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int reuse = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
          0 ||
      ::listen(listener, kBacklog) != 0) {
    ::close(listener);
    return false;
  }
  std::thread([this] { CheckHealth(); }).detach();
  while (true) {
    const int caller = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (caller < 0) continue;
    std::thread([this, caller] { Serve(caller); }).detach();
  }
}

auto Balancer::CheckHealth() -> void {
  while (true) {
    for (auto& target : targets_) {
      target->ready = IsReady(target->health_address);
    }
    std::this_thread::sleep_for(interval_);
  }
}

auto Balancer::ConnectNext() -> int {
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    const auto& target = *targets_[next_++ % targets_.size()];
    if (!target.ready) continue;
    const int descriptor = Connect(target.caller_address);
    if (descriptor >= 0) return descriptor;
  }
  return -1;
}

auto Balancer::Serve(int caller) -> void {
  const int no_delay = 1;
  ::setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
  const int daemon = ConnectNext();
  if (daemon < 0) {
    ::close(caller);
    return;
  }
  std::array<pollfd, 2> sides{{{caller, POLLIN, 0}, {daemon, POLLIN, 0}}};
  while (::poll(sides.data(), sides.size(), -1) > 0) {
    if (sides[0].revents != 0 && !Pass(caller, daemon)) break;
    if (sides[1].revents != 0 && !Pass(daemon, caller)) break;
  }
  ::close(caller);
  ::close(daemon);
}

}  // namespace dotterellug::standins
