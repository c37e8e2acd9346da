#include "store/http/http_object_store.h"

#include <arpa/inet.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include <exception>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "core/net/request_target.h"

namespace dotterellug {
namespace {

using Json = nlohmann::json;

auto ToMilliseconds(Duration duration) -> cxxtools::Milliseconds {
  return cxxtools::Milliseconds(ToSeconds(duration) * 1000.0);
}

auto ObjectTarget(const std::string& name) -> RequestTarget {
  return RequestTarget("/v1/objects").AddSegment(name);
}

// The target of an update of the object if its version is `expected`.
auto UpdateTarget(const std::string& name, ObjectVersion expected)
    -> RequestTarget {
  return ObjectTarget(name).AddField("if_version",
                                     std::to_string(expected.Value()));
}

// The kind that a status stands for; empty for one that does not say whether
// the request was carried out.
auto KindOfStatus(unsigned status) -> std::optional<ErrorKind> {
  switch (status) {
    case 400:
      return ErrorKind::kInvalidArgument;
    case 404:
      return ErrorKind::kNotFound;
    case 409:
      return ErrorKind::kConflict;
    case 410:
      return ErrorKind::kCompacted;
    case 413:
      return ErrorKind::kTooLarge;
    case 429:
      return ErrorKind::kExhausted;
    case 503:
      return ErrorKind::kUnavailable;
    default:
      return std::nullopt;
  }
}

auto RemedyFor(ErrorKind kind) -> std::string {
  switch (kind) {
    case ErrorKind::kConflict:
      return "read it again and repeat the change";
    case ErrorKind::kCompacted:
      return "list the objects and watch from the list's position";
    case ErrorKind::kUnavailable:
    case ErrorKind::kExhausted:
      return "repeat later";
    case ErrorKind::kOutcomeUnknown:
      return "read the object again before repeating";
    default:
      return "check the request and the address of the object API";
  }
}

auto FailWith(ErrorKind kind, std::string message) -> tl::unexpected<Error> {
  return Fail(kind, std::move(message), RemedyFor(kind));
}

// The member `name` if it is a text, else `otherwise`; unlike Json::value it
// does not throw for another type.
auto TextOf(const Json& object, const char* name, const char* otherwise)
    -> std::string {
  const auto found = object.find(name);
  const bool is_text = found != object.end() && found->is_string();
  return is_text ? found->get<std::string>() : otherwise;
}

// The failure that an error response states. A body without error kind may
// come from an intermediary, which does not know whether the request was done.
auto StatedFailure(unsigned status, const std::string& body)
    -> std::optional<Error> {
  const auto kind = KindOfStatus(status);
  const auto json = Json::parse(body, nullptr, false);
  if (!kind || !json.is_object() || !json.contains("error")) {
    return std::nullopt;
  }
  const auto& error = json["error"];
  if (!error.is_object() || TextOf(error, "type", "") != ErrorKindName(*kind)) {
    return std::nullopt;
  }
  return Error{*kind, TextOf(error, "message", "no message"), RemedyFor(*kind)};
}

// Whether cxxtools could not connect, so that no byte of the request left. It
// throws the same type for this as for a broken connection and differs only in
// the text; another text is treated as a broken connection, which is the safe
// side.
auto IsConnectFailure(std::string_view message) -> bool {
  return message.find("failed to connect to") != std::string_view::npos;
}

auto ParseRecord(const Json& json) -> ObjectRecord {
  return ObjectRecord{json.at("name").get<std::string>(),
                      ObjectVersion(json.at("version").get<std::int64_t>()),
                      json.at("value").get<std::string>()};
}

auto ParseUpdate(const Json& json) -> ObjectRecord {
  return ObjectRecord{json.at("name").get<std::string>(),
                      ObjectVersion(json.at("version").get<std::int64_t>()),
                      ""};
}

auto ParseEvent(const Json& json) -> ObjectEvent {
  return ObjectEvent{json.at("name").get<std::string>(),
                     ObjectVersion(json.at("version").get<std::int64_t>()),
                     json.value("value", ""), json.value("deleted", false)};
}

auto ParsePosition(const Json& json) -> WatchPosition {
  return WatchPosition(json.at("position").get<std::int64_t>());
}

auto ParseList(const Json& json) -> ListResult {
  ListResult result{ParsePosition(json), {}};
  for (const auto& object : json.at("objects")) {
    result.objects.push_back(ParseRecord(object));
  }
  return result;
}

auto ParseWatch(const Json& json) -> WatchResult {
  WatchResult result{ParsePosition(json), {}};
  for (const auto& event : json.at("events")) {
    result.events.push_back(ParseEvent(event));
  }
  return result;
}

// Parses a body with `parse`, which may throw; kProtocol when it does.
template <typename Parse>
auto Decode(const std::string& body, Parse parse)
    -> Result<decltype(parse(Json()))> {
  try {
    return parse(Json::parse(body));
  } catch (const Json::exception& error) {
    return FailWith(
        ErrorKind::kProtocol,
        std::string("unexpected response of the object API: ") + error.what());
  }
}

}  // namespace

struct HttpObjectStore::Call {
  std::string method;
  RequestTarget target;
  std::string body;
  // Time that the server may take on purpose, for watches.
  Duration wait{0};
};

struct HttpObjectStore::Response {
  unsigned status = 0;
  std::string body;
};

HttpObjectStore::HttpObjectStore(HttpObjectStoreSettings settings)
    : settings_(std::move(settings)) {}
HttpObjectStore::~HttpObjectStore() = default;
HttpObjectStore::HttpObjectStore(HttpObjectStore&& other) noexcept = default;
auto HttpObjectStore::operator=(HttpObjectStore&& other) noexcept
    -> HttpObjectStore& = default;

auto HttpObjectStore::Get(const std::string& name) -> Result<ObjectRecord> {
  const auto response = Read({"GET", ObjectTarget(name), "", {}});
  if (!response) return tl::unexpected<Error>(response.error());
  auto record = Decode(response->body, ParseRecord);
  if (record && record->name == name) return record;
  // The response to another request: the connection is out of step.
  reader_.reset();
  if (!record) return record;
  return FailWith(
      ErrorKind::kProtocol,
      "asked for object " + name + ", response is for " + record->name);
}

auto HttpObjectStore::Put(const std::string& name, const std::string& value,
                          ObjectVersion expected) -> Result<ObjectVersion> {
  return Update(
      name,
      {"PUT", UpdateTarget(name, expected), Json{{"value", value}}.dump(), {}});
}

auto HttpObjectStore::Remove(const std::string& name, ObjectVersion expected)
    -> Result<ObjectVersion> {
  return Update(name, {"DELETE", UpdateTarget(name, expected), "", {}});
}

auto HttpObjectStore::List(const std::string& prefix) -> Result<ListResult> {
  const auto target = RequestTarget("/v1/list").AddField("prefix", prefix);
  const auto response = Read({"GET", target, "", {}});
  if (!response) return tl::unexpected<Error>(response.error());
  auto list = Decode(response->body, ParseList);
  if (!list) reader_.reset();
  return list;
}

auto HttpObjectStore::Watch(const std::string& prefix, WatchPosition after,
                            Duration max_wait) -> Result<WatchResult> {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(max_wait).count();
  const auto target = RequestTarget("/v1/watch")
                          .AddField("prefix", prefix)
                          .AddField("after", std::to_string(after.Value()))
                          .AddField("timeout_ms", std::to_string(milliseconds));
  const auto response = Read({"GET", target, "", max_wait});
  if (!response) return tl::unexpected<Error>(response.error());
  auto changes = Decode(response->body, ParseWatch);
  const bool later =
      changes && (changes->events.empty() ? changes->position >= after
                                          : changes->position > after);
  if (later) return changes;
  // The response to another request: the connection is out of step.
  reader_.reset();
  if (!changes) return changes;
  return FailWith(ErrorKind::kProtocol,
                  "asked for changes after position " +
                      std::to_string(after.Value()) + ", response is for " +
                      std::to_string(changes->position.Value()));
}

auto HttpObjectStore::Connect() const
    -> Result<std::unique_ptr<cxxtools::http::Client>> {
  in_addr address{};
  if (inet_pton(AF_INET, settings_.host.c_str(), &address) != 1) {
    return Fail(ErrorKind::kInvalidArgument,
                "object API host \"" + settings_.host + "\"",
                "set an IPv4 address");
  }
  return std::make_unique<cxxtools::http::Client>(settings_.host,
                                                  settings_.port);
}

auto HttpObjectStore::Exchange(cxxtools::http::Client& client,
                               const Call& call) const -> Result<Response> {
  // Request::qparams would be left out of requests other than GET.
  cxxtools::http::Request request(call.target.Text());
  request.method(call.method);
  if (!call.body.empty()) {
    request.setHeader("Content-Type", "application/json");
    request.body() << call.body;
  }
  try {
    client.execute(request, ToMilliseconds(settings_.timeout + call.wait),
                   ToMilliseconds(settings_.connect_timeout));
    const auto& reply = client.readBody();
    return Response{reply.httpReturnCode(), reply.body()};
  } catch (const std::exception& error) {
    return FailWith(IsConnectFailure(error.what()) ? ErrorKind::kUnavailable
                                                   : ErrorKind::kProtocol,
                    error.what());
  }
}

auto HttpObjectStore::Read(const Call& call) -> Result<Response> {
  if (!reader_) {
    auto client = Connect();
    if (!client) return tl::unexpected<Error>(client.error());
    reader_ = *std::move(client);
  }
  auto response = Exchange(*reader_, call);
  if (response && response->status == 200) return response;
  if (!response) {
    reader_.reset();
    // cxxtools reports a timeout and a broken connection alike.
    return FailWith(ErrorKind::kUnavailable, response.error().message);
  }
  auto stated = StatedFailure(response->status, response->body);
  if (stated) return tl::unexpected<Error>(*std::move(stated));
  reader_.reset();
  return FailWith(
      ErrorKind::kUnavailable,
      "the object API responded " + std::to_string(response->status));
}

auto HttpObjectStore::Update(const std::string& name, const Call& call) const
    -> Result<ObjectVersion> {
  const auto client = Connect();
  if (!client) return tl::unexpected<Error>(client.error());
  const auto response = Exchange(**client, call);
  if (!response) {
    if (response.error().kind == ErrorKind::kUnavailable) {
      return tl::unexpected<Error>(response.error());
    }
    return FailWith(ErrorKind::kOutcomeUnknown,
                    "object " + name + ": " + response.error().message);
  }
  if (response->status == 200) {
    const auto done = Decode(response->body, ParseUpdate);
    if (done && done->name == name) return done->version;
  } else if (auto stated = StatedFailure(response->status, response->body)) {
    return tl::unexpected<Error>(*std::move(stated));
  }
  return FailWith(ErrorKind::kOutcomeUnknown,
                  "object " + name + ": unexpected response with status " +
                      std::to_string(response->status));
}

}  // namespace dotterellug
