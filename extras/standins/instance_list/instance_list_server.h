#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "core/time/time.h"
#include "standins/common/fault_gate.h"
#include "standins/common/http_server.h"

namespace dotterellug::standins {

// Stand-in for the platform's instance list:
//   GET /v1/instances          {"instances": [{"id", "state", ...}]} as it was
//                              `lag` ago
//   PUT /v1/instances/ID       sets an instance; body {"state": "live" or
//                              "leaving", ...}, other members are kept as given
//   DELETE /v1/instances/ID    takes an instance off the list
//   PUT /v1/lag                {"lag_ms": N}
//   POST /faults, GET /counters as in FaultGate; operations list, put, remove
// Thread-safe.
class InstanceListServer {
 public:
  // `clock` is read at each call; programs pass MonotonicNow.
  using Clock = std::function<Timestamp()>;
  InstanceListServer(Duration lag, Clock clock)
      : lag_(lag), clock_(std::move(clock)) {}

  auto Handle(const HttpRequest& request) -> HttpReply;

 private:
  using Instances = std::map<std::string, nlohmann::json>;
  struct Snapshot {
    Timestamp since;
    Instances instances;
  };

  auto HandleInstance(const HttpRequest& request, const std::string& id)
      -> HttpReply;
  auto Set(const std::string& id, const std::string& body) -> HttpReply;
  auto Remove(const std::string& id) -> HttpReply;
  auto SetLag(const std::string& body) -> HttpReply;
  auto List() -> HttpReply;
  // Copies the latest snapshot for a change at the present time.
  auto Change() -> Instances&;
  // Drops snapshots that no answer can need any more.
  auto Trim() -> void;

  FaultGate gate_;
  std::mutex mutex_;
  Duration lag_;
  Clock clock_;
  std::deque<Snapshot> snapshots_;
};

}  // namespace dotterellug::standins
