#include "standins/engine/engine_server.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <thread>

#include "frontend/api/completion_request.h"

namespace dotterellug::standins {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kKeptLedgerEntries = 200'000;

auto JsonResponse(int status, const Json& body) -> HttpResponse {
  return {status, {{"Content-Type", "application/json"}}, body.dump(), false};
}

auto PriorityOf(const HttpRequest& request) -> int {
  const auto priority = request.Header("X-Priority").value_or("standard");
  if (priority == "interactive") return 0;
  return priority == "batch" ? 2 : 1;
}

auto NumberAfter(std::string_view text, std::string_view name) -> std::int64_t {
  const auto position = text.find(name);
  std::int64_t number = 0;
  if (position == std::string_view::npos) return number;
  const auto digits = text.substr(position + name.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), number);
  return number;
}

}  // namespace

// One request in execution. Holds its slot and cache memory until destroyed,
// which also happens when the caller goes away.
struct EngineServer::Work {
  EngineServer* engine = nullptr;
  std::size_t ledger_index = 0;
  std::string request_id;
  std::string model;
  std::uint64_t seed = 0;
  std::int64_t next_event = 1;
  std::int64_t last_event = 0;
  std::int64_t prompt_tokens = 0;
  std::int64_t cache_bytes = 0;
  bool chat = false;
  bool finished = false;
  std::optional<Fault> stream_fault;

  ~Work() {
    engine->memory_.AddCacheBytes(-cache_bytes);
    engine->slots_.Release();
    --engine->open_;
    const std::lock_guard lock(engine->mutex_);
    if (ledger_index >= engine->ledger_.size()) return;
    auto& entry = engine->ledger_[ledger_index];
    entry.events = next_event - 1;
    entry.finished = finished;
    entry.cancelled = !finished;
  }
};

EngineServer::EngineServer(EngineOptions options)
    : options_(std::move(options)),
      memory_(options_.memory, options_.checks_fencing),
      slots_(options_.max_batch),
      prefix_cache_(options_.prefix_blocks),
      cold_left_(options_.cold_responses) {}

auto EngineServer::Start(EngineOptions options)
    -> Result<std::unique_ptr<EngineServer>> {
  std::unique_ptr<EngineServer> engine(new EngineServer(std::move(options)));
  HttpServerOptions http;
  http.address = engine->options_.address;
  http.port = engine->options_.port;
  http.request_timeout = std::chrono::seconds(60);
  auto server = HttpServer::Start(
      http, [raw = engine.get()](const auto& request, const auto& caller) {
        return raw->Handle(request, caller);
      });
  if (!server) return tl::unexpected(server.error());
  engine->server_ = std::move(*server);
  return engine;
}

auto EngineServer::Handle(const HttpRequest& request,
                          const CallerConnection& caller) -> HttpResponse {
  NoteKeys(request);
  if (request.path == "/faults") {
    if (!faults_.Replace(request.body)) {
      return JsonResponse(400, Json::object());
    }
    if (const auto cold = faults_.Take("cold")) {
      cold_left_ = std::max<std::int64_t>(cold->after_events, 20);
      ++incarnation_;
      completed_ = 0;
      prefix_cache_.Clear();
    }
    return JsonResponse(200, Json::object());
  }
  if (request.path == "/ledger") return Ledger();
  if (request.path == "/report") return Report();
  if (request.path == "/cache_events") return HandleCacheEvents(request);
  if (request.path == "/commands") return HandleCommand(request);
  if (request.path == "/v1/chat/completions" ||
      request.path == "/v1/completions") {
    return Complete(request, caller);
  }
  return JsonResponse(404, {{"error", "no such path"}});
}

auto EngineServer::CheckColdLoad() -> bool {
  if (cold_left_ <= 0 || open_ <= 2 * options_.cold_concurrency) return false;
  const std::lock_guard lock(mutex_);
  ++cold_failures_;
  prefix_cache_.Clear();
  return true;
}

