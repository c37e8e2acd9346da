#include "daemon/traffic/request_handler.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "daemon/traffic/class_name.h"
#include "daemon/traffic/completion_call.h"
#include "daemon/traffic/service_call.h"

namespace dotterellug {
namespace {

constexpr std::string_view kServicePrefix = "/services/";
constexpr std::string_view kBearer = "Bearer ";
// Besides letters and digits, what RFC 3986 allows in a path.
constexpr std::string_view kPathCharacters = "/:@!$&'()*+,;=";
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

// The caller's headers that a service gets. Everything else stays here, above
// all the key, and hop-by-hop headers.
constexpr std::array<const char*, 7> kForwardedHeaders{
    "Content-Type",  "Accept",          "Accept-Language", "If-Match",
    "If-None-Match", "Idempotency-Key", "User-Agent"};

auto FailureOf(ErrorKind kind, std::string message, std::string remedy,
               std::string reason) -> tl::unexpected<RequestFailure> {
  RequestFailure failure;
  failure.error = {kind, std::move(message), std::move(remedy)};
  failure.reason = std::move(reason);
  return tl::unexpected(std::move(failure));
}

// What a caller's model name stands for.
struct CompletionTarget {
  ModelId model;
  // Empty when the name is that of a model.
  AdapterId adapter;
  std::int64_t context_tokens = 0;
};

auto FindTarget(const ServingDocument& document, const std::string& name)
    -> std::optional<CompletionTarget> {
  CompletionTarget target{ModelId(name), {}, 0};
  const auto adapter = document.adapters.find(AdapterId(name));
  if (adapter != document.adapters.end()) {
    target.adapter = adapter->first;
    target.model = adapter->second.base;
  }
  const auto model = document.models.find(target.model);
  if (model == document.models.end()) return std::nullopt;
  target.context_tokens = model->second.context_tokens;
  return target;
}

auto BudgetFailure(const ClientAccountId& account, Duration retry_after)
    -> RequestFailure {
  RequestFailure failure;
  failure.reason = "budget";
  failure.retry_after = retry_after;
  failure.error = {ErrorKind::kExhausted,
                   "client account '" + account.Value() +
                       "' has used up its token rate and burst",
                   "retry after the time in Retry-After"};
  return failure;
}

// "/services/NAME/rest" split into NAME and "/rest".
struct ServicePath {
  std::string name;
  std::string rest;
};

auto SplitServicePath(const std::string& path) -> ServicePath {
  const auto begin = kServicePrefix.size();
  const auto end = path.find('/', begin);
  if (end == std::string::npos) return {path.substr(begin), "/"};
  return {path.substr(begin, end - begin), path.substr(end)};
}

auto ClaimFailure(ErrorKind kind, std::string message, std::string remedy,
                  Ran ran) -> tl::unexpected<RequestFailure> {
  RequestFailure failure;
  failure.error = {kind, std::move(message), std::move(remedy)};
  failure.ran = ran;
  if (ran == Ran::kNo) failure.reason = "claim";
  return tl::unexpected(std::move(failure));
}

// What a caller gets whose call was not granted.
auto AnswerOfVerdict(const ClaimVerdict& verdict, const RequestId& id)
    -> tl::expected<HttpResponse, RequestFailure> {
  using Answer = tl::expected<HttpResponse, RequestFailure>;
  return std::visit(
      Overloaded{
          [&](const FirstResponse& first) -> Answer {
            if (!first.response.body_stored) {
              return ClaimFailure(
                  ErrorKind::kConflict,
                  "the call with this Idempotency-Key ran; its response was "
                  "too large to keep",
                  "ask the service for the result", Ran::kYes);
            }
            return HttpResponse{first.response.status,
                                {{"Content-Type", "application/json"},
                                 {"X-Request-Id", id.Value()},
                                 {"Idempotent-Replay", "true"}},
                                first.response.body,
                                false};
          },
          [](const InProgress&) -> Answer {
            return ClaimFailure(ErrorKind::kConflict,
                                "a call with this Idempotency-Key is in "
                                "progress",
                                "repeat it later to get its response",
                                Ran::kUnknown);
          },
          [](const DifferentRequest&) -> Answer {
            return ClaimFailure(ErrorKind::kInvalidArgument,
                                "this Idempotency-Key was used for another "
                                "request",
                                "send a new key", Ran::kNo);
          },
          [](const ClaimRejected& rejected) -> Answer {
            return ClaimFailure(rejected.error.kind, rejected.error.message,
                                rejected.error.remedy, Ran::kNo);
          },
          [](const auto&) -> Answer {
            return ClaimFailure(ErrorKind::kOutcomeUnknown,
                                "a call with this Idempotency-Key may have "
                                "run",
                                "ask the service for the result",
                                Ran::kUnknown);
          }},
      verdict);
}

auto AnswerOfClaim(const ClaimDecision& decision, const RequestId& id)
    -> tl::expected<HttpResponse, RequestFailure> {
  if (const auto* verdict = std::get_if<ClaimVerdict>(&decision)) {
    return AnswerOfVerdict(*verdict, id);
  }
  // This attempt did not run, but another one with the key may have.
  return ClaimFailure(ErrorKind::kUnavailable,
                      "the call could not be claimed before its deadline",
                      "repeat it with the same Idempotency-Key", Ran::kUnknown);
}

}  // namespace

RequestHandler::RequestHandler(SharedState& state, ChargeBudget charge_budget)
    : state_(state), charge_budget_(std::move(charge_budget)) {}

auto RequestHandler::Handle(const HttpRequest& request,
                            const CallerConnection& caller) -> HttpResponse {
  const auto id = state_.ids.Next();
  auto outcome = Dispatch(request, caller, id);
  if (outcome) return std::move(*outcome);
  const auto& failure = outcome.error();
  if (!failure.reason.empty()) state_.metrics.CountRefusal(failure.reason);
  return ErrorResponse(failure.error, failure.ran, id, failure.retry_after);
}

auto RequestHandler::Dispatch(const HttpRequest& request,
                              const CallerConnection& caller,
                              const RequestId& id) -> Outcome {
  if (state_.refuses_requests) return tl::unexpected(StoppingFailure());
  const auto snapshot = state_.snapshot.Load();
  if (!snapshot) {
    return FailureOf(ErrorKind::kUnavailable, "this instance is starting",
                     "retry after the time in Retry-After", "starting");
  }
  const bool is_service =
      request.path.compare(0, kServicePrefix.size(), kServicePrefix) == 0;
  if (is_service) return HandleService(request, caller, id, *snapshot);
  const bool chat = request.path == "/v1/chat/completions";
  const bool completion = chat || request.path == "/v1/completions";
  if (!completion && request.path != "/v1/models") {
    return FailureOf(ErrorKind::kNotFound, "there is no path " + request.path,
                     "use /v1/chat/completions, /v1/completions, /v1/models "
                     "or /services/NAME/",
                     "unknown_path");
  }
  auto context = Authenticate(request, id, *snapshot);
  if (!context) return tl::unexpected(std::move(context.error()));
  if (!completion) return ListModels(*snapshot, id);
  if (request.method != "POST") {
    return FailureOf(ErrorKind::kInvalidArgument,
                     "method " + request.method + " is not supported here",
                     "send a POST request", "bad_request");
  }
  return HandleCompletion(request, caller, std::move(*context), *snapshot);
}

auto RequestHandler::Authenticate(const HttpRequest& request,
                                  const RequestId& id,
                                  const ServingSnapshot& snapshot) const
    -> tl::expected<RequestContext, RequestFailure> {
  if (state_.isolated) {
    return FailureOf(ErrorKind::kUnavailable,
                     "this instance cannot check keys: it has lost contact "
                     "with the other instances and the object API",
                     "retry; the load balancer will choose another instance",
                     "isolated");
  }
  const auto header = request.Header("Authorization").value_or("");
  if (header.substr(0, kBearer.size()) != kBearer) {
    return FailureOf(ErrorKind::kUnauthenticated, "the request has no key",
                     "send the key as 'Authorization: Bearer KEY'", "no_key");
  }
  const auto holder = snapshot.keys.Lookup(header.substr(kBearer.size()));
  if (!holder) {
    RequestFailure failure;
    failure.error = holder.error().ToError();
    failure.reason = "key_refused";
    return tl::unexpected(std::move(failure));
  }
  RequestContext context;
  context.id = id;
  context.account = holder->account;
  context.key = holder->key;
  const auto& account = snapshot.document.accounts.at(holder->account);
  context.account_weight = account.weight;
  context.priority = account.default_class;
  if (auto failure = ReadOptions(request, snapshot, context)) {
    return tl::unexpected(std::move(*failure));
  }
  return context;
}

auto RequestHandler::ReadOptions(const HttpRequest& request,
                                 const ServingSnapshot& snapshot,
                                 RequestContext& context) const
    -> std::optional<RequestFailure> {
  context.arrival = MonotonicNow();
  context.deadline =
      context.arrival + snapshot.document.limits.default_deadline;
  RequestFailure failure;
  failure.reason = "bad_request";
  if (const auto name = request.Header("X-Priority")) {
    const auto priority = ParseClass(*name);
    if (!priority) {
      failure.error = {ErrorKind::kInvalidArgument,
                       "X-Priority '" + std::string(*name) + "' is unknown",
                       "send interactive, standard or batch"};
      return failure;
    }
    context.priority = *priority;
  }
  if (context.priority == PriorityClass::kBatch) {
    context.deadline = context.arrival + snapshot.document.limits.batch_max_age;
  }
  if (const auto text = request.Header("X-Deadline-Ms")) {
    std::int64_t milliseconds = 0;
    const auto* end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, milliseconds);
    if (parsed.ec != std::errc() || parsed.ptr != end || milliseconds <= 0 ||
        milliseconds > kMaxDeadlineMs) {
      failure.error = {ErrorKind::kInvalidArgument,
                       "X-Deadline-Ms '" + std::string(*text) + "' is invalid",
                       "send whole milliseconds between 1 and 3600000"};
      return failure;
    }
    context.deadline =
        context.arrival + std::chrono::milliseconds(milliseconds);
  }
  return std::nullopt;
}

