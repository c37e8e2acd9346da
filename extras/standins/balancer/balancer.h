#pragma once

#include <netinet/in.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "core/core.h"

namespace dotterellug::standins {

// A daemon behind the balancer: where callers' connections go, and where its
// readiness is asked for.
struct BalancerTarget {
  sockaddr_in caller_address{};
  sockaddr_in health_address{};
  std::atomic<bool> ready{true};
};

// Load balancer stand-in: passes TCP connections to the targets in turn. It
// asks GET /ready of each target once per interval, so it notices leaving
// targets late.
class Balancer {
 public:
  Balancer(std::vector<std::unique_ptr<BalancerTarget>> targets,
           Duration interval);
  // Listens on 127.0.0.1 and serves until the process ends. Returns false
  // when the port cannot be bound.
  auto Run(std::uint16_t port) -> bool;

 private:
  auto CheckHealth() -> void;
  auto ConnectNext() -> int;
  auto Serve(int caller) -> void;

  std::vector<std::unique_ptr<BalancerTarget>> targets_;
  Duration interval_;
  std::atomic<std::size_t> next_{0};
};

}  // namespace dotterellug::standins
