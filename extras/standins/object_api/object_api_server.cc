#include "standins/object_api/object_api_server.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace dotterellug::standins {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kObjects = "/v1/objects/";
// Longest wait of a watch, so that a test server stops in bounded time.
constexpr std::int64_t kMaxWatchMs = 60'000;

auto ParseInteger(const std::string& text) -> std::optional<std::int64_t> {
  std::int64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || rest != end || value < 0) return std::nullopt;
  return value;
}

auto BadRequest(const std::string& message) -> HttpReply {
  return ErrorReply(Error{ErrorKind::kInvalidArgument, message, ""});
}

auto VersionReply(const std::string& name, const Result<ObjectVersion>& version)
    -> HttpReply {
  if (!version) return ErrorReply(version.error());
  return HttpReply{200,
                   Json{{"name", name}, {"version", version->Value()}}.dump()};
}

auto RecordJson(const ObjectRecord& record) -> Json {
  return Json{{"name", record.name},
              {"version", record.version.Value()},
              {"value", record.value}};
}

auto EventJson(const ObjectEvent& event) -> Json {
  Json json{{"name", event.name}, {"version", event.version.Value()}};
  if (event.deleted) {
    json["deleted"] = true;
  } else {
    json["value"] = event.value;
  }
  return json;
}

auto WatchReply(const Result<WatchResult>& result) -> HttpReply {
  if (!result) return ErrorReply(result.error());
  Json events = Json::array();
  for (const auto& event : result->events) events.push_back(EventJson(event));
  return HttpReply{
      200,
      Json{{"position", result->position.Value()}, {"events", events}}.dump()};
}

}  // namespace

auto ObjectApiServer::Handle(const HttpRequest& request) -> HttpReply {
  if (request.path.compare(0, kObjects.size(), kObjects) == 0) {
    return HandleObject(request, request.path.substr(kObjects.size()));
  }
  if (request.path == "/v1/list") return HandleList(request);
  if (request.path == "/v1/watch") return HandleWatch(request);
  if (request.path == "/faults") return gate_.SetFaults(request.body);
  if (request.path == "/counters") return Counters();
  return ErrorReply(Error{ErrorKind::kNotFound, "no such path", ""});
}

auto ObjectApiServer::HandleObject(const HttpRequest& request,
                                   const std::string& name) -> HttpReply {
  if (request.method == "GET") {
    return Run(OperationKind::kGet, name,
               [&](const FaultAction& action) { return Get(name, action); });
  }
  if (request.method == "PUT") {
    return Run(OperationKind::kPut, name,
               [&](const FaultAction&) { return Put(name, request); });
  }
  if (request.method == "DELETE") {
    return Run(OperationKind::kRemove, name,
               [&](const FaultAction&) { return Remove(name, request); });
  }
  return BadRequest("method " + request.method);
}

auto ObjectApiServer::HandleList(const HttpRequest& request) -> HttpReply {
  const auto prefix = request.Query("prefix", "");
  return Run(OperationKind::kList, prefix,
             [&](const FaultAction& action) { return List(prefix, action); });
}

auto ObjectApiServer::HandleWatch(const HttpRequest& request) -> HttpReply {
  const auto prefix = request.Query("prefix", "");
  const auto after = ParseInteger(request.Query("after", "0"));
  const auto wait = ParseInteger(request.Query("timeout_ms", "0"));
  if (!after || !wait) return BadRequest("after and timeout_ms are integers");
  const auto bounded = std::chrono::milliseconds(std::min(*wait, kMaxWatchMs));
  return Run(OperationKind::kWatch, prefix, [&](const FaultAction& action) {
    return Watch(prefix, WatchPosition(*after), bounded, action);
  });
}

auto ObjectApiServer::Counters() -> HttpReply {
  auto json = gate_.Counters();
  const std::lock_guard lock(mutex_);
  json["rejected_by_rate"] = rejected_by_rate_;
  json["waiting_watches"] = waiting_watches_;
  return HttpReply{200, json.dump()};
}

auto ObjectApiServer::Get(const std::string& name, const FaultAction& action)
    -> HttpReply {
  const std::lock_guard lock(mutex_);
  const auto lag = action.fault == FaultKind::kStale ? action.lag : 0;
  const auto record = table_.GetStale(name, lag);
  if (!record) return ErrorReply(record.error());
  return HttpReply{200, RecordJson(*record).dump()};
}

auto ObjectApiServer::Put(const std::string& name, const HttpRequest& request)
    -> HttpReply {
  const auto expected = ParseInteger(request.Query("if_version", ""));
  const auto body = Json::parse(request.body, nullptr, false);
  if (!expected || !body.is_object() || !body.contains("value") ||
      !body["value"].is_string()) {
    return BadRequest("if_version and a string value are required");
  }
  const auto& value = body["value"].get_ref<const std::string&>();
  if (value.size() > static_cast<std::size_t>(kMaxObjectBytes.Value())) {
    return ErrorReply(Error{ErrorKind::kTooLarge, "value too large", ""});
  }
  const std::lock_guard lock(mutex_);
  const auto version = table_.Put(name, value, ObjectVersion(*expected));
  changed_.notify_all();
  return VersionReply(name, version);
}

auto ObjectApiServer::Remove(const std::string& name,
                             const HttpRequest& request) -> HttpReply {
  const auto expected = ParseInteger(request.Query("if_version", ""));
  if (!expected) return BadRequest("if_version is required");
  const std::lock_guard lock(mutex_);
  const auto version = table_.Remove(name, ObjectVersion(*expected));
  changed_.notify_all();
  return VersionReply(name, version);
}

auto ObjectApiServer::List(const std::string& prefix, const FaultAction& action)
    -> HttpReply {
  const std::lock_guard lock(mutex_);
  const auto lag = action.fault == FaultKind::kStale ? action.lag : 0;
  const auto result = table_.ListStale(prefix, lag);
  Json objects = Json::array();
  for (const auto& record : result.objects) {
    objects.push_back(RecordJson(record));
  }
  return HttpReply{
      200,
      Json{{"position", result.position.Value()}, {"objects", objects}}.dump()};
}

auto ObjectApiServer::Watch(const std::string& prefix, WatchPosition after,
                            Duration wait, const FaultAction& action)
    -> HttpReply {
  if (action.fault == FaultKind::kStale) {
    return WatchReply(WatchResult{after, {}});
  }
  const auto deadline = std::chrono::steady_clock::now() + wait;
  std::unique_lock lock(mutex_);
  if (action.fault == FaultKind::kCompacted) table_.Compact();
  ++waiting_watches_;
  auto result = table_.Changes(prefix, after);
  while (result && result->events.empty() &&
         changed_.wait_until(lock, deadline) == std::cv_status::no_timeout) {
    result = table_.Changes(prefix, after);
  }
  --waiting_watches_;
  return WatchReply(result);
}

auto ObjectApiServer::Run(OperationKind operation, const std::string& name,
                          const FaultGate::Apply& apply) -> HttpReply {
  if (!WithinRate(operation)) {
    return ErrorReply(Error{ErrorKind::kExhausted, "beyond the rate", ""});
  }
  return gate_.Run(operation, name, apply);
}

auto ObjectApiServer::WithinRate(OperationKind operation) -> bool {
  const std::lock_guard lock(mutex_);
  const bool is_write =
      operation == OperationKind::kPut || operation == OperationKind::kRemove;
  const bool within = (is_write ? writes_ : reads_).Allow(MonotonicNow());
  if (!within) ++rejected_by_rate_;
  return within;
}

}  // namespace dotterellug::standins