auto RequestHandler::HandleCompletion(const HttpRequest& request,
                                      const CallerConnection& caller,
                                      RequestContext context,
                                      const ServingSnapshot& snapshot)
    -> Outcome {
  auto parsed = ParseCompletionRequest(
      request.body, request.path != "/v1/completions", state_.json_limits);
  if (!parsed) {
    return FailureOf(parsed.error().kind, parsed.error().message,
                     parsed.error().remedy, "bad_request");
  }
  const auto target = FindTarget(snapshot.document, parsed->model);
  if (!target) {
    return FailureOf(
        ErrorKind::kNotFound, "there is no model '" + parsed->model + "'",
        "name one of the models of GET /v1/models", "unknown_model");
  }
  const auto cost = Tokens(EstimateTokens(parsed->prompt) + parsed->max_tokens);
  if (cost.Value() > target->context_tokens) {
    return FailureOf(
        ErrorKind::kInvalidArgument,
        "prompt and max_tokens need about " + std::to_string(cost.Value()) +
            " tokens; the context of model '" + target->model.Value() +
            "' has " + std::to_string(target->context_tokens),
        "shorten the prompt or lower max_tokens", "context_exceeded");
  }
  Duration retry_after{0};
  auto charge = charge_budget_(context.account, cost, retry_after);
  if (!charge) {
    state_.metrics.CountRequest(context.account.Value(),
                                ClassName(context.priority), "refused");
    return tl::unexpected(BudgetFailure(context.account, retry_after));
  }
  auto done = [this, charge = *charge, context](const CompletionEnd& end) {
    charge.settle(end.tokens);
    state_.metrics.CountRequest(context.account.Value(),
                                ClassName(context.priority), end.outcome);
  };
  const auto call =
      std::make_shared<CompletionCall>(state_, context, std::move(*parsed),
                                       request.body, caller, std::move(done));
  call->SetTarget(target->model, target->adapter);
  return call->Run();
}

