#include "experiment/load_run.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

namespace dotterellug::experiment {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(60);
constexpr std::size_t kBytesPerToken = 4;

auto PromptText(const TrafficClass& traffic, const PlannedRequest& request)
    -> std::string {
  const auto size =
      static_cast<std::size_t>(request.prompt_tokens) * kBytesPerToken;
  const auto shared = static_cast<std::size_t>(
      traffic.shared_prefix * traffic.prompt_tokens * kBytesPerToken);
  std::string text;
  while (text.size() < shared) text += "catalogue of " + traffic.name + "; ";
  text.resize(std::min(shared, std::max(size, shared)));
  std::uint64_t number = request.id;
  while (text.size() < size) {
    number = Hash64("prompt", number);
    text += std::to_string(number) + " ";
  }
  return text;
}

auto BuildCall(const TrafficClass& traffic, const PlannedRequest& request)
    -> UpstreamCall {
  UpstreamCall call;
  call.repeatable = true;
  call.headers = {{"Authorization", "Bearer " + traffic.key},
                  {"X-Priority", traffic.priority}};
  if (traffic.kind == CallKind::kService) {
    call.method = traffic.method;
    call.url = traffic.path + "/" + std::to_string(request.id);
    if (call.method == "POST") {
      call.body = "{\"crates\":1}";
      call.headers.push_back(
          {"Idempotency-Key", "k" + std::to_string(request.id)});
    }
    return call;
  }
  call.url = "/v1/chat/completions";
  call.headers.push_back({"Content-Type", "application/json"});
  call.body =
      nlohmann::json(
          {{"model", request.model},
           {"stream", true},
           {"max_tokens", request.output_tokens},
           {"messages",
            {{{"role", "user"}, {"content", PromptText(traffic, request)}}}}})
          .dump();
  return call;
}

// The typed error of a response or of an event in a stream.
auto NoteError(const std::string& text, CallResult& result) -> void {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("error")) {
    result.error = "untyped";
    return;
  }
  result.error = json["error"].value("type", "untyped");
  result.ran = json["error"].value("ran", "");
}

auto ReadResponse(UpstreamExchange& exchange, const UpstreamHead& head,
                  Timestamp intended, CallResult& result) -> void {
  const bool stream = head.Header("Content-Type") == "text/event-stream";
  EventStreamParser parser;
  std::string body;
  bool end_seen = false;
  while (true) {
    auto progress = exchange.Read(kCallTimeout);
    if (!progress) {
      result.error = "connection";
      return;
    }
    const auto* part = std::get_if<BodyPart>(&*progress);
    if (part == nullptr) break;
    if (result.first_token == Duration::zero()) {
      result.first_token = MonotonicNow() - intended;
    }
    if (!stream) {
      body += part->bytes;
      continue;
    }
    for (const auto& event : parser.Feed(part->bytes)) {
      if (event.number) ++result.tokens;
      end_seen = end_seen || IsEndMarker(event);
      if (event.raw.compare(0, 12, "event: error") == 0) {
        NoteError(event.data, result);
      }
    }
  }
  result.complete = head.status == 200 && (!stream || end_seen);
  if (head.status >= 400) NoteError(body, result);
  if (stream && !end_seen && result.error.empty()) result.error = "truncated";
}

// Connections that one sending thread keeps, as callers with a connection pool
// do.
using Connections = std::map<UpstreamTarget, std::unique_ptr<UpstreamExchange>>;

auto Perform(const TrafficClass& traffic, const PlannedRequest& request,
             const UpstreamTarget& target, Timestamp start,
             Connections& connections) -> CallResult {
  CallResult result;
  result.traffic_class = request.traffic_class;
  result.at = request.at;
  if (traffic.kind == CallKind::kChat) {
    result.prompt_tokens = request.prompt_tokens;
  }
  const auto intended = start + request.at;
  auto& connection = connections[target];
  if (!connection) connection = std::make_unique<UpstreamExchange>(target);
  auto call = BuildCall(traffic, request);
  call.target = target;
  // A POST must not be sent again by the library on a closed connection.
  call.repeatable = call.method != "POST" || traffic.kind == CallKind::kChat;
  const auto head = connection->Begin(call, kCallTimeout);
  if (head) {
    result.status = head->status;
    ReadResponse(*connection, *head, intended, result);
  } else {
    result.error = "connection";
  }
  if (!connection->Reusable()) connection.reset();
  result.total = MonotonicNow() - intended;
  return result;
}

}  // namespace

auto RunLoad(const Workload& workload, const LoadOptions& options)
    -> std::vector<CallResult> {
  const auto requests = PlanRequests(workload, options.seed);
  std::vector<CallResult> results(requests.size());
  std::atomic<std::size_t> next{0};
  std::atomic<std::size_t> done{0};
  const auto start = MonotonicNow();
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < options.threads; ++i) {
    threads.emplace_back([&] {
      Connections connections;
      while (true) {
        const auto index = next++;
        if (index >= requests.size()) return;
        const auto& request = requests[index];
        std::this_thread::sleep_until(start + request.at);
        const auto& target = options.targets[index % options.targets.size()];
        results[index] = Perform(workload.classes[request.traffic_class],
                                 request, target, start, connections);
        ++done;
      }
    });
  }
  while (done < requests.size()) {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    if (options.progress) options.progress(done, requests.size());
  }
  for (auto& thread : threads) thread.join();
  return results;
}

}  // namespace dotterellug::experiment
