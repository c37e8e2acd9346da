#pragma once

#include <memory>
#include <string>

#include "core/core.h"
#include "settings/settings.h"

namespace dotterellug {

// One dotterellugd: the listeners for callers and operators, the control
// thread, and the threads that read from the platform and the upstreams.
class Daemon {
 public:
  // Fails when a key file cannot be read or an address is in use.
  static auto Start(const DaemonSettings& settings, Incarnation incarnation)
      -> Result<std::unique_ptr<Daemon>>;
  Daemon(const Daemon&) = delete;
  auto operator=(const Daemon&) -> Daemon& = delete;
  ~Daemon();

  // Graceful shutdown: readiness fails at once, new connections are taken
  // until the load balancer has noticed, then requests in flight finish.
  auto Drain() -> void;

 private:
  class Implementation;
  explicit Daemon(std::unique_ptr<Implementation> implementation);
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace dotterellug
