#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/core.h"
#include "eventhttp/eventhttp.h"
#include "soak/ledger.h"

namespace dotterellug::soak {

// A daemon as callers see it.
struct CallerTarget {
  SocketAddress address;
  // Whether new connections go there; kept ones are used until they end.
  bool takes_connections = true;
};

// A caller's account and key.
struct CallerKey {
  std::string account;
  std::string key;
};

// Sends requests of all kinds to all daemons on kept and new connections, and
// writes down what comes back.
class Callers {
 public:
  Callers(boost::asio::io_context& loop, Ledger& ledger,
          std::function<Seconds()> clock, std::uint64_t seed);

  std::vector<CallerTarget> targets;
  std::vector<CallerKey> keys;
  std::vector<std::string> models;
  // A model whose callers wait longer than a daemon's grace period.
  std::string patient_model;

  // A prompt part at which engines end. Requests with it share the other parts
  // of their prompts with sound ones; none are sent while it is empty.
  std::string bad_part;

  // Part of the requests to plain services that upload a long body.
  double upload_part = 0;

  // Begins to send, one request after each pause.
  auto Start(Duration pause) -> void;
  auto Stop() -> void { timer_.cancel(); }

 private:
  struct Call;
  using Connection = std::shared_ptr<eventhttp::ClientConnection>;

  auto SendOne() -> void;
  auto Choose() -> std::optional<std::size_t>;
  // An open connection to the daemon, or a new one if it takes those.
  auto Connect(std::size_t daemon) -> Connection;
  auto OnHead(Call& call, const eventhttp::ResponseHead& head) -> void;
  auto OnEnd(const std::shared_ptr<Call>& call, eventhttp::ExchangeEnd end)
      -> void;

  boost::asio::io_context& loop_;
  Ledger& ledger_;
  std::function<Seconds()> clock_;
  Random random_;
  boost::asio::steady_timer timer_;
  Duration pause_{0};
  std::string prefix_;
  std::int64_t sent_ = 0;
  // Kept connections by daemon.
  std::vector<std::vector<Connection>> kept_;
};

}  // namespace dotterellug::soak