auto EngineServer::Complete(const HttpRequest& request,
                            const CallerConnection& caller) -> HttpResponse {
  const std::string id(request.Header("X-Request-Id").value_or(""));
  if (faults_.Take("drop_before")) return {0, {}, DropConnection{}, true};
  if (faults_.Take("refuse")) {
    auto response = JsonResponse(503, {{"error", "overloaded"}});
    response.headers.push_back({"X-Ran", "no"});
    response.headers.push_back({"X-Request-Id", id});
    return response;
  }
  const auto parsed = ParseCompletionRequest(
      request.body, request.path == "/v1/chat/completions", {});
  if (!parsed) return JsonResponse(400, {{"error", parsed.error().message}});
  const std::string adapter(request.Header("X-Adapter").value_or(""));
  if (!memory_.HasModel(parsed->model) ||
      (!adapter.empty() && !memory_.HasAdapter(adapter))) {
    auto response = JsonResponse(409, {{"error", "model not loaded"}});
    response.headers.push_back({"X-Ran", "no"});
    response.headers.push_back({"X-Request-Id", id});
    return response;
  }
  ++open_;
  if (CheckColdLoad() ||
      !slots_.Acquire(PriorityOf(request), [&] { return caller.IsClosed(); })) {
    --open_;
    return {0, {}, DropConnection{}, true};
  }
  auto work = std::make_shared<Work>();
  work->engine = this;
  work->request_id = id;
  work->model = parsed->model;
  work->chat = parsed->chat;
  work->seed = Hash64(parsed->prompt, Hash64(parsed->model));
  work->prompt_tokens = EstimateTokens(parsed->prompt);
  work->last_event = parsed->max_tokens;
  work->cache_bytes =
      options_.kv_bytes_per_token * (work->prompt_tokens + parsed->max_tokens);
  memory_.AddCacheBytes(work->cache_bytes);
  {
    const std::lock_guard lock(mutex_);
    if (ledger_.size() < kKeptLedgerEntries) {
      work->ledger_index = ledger_.size();
      ledger_.push_back(
          {id, parsed->model,
           std::string(request.Header("X-Client-Account").value_or(""))});
    }
  }
  std::int64_t resume_from = 0;
  if (const auto from = request.Header("X-Resume-From")) {
    std::from_chars(from->data(), from->data() + from->size(), resume_from);
  }
  work->next_event = resume_from + 1;
  const auto hit_bytes = prefix_cache_.Use(parsed->model, parsed->prompt);
  const std::string_view prompt{parsed->prompt};
  const auto cold_tokens =
      EstimateTokens(prompt.substr(std::min(hit_bytes, prompt.size())));
  std::this_thread::sleep_for(options_.prefill_per_token * cold_tokens);
  if (const auto late = faults_.Take("late")) {
    std::this_thread::sleep_for(std::chrono::milliseconds(late->delay_ms));
  }
  if (faults_.Take("drop_after")) return {0, {}, DropConnection{}, true};
  work->stream_fault = faults_.Take("truncate");
  if (!work->stream_fault) work->stream_fault = faults_.Take("silent");
  HttpResponse response;
  if (parsed->stream) {
    response.headers = {{"Content-Type", "text/event-stream"}};
    response.body = StreamBody(work, caller);
  } else {
    response = WholeBody(work, caller);
  }
  const bool crossed = faults_.Take("crossed").has_value();
  response.headers.push_back(
      {"X-Request-Id", crossed ? "another-request.1" : id});
  return response;
}

auto EngineServer::NoteCompleted() -> void {
  ++completed_;
  if (cold_left_ > 0) --cold_left_;
}

auto EngineServer::Interval() const -> Duration {
  // Decoding slows down as the batch fills; a cold engine takes three times
  // as long.
  const auto load = static_cast<double>(slots_.Running()) /
                    static_cast<double>(options_.max_batch);
  const double factor = (1.0 + 0.5 * load) * (cold_left_ > 0 ? 3.0 : 1.0);
  return std::chrono::duration_cast<Duration>(options_.token_interval * factor);
}

auto EngineServer::NextToken(Work& work) -> std::string {
  std::this_thread::sleep_for(Interval());
  const auto value =
      Hash64(std::to_string(work.next_event), work.seed) % 100'000;
  ++work.next_event;
  return "t" + std::to_string(value) + " ";
}

auto EngineServer::StreamBody(std::shared_ptr<Work> work,
                              const CallerConnection& caller) -> BodySource {
  return [this, work, caller]() -> BodyStep {
    if (work->finished) return BodyEnd{};
    const auto sent = work->next_event - 1;
    if (work->stream_fault && sent >= work->stream_fault->after_events) {
      if (work->stream_fault->kind == "truncate") return BodyAbort{};
      while (!caller.IsClosed() && faults_.Active("hold")) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
      return BodyAbort{};
    }
    if (caller.IsClosed()) return BodyAbort{};
    if (work->next_event > work->last_event) {
      work->finished = true;
      NoteCompleted();
      const Json usage = {{"id", work->request_id},
                          {"choices", Json::array()},
                          {"usage",
                           {{"prompt_tokens", work->prompt_tokens},
                            {"completion_tokens", work->last_event}}}};
      return BodyData{"data: " + usage.dump() + "\n\ndata: [DONE]\n\n"};
    }
    const auto number = work->next_event;
    const auto token = NextToken(*work);
    Json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (work->chat) {
      choice["delta"] = {{"content", token}};
    } else {
      choice["text"] = token;
    }
    const Json chunk = {
        {"id", work->request_id},
        {"object", work->chat ? "chat.completion.chunk" : "text_completion"},
        {"created", 0},
        {"model", work->model},
        {"choices", {choice}}};
    return BodyData{"id: " + std::to_string(number) +
                    "\ndata: " + chunk.dump() + "\n\n"};
  };
}