auto RequestHandler::HandleService(const HttpRequest& request,
                                   const CallerConnection& caller,
                                   const RequestId& id,
                                   const ServingSnapshot& snapshot) -> Outcome {
  const auto path = SplitServicePath(request.path);
  const auto route = snapshot.document.routes.find(path.name);
  if (route == snapshot.document.routes.end()) {
    return FailureOf(
        ErrorKind::kNotFound, "there is no service '" + path.name + "'",
        "name a service of the serving document", "unknown_service");
  }
  RequestContext context;
  context.id = id;
  if (route->second.open) {
    if (auto failure = ReadOptions(request, snapshot, context)) {
      return tl::unexpected(std::move(*failure));
    }
  } else {
    auto authenticated = Authenticate(request, id, snapshot);
    if (!authenticated) return tl::unexpected(std::move(authenticated.error()));
    context = std::move(*authenticated);
  }
  ServiceRequest call;
  call.pool = route->second.pool;
  call.method = request.method;
  call.url = PercentEncode(path.rest, kPathCharacters) + request.query;
  call.body = request.body;
  for (const auto* name : kForwardedHeaders) {
    if (const auto value = request.Header(name)) {
      call.headers.push_back({name, std::string(*value)});
    }
  }
  const auto& methods = route->second.idempotent_methods;
  call.idempotent = std::find(methods.begin(), methods.end(), request.method) !=
                    methods.end();
  const auto idempotency_key = request.Header("Idempotency-Key");
  const bool claimed = claims_ != nullptr && !call.idempotent &&
                       idempotency_key && !route->second.open;
  auto response =
      claimed ? RunClaimed(request, caller, context, std::move(call),
                           *idempotency_key)
              : ServiceCall(state_, context, std::move(call), caller).Run();
  state_.metrics.CountRequest(
      context.account.Value(), ClassName(context.priority),
      response ? "ok"
               : (response.error().ran == Ran::kNo ? "refused" : "failed"));
  state_.metrics.ObserveTotal(context.account.Value(),
                              ClassName(context.priority),
                              MonotonicNow() - context.arrival);
  return response;
}

