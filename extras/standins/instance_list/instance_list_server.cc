#include "standins/instance_list/instance_list_server.h"

namespace dotterellug::standins {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kInstances = "/v1/instances/";
// Snapshots older than this are dropped; it also bounds the lag.
constexpr Duration kMaxLag = std::chrono::minutes(5);

auto BadRequest(const std::string& message) -> HttpReply {
  return ErrorReply(Error{ErrorKind::kInvalidArgument, message, ""});
}

}  // namespace

auto InstanceListServer::Handle(const HttpRequest& request) -> HttpReply {
  if (request.path == "/v1/instances") {
    return gate_.Run(OperationKind::kList, "",
                     [&](const FaultAction&) { return List(); });
  }
  if (request.path.compare(0, kInstances.size(), kInstances) == 0) {
    return HandleInstance(request, request.path.substr(kInstances.size()));
  }
  if (request.path == "/v1/lag") return SetLag(request.body);
  if (request.path == "/faults") return gate_.SetFaults(request.body);
  if (request.path == "/counters") {
    return HttpReply{200, gate_.Counters().dump()};
  }
  return ErrorReply(Error{ErrorKind::kNotFound, "no such path", ""});
}

auto InstanceListServer::HandleInstance(const HttpRequest& request,
                                        const std::string& id) -> HttpReply {
  if (request.method == "PUT") {
    return gate_.Run(OperationKind::kPut, id,
                     [&](const FaultAction&) { return Set(id, request.body); });
  }
  if (request.method == "DELETE") {
    return gate_.Run(OperationKind::kRemove, id,
                     [&](const FaultAction&) { return Remove(id); });
  }
  return BadRequest("method " + request.method);
}

auto InstanceListServer::Set(const std::string& id, const std::string& body)
    -> HttpReply {
  auto json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return BadRequest("body is not a JSON object");
  const auto state = json.value("state", Json());
  if (state != "live" && state != "leaving") {
    return BadRequest("state is live or leaving");
  }
  json["id"] = id;
  const std::lock_guard lock(mutex_);
  Change()[id] = std::move(json);
  return HttpReply{200, "{}"};
}

auto InstanceListServer::Remove(const std::string& id) -> HttpReply {
  const std::lock_guard lock(mutex_);
  Change().erase(id);
  return HttpReply{200, "{}"};
}

auto InstanceListServer::SetLag(const std::string& body) -> HttpReply {
  const auto json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("lag_ms") ||
      !json["lag_ms"].is_number_unsigned()) {
    return BadRequest("lag_ms is a number of milliseconds");
  }
  const Duration lag =
      std::chrono::milliseconds(json["lag_ms"].get<std::int64_t>());
  if (lag > kMaxLag) return BadRequest("lag_ms is at most 300000");
  const std::lock_guard lock(mutex_);
  lag_ = lag;
  return HttpReply{200, "{}"};
}

auto InstanceListServer::List() -> HttpReply {
  const std::lock_guard lock(mutex_);
  Json instances = Json::array();
  const auto as_of = clock_() - lag_;
  for (auto it = snapshots_.rbegin(); it != snapshots_.rend(); ++it) {
    if (it->since > as_of) continue;
    for (const auto& [id, instance] : it->instances) {
      instances.push_back(instance);
    }
    break;
  }
  return HttpReply{200, Json{{"instances", instances}}.dump()};
}

auto InstanceListServer::Change() -> Instances& {
  Snapshot next{clock_(), {}};
  if (!snapshots_.empty()) next.instances = snapshots_.back().instances;
  snapshots_.push_back(std::move(next));
  Trim();
  return snapshots_.back().instances;
}

auto InstanceListServer::Trim() -> void {
  const auto oldest = clock_() - kMaxLag;
  while (snapshots_.size() > 1 && snapshots_[1].since <= oldest) {
    snapshots_.pop_front();
  }
}

}  // namespace dotterellug::standins
