#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/core.h"
#include "soak/callers.h"
#include "soak/ledger.h"

namespace dotterellug::soak {

// Asks daemons for routes that show which configuration is in force. Each
// configuration has a route named after its version and keeps those of the
// last ones, so a daemon that has a version, or a newer one, serves its route.
class ConfigProbes {
 public:
  // `clock` tells the seconds since the run began.
  ConfigProbes(boost::asio::io_context& loop, Ledger& ledger,
               std::function<Seconds()> clock, std::uint64_t seed)
      : loop_(loop),
        ledger_(ledger),
        clock_(std::move(clock)),
        random_(seed),
        timer_(loop) {}

  // Names of the routes that the configuration with this version has.
  static auto RoutesOf(std::int64_t version) -> std::vector<std::string>;
  // The store has confirmed this version.
  auto NoteWritten(std::int64_t version) -> void {
    written_[version] = clock_();
  }
  // Sends a probe every `pause` to a random one of `targets`, which may change.
  auto Start(Duration pause, const std::vector<CallerTarget>& targets) -> void;

 private:
  auto SendOne(const std::vector<CallerTarget>& targets) -> void;
  // The newest version that is to be in force; 0 if there is none.
  auto DueVersion() const -> std::int64_t;

  boost::asio::io_context& loop_;
  Ledger& ledger_;
  std::function<Seconds()> clock_;
  Random random_;
  boost::asio::steady_timer timer_;
  std::map<std::int64_t, Seconds> written_;
  std::int64_t sent_ = 0;
};

}  // namespace dotterellug::soak
