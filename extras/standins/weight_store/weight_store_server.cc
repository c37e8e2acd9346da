#include "standins/weight_store/weight_store_server.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace dotterellug::standins {
namespace {

constexpr std::string_view kWeights = "/v1/weights/";
// How often a waiting load looks whether it is complete.
constexpr auto kPollInterval = std::chrono::milliseconds(5);

}  // namespace

auto WeightStoreServer::Handle(const HttpRequest& request) -> HttpReply {
  if (request.path.compare(0, kWeights.size(), kWeights) == 0) {
    const auto name = request.path.substr(kWeights.size());
    return gate_.Run(OperationKind::kGet, name,
                     [&](const FaultAction&) { return Load(name); });
  }
  if (request.path == "/faults") return gate_.SetFaults(request.body);
  if (request.path == "/counters") return Counters();
  return ErrorReply(Error{ErrorKind::kNotFound, "no such path", ""});
}

auto WeightStoreServer::Load(const std::string& name) -> HttpReply {
  std::unique_lock lock(mutex_);
  const auto load = loads_.Start(MonotonicNow());
  peak_in_flight_ = std::max(peak_in_flight_, loads_.InFlight());
  while (!loads_.IsComplete(load, MonotonicNow())) {
    lock.unlock();
    std::this_thread::sleep_for(kPollInterval);
    lock.lock();
  }
  loads_.Finish(load, MonotonicNow());
  return HttpReply{200, nlohmann::json{{"name", name}}.dump()};
}

auto WeightStoreServer::Counters() -> HttpReply {
  auto json = gate_.Counters();
  const std::lock_guard lock(mutex_);
  json["in_flight"] = loads_.InFlight();
  json["peak_in_flight"] = peak_in_flight_;
  return HttpReply{200, json.dump()};
}

}  // namespace dotterellug::standins
