#include "standins/service/service_server.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace dotterellug::standins {
namespace {

using Json = nlohmann::json;

auto JsonResponse(int status, const Json& body) -> HttpResponse {
  return {status, {{"Content-Type", "application/json"}}, body.dump(), false};
}

}  // namespace

ServiceServer::ServiceServer(ServiceOptions options)
    : options_(std::move(options)) {}

auto ServiceServer::Start(ServiceOptions options)
    -> Result<std::unique_ptr<ServiceServer>> {
  std::unique_ptr<ServiceServer> service(new ServiceServer(std::move(options)));
  HttpServerOptions http;
  http.address = service->options_.address;
  http.port = service->options_.port;
  http.request_timeout = std::chrono::seconds(60);
  auto server = HttpServer::Start(
      http, [raw = service.get()](const auto& request, const auto&) {
        return raw->Handle(request);
      });
  if (!server) return tl::unexpected(server.error());
  service->server_ = std::move(*server);
  return service;
}

auto ServiceServer::Handle(const HttpRequest& request) -> HttpResponse {
  if (request.path == "/faults") {
    return JsonResponse(faults_.Replace(request.body) ? 200 : 400,
                        Json::object());
  }
  if (request.path == "/ledger") return Ledger();
  if (request.path == "/report") {
    return JsonResponse(200, {{"incarnation", 1},
                              {"completed", completed_.load()},
                              {"running", running_.load()}});
  }
  return Execute(request);
}

auto ServiceServer::Execute(const HttpRequest& request) -> HttpResponse {
  const std::string id(request.Header("X-Request-Id").value_or(""));
  if (faults_.Take("drop_before")) return {0, {}, DropConnection{}, true};
  if (faults_.Take("refuse")) {
    auto response = JsonResponse(503, {{"error", "overloaded"}});
    response.headers.push_back({"X-Ran", "no"});
    response.headers.push_back({"X-Request-Id", id});
    return response;
  }
  ++running_;
  std::this_thread::sleep_for(options_.work_time);
  std::size_t position = 0;
  {
    const std::lock_guard lock(mutex_);
    ledger_.push_back(
        {id, request.method, request.path + request.query, request.body});
    position = ledger_.size();
    for (const auto& header : request.headers) {
      if (header.value.find("dk_") != std::string::npos) ++keys_seen_;
    }
  }
  --running_;
  ++completed_;
  if (const auto late = faults_.Take("late")) {
    std::this_thread::sleep_for(std::chrono::milliseconds(late->delay_ms));
  }
  if (faults_.Take("drop_after")) return {0, {}, DropConnection{}, true};
  auto response = JsonResponse(
      200,
      {{"service", options_.id}, {"number", position}, {"path", request.path}});
  response.headers.push_back(
      {"X-Request-Id", faults_.Take("crossed") ? "another-request.1" : id});
  return response;
}

auto ServiceServer::Ledger() -> HttpResponse {
  const std::lock_guard lock(mutex_);
  Json calls = Json::array();
  for (const auto& entry : ledger_) {
    calls.push_back({{"request", entry.request},
                     {"method", entry.method},
                     {"path", entry.path},
                     {"body", entry.body}});
  }
  return JsonResponse(
      200, {{"id", options_.id}, {"calls", calls}, {"keys_seen", keys_seen_}});
}

}  // namespace dotterellug::standins
