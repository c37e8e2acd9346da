#include "daemon/traffic/completion_call.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "daemon/traffic/class_name.h"

namespace dotterellug {
namespace {

// Requests that failed on this many engines are not tried on further ones.
constexpr int kMaxAttempts = 4;
// How often a request without a place looks again.
constexpr Duration kNoPlaceWait = std::chrono::milliseconds(5);

// The body as the engine gets it: an adapter's name is replaced by that of
// its model, because engines name the adapter in a header.
auto ReplaceModel(const std::string& body, const ModelId& model)
    -> std::string {
  auto json = nlohmann::json::parse(body);
  json["model"] = model.Value();
  return json.dump();
}

auto RefusalFailure(const Refusal& refusal) -> RequestFailure {
  RequestFailure failure;
  failure.reason = RefusalReasonName(refusal.reason);
  const bool deadline = refusal.reason == RefusalReason::kDeadlineUnreachable ||
                        refusal.reason == RefusalReason::kDeadlineTooShort ||
                        refusal.reason == RefusalReason::kExpiredInQueue;
  failure.error = {ErrorKind::kUnavailable,
                   "the request was not started: " + failure.reason,
                   deadline ? "send a later deadline or retry after the time "
                              "in Retry-After"
                            : "retry after the time in Retry-After"};
  if (refusal.retry_after) failure.retry_after = *refusal.retry_after;
  return failure;
}

auto CallerGoneFailure() -> RequestFailure {
  RequestFailure failure;
  failure.reason = "caller_gone";
  failure.error = {ErrorKind::kForbidden, "the caller closed the connection",
                   ""};
  return failure;
}

}  // namespace

CompletionCall::CompletionCall(SharedState& state, RequestContext context,
                               CompletionRequest request, std::string body,
                               CallerConnection caller, CompletionDone done)
    : state_(state),
      context_(std::move(context)),
      request_(std::move(request)),
      body_(std::move(body)),
      caller_(caller),
      done_(std::move(done)),
      dispatcher_(state) {}

CompletionCall::~CompletionCall() {
  if (finished_) return;
  state_.metrics.Count(Event::kCallerDisconnect);
  Finish("cancelled");
}

auto CompletionCall::SetTarget(const ModelId& model, const AdapterId& adapter)
    -> void {
  routing_.model = model;
  routing_.adapter = adapter;
  routing_.prompt_tokens = Tokens(EstimateTokens(request_.prompt));
  routing_.blocks = HashBlocks(model, adapter, request_.prompt, {});
  adapter_ = adapter;
  if (!adapter.Empty()) body_ = ReplaceModel(body_, model);
}

auto CompletionCall::GivesUp() const -> bool {
  return caller_.IsClosed() || state_.MustAnswerNow();
}

auto CompletionCall::IsCancelled() const -> bool {
  return GivesUp() || !dispatcher_.MayServe(dispatch_->slot);
}

auto CompletionCall::WaitForCapacity() -> std::optional<RequestFailure> {
  QueuedRequest queued;
  queued.id = context_.id;
  queued.account = context_.account;
  queued.account_weight = context_.account_weight;
  queued.priority = context_.priority;
  queued.cost = routing_.prompt_tokens + Tokens(request_.max_tokens);
  queued.arrival = context_.arrival;
  queued.deadline = context_.deadline;
  const auto outcome = state_.gate.Wait(
      routing_.model, queued,
      [this] { return dispatcher_.HasCapacity(routing_.model); },
      [this] { return GivesUp(); });
  state_.metrics.ObserveQueueWait(context_.account.Value(),
                                  ClassName(context_.priority),
                                  MonotonicNow() - context_.arrival);
  if (const auto* refusal = std::get_if<Refusal>(&outcome)) {
    return RefusalFailure(*refusal);
  }
  if (std::holds_alternative<CallerGone>(outcome)) {
    return caller_.IsClosed() ? CallerGoneFailure() : StoppingFailure();
  }
  return std::nullopt;
}

auto CompletionCall::BuildCall(const Dispatch& dispatch) const -> UpstreamCall {
  UpstreamCall call;
  call.target = dispatch.target;
  call.url = request_.chat ? "/v1/chat/completions" : "/v1/completions";
  call.body = body_;
  call.attempt = AttemptId(context_.id, attempts_);
  call.repeatable = true;
  // Events are passed on as they arrive.
  if (request_.stream) {
    call.max_body_bytes = std::numeric_limits<std::size_t>::max();
  }
  call.headers = {{"Content-Type", "application/json"},
                  {"X-Priority", std::string(ClassName(context_.priority))},
                  {"X-Client-Account", context_.account.Value()}};
  if (!adapter_.Empty()) {
    call.headers.push_back({"X-Adapter", adapter_.Value()});
  }
  if (last_event_ > 0) {
    call.headers.push_back({"X-Resume-From", std::to_string(last_event_)});
  }
  if (!state_.upstream_credential.empty()) {
    call.headers.push_back(
        {"Authorization", "Bearer " + state_.upstream_credential});
  }
  return call;
}

auto CompletionCall::EndAttempt() -> void {
  if (exchange_) {
    state_.exchanges.Return(std::move(exchange_), MonotonicNow());
  }
  dispatch_.reset();
  parser_ = {};
  state_.gate.NotifyRoom();
}

auto CompletionCall::BeginOnce() -> tl::expected<UpstreamHead, RequestFailure> {
  auto dispatch = dispatcher_.Engine(routing_);
  while (!dispatch &&
         dispatch.error() == NoUpstreamReason::kConcurrencyLimitReached &&
         MonotonicNow() < context_.deadline && !GivesUp()) {
    std::this_thread::sleep_for(kNoPlaceWait);
    dispatch = dispatcher_.Engine(routing_);
  }
  if (!dispatch) {
    return tl::unexpected(
        NoUpstreamFailure(dispatch.error(), "model " + routing_.model.Value()));
  }
  dispatch_ = std::move(*dispatch);
  ++attempts_;
  const auto now = MonotonicNow();
  exchange_ = state_.exchanges.Take(dispatch_->target, true, now);
  const auto limit = std::min(state_.timeouts.head, context_.deadline - now);
  auto head = exchange_->Begin(BuildCall(*dispatch_), limit,
                               [this] { return IsCancelled(); });
  if (head && !StatedNotRun(*head)) return std::move(*head);
  auto failure =
      head ? NotTakenFailure(dispatch_->upstream)
           : ExchangeFailure(state_, head.error(), exchange_->State());
  routing_.excluded.push_back(dispatch_->upstream);
  EndAttempt();
  return tl::unexpected(std::move(failure));
}

auto CompletionCall::BeginAttempts()
    -> tl::expected<UpstreamHead, RequestFailure> {
  // A completion is idempotent, but once an attempt may have run, the request
  // as a whole may have run.
  bool may_have_run = false;
  while (true) {
    auto head = BeginOnce();
    if (head) return head;
    auto& failure = head.error();
    may_have_run = may_have_run || failure.ran != Ran::kNo;
    if (may_have_run) {
      failure.ran = Ran::kUnknown;
      failure.reason.clear();
    }
    const bool exhausted = !dispatch_ && attempts_ == 0;
    if (exhausted || attempts_ >= kMaxAttempts || caller_.IsClosed() ||
        !WaitForRetry(state_, context_, attempts_ - 1, caller_)) {
      return head;
    }
  }
}

// Tokens that the caller asked for are demand whether or not they are served.
auto CompletionCall::CountDemand() -> void {
  DemandTokens tokens;
  tokens.admitted = routing_.prompt_tokens + Tokens(request_.max_tokens);
  const std::lock_guard lock(state_.demand_mutex);
  state_.demand.Add(routing_.model, tokens);
}

auto CompletionCall::Run() -> tl::expected<HttpResponse, RequestFailure> {
  CountDemand();
  {
    const std::lock_guard lock(state_.retry_mutex);
    state_.retry_budget.RecordFirstAttempt(context_.account, context_.arrival);
    state_.resume_budget.RecordFirstAttempt(context_.account, context_.arrival);
  }
  if (auto failure = WaitForCapacity()) {
    Finish("refused");
    return tl::unexpected(std::move(*failure));
  }
  auto head = BeginAttempts();
  if (!head) {
    Finish(head.error().ran == Ran::kNo ? "refused" : "failed");
    return tl::unexpected(std::move(head.error()));
  }
  if (!request_.stream || head->status != 200) return WholeResponse(*head);
  HttpResponse response;
  response.headers = {{"Content-Type", "text/event-stream"},
                      {"Cache-Control", "no-store"},
                      {"X-Request-Id", context_.id.Value()}};
  response.body = BodySource(
      [self = shared_from_this()] { return self->NextStreamStep(); });
  return response;
}

auto CompletionCall::WholeResponse(const UpstreamHead& first_head)
    -> tl::expected<HttpResponse, RequestFailure> {
  auto head = first_head;
  while (true) {
    std::string body;
    while (true) {
      auto progress = exchange_->Read(state_.timeouts.progress,
                                      [this] { return GivesUp(); });
      if (!progress) break;
      if (const auto* part = std::get_if<BodyPart>(&*progress)) {
        if (body.empty()) NoteToken();
        body += part->bytes;
        continue;
      }
      dispatch_->ticket.OnFirstToken();
      EndAttempt();
      events_ = request_.max_tokens;
      Finish("ok");
      return HttpResponse{head.status,
                          {{"Content-Type", head.Header("Content-Type")},
                           {"X-Request-Id", context_.id.Value()}},
                          std::move(body),
                          false};
    }
    routing_.excluded.push_back(dispatch_->upstream);
    EndAttempt();
    RequestFailure failure;
    failure.ran = Ran::kUnknown;
    failure.error = {ErrorKind::kOutcomeUnknown,
                     "the engine's response was cut off", "repeat the request"};
    if (attempts_ >= kMaxAttempts ||
        !WaitForRetry(state_, context_, attempts_ - 1, caller_)) {
      Finish("failed");
      return tl::unexpected(std::move(failure));
    }
    auto next = BeginAttempts();
    if (!next) {
      next.error().ran = Ran::kUnknown;
      Finish("failed");
      return tl::unexpected(std::move(next.error()));
    }
    head = *next;
  }
}

auto CompletionCall::NoteToken() -> void {
  const auto now = MonotonicNow();
  const auto account = context_.account.Value();
  const auto priority = ClassName(context_.priority);
  if (last_token_at_) {
    state_.metrics.ObserveTokenInterval(account, priority,
                                        now - *last_token_at_);
  } else {
    state_.metrics.ObserveFirstToken(account, priority, now - context_.arrival);
  }
  last_token_at_ = now;
}

// Events that were passed on before a resume are left out by their number, so
// that the caller gets each event once and in order.
auto CompletionCall::TakeEvents(const std::vector<StreamEvent>& events)
    -> std::string {
  std::string bytes;
  for (const auto& event : events) {
    if (end_seen_) break;
    if (event.number) {
      if (*event.number <= last_event_) continue;
      last_event_ = *event.number;
      ++events_;
      NoteToken();
      dispatch_->ticket.OnFirstToken();
    }
    bytes += event.raw;
    end_seen_ = IsEndMarker(event);
  }
  return bytes;
}

auto CompletionCall::NextStreamStep() -> BodyStep {
  while (!finished_) {
    if (end_seen_) {
      // The body may go on after the end marker; take its end so that the
      // connection can be reused, but do not wait for it.
      static_cast<void>(exchange_->Read(Duration::zero()));
      EndAttempt();
      Finish("ok");
      return BodyEnd{};
    }
    auto progress =
        exchange_->Read(state_.timeouts.progress, [this] { return GivesUp(); });
    if (progress && std::holds_alternative<BodyPart>(*progress)) {
      auto bytes =
          TakeEvents(parser_.Feed(std::get<BodyPart>(*progress).bytes));
      if (parser_.Overflowed()) {
        return EndWithError({ErrorKind::kProtocol,
                             "the engine sent an event without an end",
                             "repeat the request"});
      }
      if (!bytes.empty()) return BodyData{std::move(bytes)};
      continue;
    }
    if (caller_.IsClosed()) return BodyAbort{};
    if (!progress && !state_.MustAnswerNow() &&
        progress.error().kind == ErrorKind::kDeadlineExceeded) {
      state_.metrics.Count(Event::kSilentConnection);
    }
    // A body that ends without the end marker is cut off as well.
    if (!ResumeStream()) {
      return EndWithError({ErrorKind::kOutcomeUnknown,
                           "the stream was cut off and could not be resumed",
                           "repeat the request"});
    }
  }
  return BodyEnd{};
}

auto CompletionCall::ResumeStream() -> bool {
  // The connection's state is in doubt; it is closed, not reused.
  exchange_.reset();
  routing_.excluded.push_back(dispatch_->upstream);
  EndAttempt();
  if (attempts_ >= kMaxAttempts || GivesUp() || !TakeResume()) {
    return false;
  }
  const auto head = BeginAttempts();
  if (!head || head->status != 200) return false;
  state_.metrics.Count(Event::kResume);
  return true;
}

auto CompletionCall::TakeResume() -> bool {
  const std::lock_guard lock(state_.retry_mutex);
  return state_.resume_budget.TryRetry(context_.account, MonotonicNow());
}

auto CompletionCall::EndWithError(const Error& error) -> BodyStep {
  exchange_.reset();
  dispatch_.reset();
  state_.gate.NotifyRoom();
  Finish("failed");
  return BodyData{ErrorEvent(error, Ran::kYes, context_.id)};
}

auto CompletionCall::Finish(const std::string& outcome) -> void {
  if (std::exchange(finished_, true)) return;
  state_.metrics.ObserveTotal(context_.account.Value(),
                              ClassName(context_.priority),
                              MonotonicNow() - context_.arrival);
  const bool ran = attempts_ > 0 && outcome != "refused";
  done_({ran ? routing_.prompt_tokens.Value() + events_ : 0, outcome});
}

}  // namespace dotterellug
