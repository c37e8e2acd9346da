#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace dotterellug::testing {

// A loopback socket that is closed with the object; reads end after 20 s, which
// only a failed run reaches.
class LoopbackSocket {
 public:
  explicit LoopbackSocket(int descriptor) : descriptor_(descriptor) {
    timeval limit{20, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  }
  ~LoopbackSocket() { close(descriptor_); }
  LoopbackSocket(const LoopbackSocket&) = delete;
  auto operator=(const LoopbackSocket&) -> LoopbackSocket& = delete;

  static auto Address(std::uint16_t port) -> sockaddr_in {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }
  auto Bind() const -> void {
    const auto address = Address(0);
    const auto bound =
        bind(descriptor_, reinterpret_cast<const sockaddr*>(&address),
             sizeof address);
    if (bound != 0) throw std::runtime_error("cannot bind a loopback port");
  }
  auto Port() const -> std::uint16_t {
    sockaddr_in address{};
    socklen_t length = sizeof address;
    getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
  }
  auto Connect(std::uint16_t port) const -> bool {
    const auto address = Address(port);
    return connect(descriptor_, reinterpret_cast<const sockaddr*>(&address),
                   sizeof address) == 0;
  }
  auto Write(const std::string& text) const -> void {
    send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
  }
  // One HTTP message with Content-Length; empty when the peer closes first.
  auto ReadHttpMessage() const -> std::string {
    std::string text;
    char buffer[4096];
    while (true) {
      const auto end = text.find("\r\n\r\n");
      if (end != std::string::npos && text.size() >= end + 4 + Length(text)) {
        return text;
      }
      const auto count = recv(descriptor_, buffer, sizeof buffer, 0);
      if (count <= 0) return {};
      text.append(buffer, static_cast<std::size_t>(count));
    }
  }
  auto Descriptor() const -> int { return descriptor_; }

 private:
  static auto Length(const std::string& text) -> std::size_t {
    const auto* field = strcasestr(text.c_str(), "Content-Length:");
    return field == nullptr ? 0 : std::strtoul(field + 15, nullptr, 10);
  }

  int descriptor_;
};

// Accepts connections on a loopback port and passes each to a function on a
// thread of its own: the place where a test makes the network fail.
class FaultRelay {
 public:
  using Script = std::function<void(const LoopbackSocket& client)>;

  explicit FaultRelay(Script script)
      : script_(std::move(script)), listener_(NewSocket()) {
    listener_.Bind();
    listen(listener_.Descriptor(), 16);
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~FaultRelay() {
    stopping_ = true;
    shutdown(listener_.Descriptor(), SHUT_RDWR);
    acceptor_.join();
    for (auto& thread : threads_) thread.join();
  }
  FaultRelay(const FaultRelay&) = delete;
  auto operator=(const FaultRelay&) -> FaultRelay& = delete;

  auto Port() const -> std::uint16_t { return listener_.Port(); }
  static auto NewSocket() -> int { return socket(AF_INET, SOCK_STREAM, 0); }
  // Sends a request to the server's port and returns the response.
  static auto Forward(std::uint16_t port, const std::string& request)
      -> std::string {
    const LoopbackSocket server(NewSocket());
    if (!server.Connect(port)) return {};
    server.Write(request);
    return server.ReadHttpMessage();
  }

 private:
  auto Accept() -> void {
    while (true) {
      const int client = accept(listener_.Descriptor(), nullptr, nullptr);
      if (client < 0 || stopping_) {
        if (client >= 0) close(client);
        return;
      }
      threads_.emplace_back([this, client] {
        const LoopbackSocket socket(client);
        script_(socket);
      });
    }
  }

  const Script script_;
  LoopbackSocket listener_;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace dotterellug::testing
