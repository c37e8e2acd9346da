#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <vector>

#include "core/core.h"

namespace dotterellug::soak {

// Sends daemons what no sound client sends: bodies that hide a request, names
// that are no text, numbers out of range, bytes that are no request. A hidden
// request has an id of its own, so that the ledger knows no caller of it.
class HostileCallers {
 public:
  HostileCallers(boost::asio::io_context& loop, std::uint64_t seed)
      : loop_(loop), random_(seed), timer_(loop) {}

  std::vector<SocketAddress> targets;
  std::string key;

  // Begins to send, one message after each pause.
  auto Start(Duration pause) -> void;
  auto Stop() -> void { timer_.cancel(); }

 private:
  auto SendOne() -> void;
  auto Message() -> std::string;

  boost::asio::io_context& loop_;
  Random random_;
  boost::asio::steady_timer timer_;
  int sent_ = 0;
};

}  // namespace dotterellug::soak
