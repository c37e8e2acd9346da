#pragma once

#include <mutex>
#include <string>

#include "standins/common/fault_gate.h"
#include "standins/common/http_server.h"
#include "standins/weight_store/load_model.h"

namespace dotterellug::standins {

// Stand-in for the weight store:
//   GET /v1/weights/NAME    {"name": NAME} after the time that LoadModel gives
//   POST /faults, GET /counters as in FaultGate; operation get
// Thread-safe.
class WeightStoreServer {
 public:
  explicit WeightStoreServer(WeightStoreRate rate) : loads_(rate) {}

  auto Handle(const HttpRequest& request) -> HttpReply;

 private:
  auto Load(const std::string& name) -> HttpReply;
  auto Counters() -> HttpReply;

  FaultGate gate_;
  std::mutex mutex_;
  LoadModel loads_;
  std::size_t peak_in_flight_ = 0;
};

}  // namespace dotterellug::standins
