#pragma once

#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "standins/common/http_server.h"
#include "store/faults/fault_table.h"

namespace dotterellug::standins {

// A reply with a JSON error body: {"error": {"type", "message"}}.
auto ErrorReply(const Error& error) -> HttpReply;

// Counts the calls of a stand-in and applies its fault table, which POST
// /faults replaces:
//   {"rules": [{"fault": "lost_after", "operation": "put", "prefix": "config/",
//               "skip": 0, "count": 1, "delay_ms": 0, "lag": 1}]}
// Names of faults and operations are those of FaultKindName and
// OperationKindName; all members but "fault" are optional. Thread-safe.
class FaultGate {
 public:
  // Carries out one call, given the fault that it has to apply itself (kStale
  // or kCompacted).
  using Apply = std::function<HttpReply(const FaultAction&)>;

  // Counts the call and runs `apply` as the fault table says: not, before or
  // after a delay, or with its reply dropped.
  auto Run(OperationKind operation, const std::string& name, const Apply& apply)
      -> HttpReply;
  // Replaces the fault table; the reply states what is wrong with `body`.
  auto SetFaults(const std::string& body) -> HttpReply;
  // Calls by kind, and how many wait for a kLate delay.
  auto Counters() const -> nlohmann::json;

 private:
  auto Begin(OperationKind operation, const std::string& name) -> FaultAction;
  auto RunLate(const FaultAction& action, const Apply& apply) -> HttpReply;

  mutable std::mutex mutex_;
  FaultTable faults_;
  CallCounts counts_;
  std::int64_t late_pending_ = 0;
};

}  // namespace dotterellug::standins