auto RequestHandler::RunClaimed(const HttpRequest& request,
                                const CallerConnection& caller,
                                const RequestContext& context,
                                ServiceRequest call, std::string_view key)
    -> Outcome {
  if (key.empty() || key.size() > kMaxIdempotencyKeyBytes) {
    return FailureOf(
        ErrorKind::kInvalidArgument,
        "the Idempotency-Key has " + std::to_string(key.size()) + " bytes",
        "send a key of 1 to 256 bytes", "bad_request");
  }
  const auto content = request.method + " " + call.url + "\n" + request.body;
  const auto decision =
      claims_->Claim(context.account, key, content, context.deadline);
  const auto* grant = std::get_if<ClaimGrant>(&decision);
  if (grant == nullptr) return AnswerOfClaim(decision, context.id);
  auto response = ServiceCall(state_, context, std::move(call), caller).Run();
  if (response) {
    StoredResponse stored;
    stored.status = response->status;
    stored.body = std::get<std::string>(response->body);
    claims_->Finish(*grant, ClaimState::kDone, stored);
  } else if (response.error().ran == Ran::kNo) {
    // The key is used up: what is recorded for it stays, so that two answers
    // to one key never differ.
    response.error().error.remedy = "repeat the call with a new key";
    const auto refusal = ErrorResponse(response.error().error, Ran::kNo,
                                       context.id, std::chrono::seconds(1));
    claims_->Finish(
        *grant, ClaimState::kDone,
        {refusal.status, std::get<std::string>(refusal.body), true});
  } else {
    claims_->Finish(*grant, ClaimState::kUnknown, {});
  }
  return response;
}

auto RequestHandler::ListModels(const ServingSnapshot& snapshot,
                                const RequestId& id) const -> HttpResponse {
  auto data = nlohmann::json::array();
  const auto add = [&data](const std::string& name, const std::string& owner) {
    data.push_back({{"id", name},
                    {"object", "model"},
                    {"created", 0},
                    {"owned_by", owner}});
  };
  for (const auto& [model, entry] : snapshot.document.models) {
    add(model.Value(), "dotterellug");
  }
  for (const auto& [adapter, entry] : snapshot.document.adapters) {
    add(adapter.Value(), entry.base.Value());
  }
  const nlohmann::json body = {{"object", "list"}, {"data", data}};
  return {200,
          {{"Content-Type", "application/json"}, {"X-Request-Id", id.Value()}},
          body.dump(),
          false};
}

}  // namespace dotterellug