auto EngineServer::WholeBody(const std::shared_ptr<Work>& work,
                             const CallerConnection& caller) -> HttpResponse {
  std::string text;
  while (work->next_event <= work->last_event) {
    if (caller.IsClosed()) return {0, {}, DropConnection{}, true};
    text += NextToken(*work);
  }
  work->finished = true;
  NoteCompleted();
  Json choice = {{"index", 0}, {"finish_reason", "length"}};
  if (work->chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  return JsonResponse(
      200, {{"id", work->request_id},
            {"object", work->chat ? "chat.completion" : "text_completion"},
            {"created", 0},
            {"model", work->model},
            {"choices", {choice}},
            {"usage",
             {{"prompt_tokens", work->prompt_tokens},
              {"completion_tokens", work->last_event},
              {"total_tokens", work->prompt_tokens + work->last_event}}}});
}

auto EngineServer::HandleCommand(const HttpRequest& request) -> HttpResponse {
  if (faults_.Take("command_lost")) return {0, {}, DropConnection{}, true};
  const auto json = Json::parse(request.body, nullptr, false);
  if (!json.is_object()) return JsonResponse(400, Json::object());
  EngineCommand command;
  command.id = json.value("id", "");
  command.fencing = json.value("fencing", std::int64_t{0});
  command.action = json.value("action", "");
  command.name = json.value("name", "");
  command.model = json.value("model", "");
  command.version = json.value("version", "");
  command.bytes = Bytes(json.value("bytes", std::int64_t{0}));
  if (const auto late = faults_.Take("command_late")) {
    std::this_thread::sleep_for(std::chrono::milliseconds(late->delay_ms));
  }
  const auto result = memory_.Apply(command);
  if (faults_.Take("command_answer_lost")) {
    return {0, {}, DropConnection{}, true};
  }
  switch (result) {
    case CommandResult::kApplied:
    case CommandResult::kAlreadyApplied:
      return JsonResponse(200, {{"id", command.id}});
    case CommandResult::kStaleFencing:
      return JsonResponse(409, {{"error", "stale fencing number"}});
    case CommandResult::kUnknown:
      break;
  }
  return JsonResponse(400, {{"error", "unknown action"}});
}

auto EngineServer::HandleCacheEvents(const HttpRequest& request)
    -> HttpResponse {
  Json events = Json::array();
  for (const auto& event :
       prefix_cache_.EventsAfter(NumberAfter(request.query, "after="), 512)) {
    events.push_back({event.number, event.block, event.evicted});
  }
  return JsonResponse(200, {{"events", events}});
}

auto EngineServer::Report() -> HttpResponse {
  const std::lock_guard lock(mutex_);
  const auto now = MonotonicNow();
  if (report_.empty() || now - report_time_ >= options_.report_lag) {
    const auto memory = memory_.Read();
    Json resident = Json::array();
    for (const auto& [name, item] : memory.models) {
      resident.push_back({{"model", name},
                          {"version", item.version},
                          {"bytes", item.bytes.Value()}});
    }
    for (const auto& [name, item] : memory.adapters) {
      resident.push_back({{"model", item.model},
                          {"adapter", name},
                          {"version", item.version},
                          {"bytes", item.bytes.Value()}});
    }
    report_time_ = now;
    report_ = Json({{"incarnation", incarnation_},
                    {"running", slots_.Running()},
                    {"waiting", slots_.Waiting()},
                    {"max_batch", options_.max_batch},
                    {"memory_used", memory.used.Value()},
                    {"memory_capacity", memory.capacity.Value()},
                    {"cold", cold_left_ > 0},
                    {"completed", completed_.load()},
                    {"resident", resident}})
                  .dump();
  }
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - report_time_);
  return {200,
          {{"Content-Type", "application/json"}},
          "{\"age_ms\":" + std::to_string(age.count() + 1) + "," +
              report_.substr(1),
          false};
}

auto EngineServer::Ledger() -> HttpResponse {
  const auto memory = memory_.Read();
  const std::lock_guard lock(mutex_);
  Json requests = Json::array();
  for (const auto& entry : ledger_) {
    requests.push_back({{"request", entry.request},
                        {"model", entry.model},
                        {"account", entry.account},
                        {"events", entry.events},
                        {"finished", entry.finished},
                        {"cancelled", entry.cancelled}});
  }
  return JsonResponse(200, {{"id", options_.id},
                            {"requests", requests},
                            {"overcommits", memory.overcommits},
                            {"peak_memory", memory.peak.Value()},
                            {"stale_commands", memory.stale_commands},
                            {"keys_seen", keys_seen_},
                            {"cold_failures", cold_failures_}});
}

auto EngineServer::NoteKeys(const HttpRequest& request) -> void {
  bool seen = request.body.find("dk_") != std::string::npos;
  for (const auto& header : request.headers) {
    seen = seen || header.value.find("dk_") != std::string::npos;
  }
  if (!seen) return;
  const std::lock_guard lock(mutex_);
  ++keys_seen_;
}

}  // namespace dotterellug::standins
