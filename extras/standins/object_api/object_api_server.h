#pragma once

#include <condition_variable>
#include <mutex>
#include <string>

#include "standins/common/fault_gate.h"
#include "standins/common/http_server.h"
#include "standins/common/rate_limit.h"
#include "store/memory/object_table.h"

namespace dotterellug::standins {

// Rates of the platform's object API, in calls per second.
struct ObjectApiRates {
  double writes = 400;
  double reads = 2000;
};

// Stand-in for the platform's object API: the protocol of HttpObjectStore, plus
//   POST /faults    fault table, see FaultGate
//   GET /counters   calls by kind, calls beyond the rate, watches that wait
// Thread-safe.
class ObjectApiServer {
 public:
  explicit ObjectApiServer(ObjectApiRates rates)
      : writes_(rates.writes), reads_(rates.reads) {}

  auto Handle(const HttpRequest& request) -> HttpReply;

 private:
  auto HandleObject(const HttpRequest& request, const std::string& name)
      -> HttpReply;
  auto HandleList(const HttpRequest& request) -> HttpReply;
  auto HandleWatch(const HttpRequest& request) -> HttpReply;
  auto Counters() -> HttpReply;

  auto Get(const std::string& name, const FaultAction& action) -> HttpReply;
  auto Put(const std::string& name, const HttpRequest& request) -> HttpReply;
  auto Remove(const std::string& name, const HttpRequest& request) -> HttpReply;
  auto List(const std::string& prefix, const FaultAction& action) -> HttpReply;
  auto Watch(const std::string& prefix, WatchPosition after, Duration wait,
             const FaultAction& action) -> HttpReply;
  // Applies the rate, then the fault table, then `apply`.
  auto Run(OperationKind operation, const std::string& name,
           const FaultGate::Apply& apply) -> HttpReply;
  auto WithinRate(OperationKind operation) -> bool;

  FaultGate gate_;
  std::mutex mutex_;
  std::condition_variable changed_;
  ObjectTable table_;
  RateLimit writes_;
  RateLimit reads_;
  std::int64_t rejected_by_rate_ = 0;
  std::int64_t waiting_watches_ = 0;
};

}  // namespace dotterellug::standins
